/**
 * What instances tell each other of their work: one datagram of CBOR, arrays led by a number.
 *
 * @module
 */
import {Encoder} from 'cbor-x';
import type {Placement} from '../placement/load-tracker.js';
import type {RowChange} from '../watch/row-source.js';
import type {TableState} from '../watch/table-copy.js';
import type {SpreadNews} from '../watch/table-spread.js';

/** Version of the messages. */
const version = 1;

/** Greatest number of entries in each part of a message that is taken in. */
const maximumEntries = 500;

const codec = new Encoder({useRecords: false, tagUint8Array: false, mapsAsObjects: true});

/** What an instance may ask another one for. */
export type Question = 'nothing' | 'answer' | 'names';

/** Questions in the order of their numbers in messages. */
const questions: readonly Question[] = ['nothing', 'answer', 'names'];

/** News of one instance. Everything in it may be lost or come twice. */
export type News = {
	/** Name and start of the sender; begins the keys of its placements. */
	origin: string;
	/** What it knows of the store's tables. */
	spread: SpreadNews;
	/** What the sender asks for: an answer, so that both know each other, or one that names all other instances. */
	asks: Question;
	placed: readonly Placement[];
	began: readonly string[];
	ended: readonly string[];
	avoided: ReadonlyArray<{engineId: string; duration: number}>;
	paced: ReadonlyArray<{engineId: string; pace: number}>;
	/** Addresses of other instances. */
	peers: readonly string[];
};

/** A gap target of no stream. */
const noGap = -1;

/** @param now - Monotonic time in milliseconds, which times in the message count from. */
export function encodeNews(news: News, now: number): Uint8Array {
	const prefix = news.origin.length + 1;
	return codec.encode([
		version,
		news.origin,
		encodeSpread(news.spread),
		questions.indexOf(news.asks),
		news.placed.map(({key, assignments: parts, eventGapTarget: gapTarget, weight, startsAt, expiresAt}) => [
			Number(key.slice(prefix)),
			Number.isFinite(gapTarget) ? gapTarget : noGap,
			Math.round(weight * 10) / 10,
			Math.round(expiresAt - now),
			Math.max(0, Math.round(startsAt - now)),
			parts.map(({engineId, prefillTime: reading, kvCacheTokens: memory, runsDecode: writes}) => [engineId, Math.round(reading), Math.round(memory), writes]),
		]),
		news.began.map(key => Number(key.slice(prefix))),
		news.ended.map(key => Number(key.slice(prefix))),
		news.avoided.map(({engineId, duration}) => [engineId, Math.round(duration)]),
		news.paced.map(({engineId, pace}) => [engineId, Math.round(pace * 10) / 10]),
		news.peers,
	]);
}

/** A datagram is no message of this version. */
export class NewsError extends Error {
	constructor(reason: string) {
		super(`datagram of a peer cannot be read: ${reason}`);
		this.name = 'NewsError';
	}
}

/** @throws {NewsError} Where the bytes are no message of this version. */
export function decodeNews(bytes: Uint8Array, now: number): News {
	try {
		const [found, origin, spread, asks, placed, began, ended, avoided, paced, peers] = list(codec.decode(bytes));
		if (found !== version) {
			throw new NewsError(`version ${String(found)}`);
		}

		const sender = text(origin);
		return {
			origin: sender,
			spread: decodeSpread(list(spread)),
			asks: questions[number(asks)] ?? 'nothing',
			placed: list(placed).map(entry => decodePlacement(sender, list(entry), now)),
			began: list(began).map(sequence => `${sender}/${number(sequence)}`),
			ended: list(ended).map(sequence => `${sender}/${number(sequence)}`),
			avoided: list(avoided).map(entry => ({engineId: text(list(entry)[0]), duration: number(list(entry)[1])})),
			paced: list(paced).map(entry => ({engineId: text(list(entry)[0]), pace: number(list(entry)[1])})),
			peers: list(peers).map(peer => text(peer)),
		};
	} catch (error) {
		throw error instanceof NewsError ? error : new NewsError(String(error));
	}
}

function encodeSpread({follows, reachesStore, afterOutage, tables, deltas}: SpreadNews): unknown[] {
	return [
		follows,
		reachesStore,
		afterOutage,
		tables.map(({asOf, sum}) => [asOf, sum]),
		deltas.map(({table, before, after, rows}) => [
			table, before, [after.asOf, after.sum], rows.map(({key, value, removed}) => [key, removed ? false : value ?? '']),
		]),
	];
}

function decodeSpread([follows, reachesStore, afterOutage, tables, deltas]: readonly unknown[]): SpreadNews {
	const [first, second] = list(tables).map(state => decodeState(state));
	if (!first || !second) {
		throw new NewsError('the state of a table is missing');
	}

	return {
		follows: follows === true,
		reachesStore: reachesStore === true,
		afterOutage: afterOutage === true,
		tables: [first, second],
		deltas: list(deltas).map(delta => {
			const [table, before, after, rows] = list(delta);
			return {
				table: table === 0 ? 0 : 1, before: number(before), after: decodeState(after), rows: list(rows).map(row => decodeRow(list(row))),
			};
		}),
	};
}

function decodeState(state: unknown): TableState {
	const [asOf, sum] = list(state);
	return {asOf: number(asOf), sum: number(sum)};
}

function decodeRow([key, value]: readonly unknown[]): RowChange {
	return value === false ? {key: text(key), value: undefined, removed: true} : {key: text(key), value: text(value), removed: false};
}

function decodePlacement(origin: string, [sequence, gapTarget, weight, lifetime, startIn, parts]: readonly unknown[], now: number): Placement {
	return {
		key: `${origin}/${number(sequence)}`,
		eventGapTarget: number(gapTarget) === noGap ? Number.POSITIVE_INFINITY : number(gapTarget),
		weight: number(weight),
		startsAt: now + number(startIn),
		expiresAt: now + number(lifetime),
		assignments: list(parts).map(part => {
			const [engineId, reading, memory, writes] = list(part);
			return {
				engineId: text(engineId), reading: number(reading), memory: number(memory), writes: writes === true,
			};
		}),
	};
}

function list(value: unknown): readonly unknown[] {
	if (!Array.isArray(value) || value.length > maximumEntries) {
		throw new NewsError('a list is missing or too long');
	}

	return value;
}

function text(value: unknown): string {
	if (typeof value !== 'string' || value === '') {
		throw new NewsError('a text is missing');
	}

	return value;
}

function number(value: unknown): number {
	if (typeof value !== 'number' || !Number.isFinite(value)) {
		throw new NewsError('a number is missing');
	}

	return value;
}
