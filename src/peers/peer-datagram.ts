/**
 * What instances tell each other of their work: one datagram of CBOR, arrays led by a number.
 *
 * @module
 */
import {Encoder} from 'cbor-x';
import type {Placement} from '../placement/load-tracker.js';
import type {RowChange} from '../watch/row-source.js';
import type {TableDigest} from '../watch/table-replica.js';
import type {ReplicationStatus} from '../watch/table-replication.js';

/** Version of the messages. */
const version = 1;

/** Greatest number of entries in each part of a message that is taken in. */
const maximumEntries = 500;

const codec = new Encoder({useRecords: false, tagUint8Array: false, mapsAsObjects: true});

/** What an instance may ask another one for. */
export type ReplyRequest = 'nothing' | 'answer' | 'names';

/** Questions in the order of their numbers in messages. */
const replyRequests: readonly ReplyRequest[] = ['nothing', 'answer', 'names'];

/** News of one instance. Everything in it may be lost or come twice. */
export type PeerDatagram = {
	/** Name and start of the sender; begins the keys of its placements. */
	origin: string;
	/** What it knows of the store's tables. */
	replication: ReplicationStatus;
	/** What the sender asks for: an answer, so that both know each other, or one that names all other instances. */
	replyRequest: ReplyRequest;
	placements: readonly Placement[];
	startedKeys: readonly string[];
	endedKeys: readonly string[];
	avoidedEngines: ReadonlyArray<{engineId: string; duration: number}>;
	enginePaces: ReadonlyArray<{engineId: string; pace: number}>;
	/** Addresses of other instances. */
	peers: readonly string[];
};

/** A gap target of no stream. */
const noGapTarget = -1;

/** @param now - Monotonic time in milliseconds, which times in the message count from. */
export function encodeDatagram(news: PeerDatagram, now: number): Uint8Array {
	const prefix = news.origin.length + 1;
	return codec.encode([
		version,
		news.origin,
		encodeReplication(news.replication),
		replyRequests.indexOf(news.replyRequest),
		news.placements.map(({key, assignments: parts, eventGapTarget: gapTarget, weight, startsAt, expiresAt}) => [
			Number(key.slice(prefix)),
			Number.isFinite(gapTarget) ? gapTarget : noGapTarget,
			Math.round(weight * 10) / 10,
			Math.round(expiresAt - now),
			Math.max(0, Math.round(startsAt - now)),
			parts.map(({engineId, prefillTime: reading, kvCacheTokens: memory, runsDecode: writes}) => [engineId, Math.round(reading), Math.round(memory), writes]),
		]),
		news.startedKeys.map(key => Number(key.slice(prefix))),
		news.endedKeys.map(key => Number(key.slice(prefix))),
		news.avoidedEngines.map(({engineId, duration}) => [engineId, Math.round(duration)]),
		news.enginePaces.map(({engineId, pace}) => [engineId, Math.round(pace * 10) / 10]),
		news.peers,
	]);
}

/** A datagram is no message of this version. */
export class DatagramError extends Error {
	constructor(reason: string) {
		super(`datagram of a peer cannot be read: ${reason}`);
		this.name = 'NewsError';
	}
}

/** @throws {DatagramError} Where the bytes are no message of this version. */
export function decodeDatagram(bytes: Uint8Array, now: number): PeerDatagram {
	try {
		const [found, origin, spread, asks, placed, began, ended, avoided, paced, peers] = asList(codec.decode(bytes));
		if (found !== version) {
			throw new DatagramError(`version ${String(found)}`);
		}

		const sender = asText(origin);
		return {
			origin: sender,
			replication: decodeReplication(asList(spread)),
			replyRequest: replyRequests[asNumber(asks)] ?? 'nothing',
			placements: asList(placed).map(entry => decodePlacement(sender, asList(entry), now)),
			startedKeys: asList(began).map(sequence => `${sender}/${asNumber(sequence)}`),
			endedKeys: asList(ended).map(sequence => `${sender}/${asNumber(sequence)}`),
			avoidedEngines: asList(avoided).map(entry => ({engineId: asText(asList(entry)[0]), duration: asNumber(asList(entry)[1])})),
			enginePaces: asList(paced).map(entry => ({engineId: asText(asList(entry)[0]), pace: asNumber(asList(entry)[1])})),
			peers: asList(peers).map(peer => asText(peer)),
		};
	} catch (error) {
		throw error instanceof DatagramError ? error : new DatagramError(String(error));
	}
}

function encodeReplication({isStoreWatcher: follows, canReachStore: reachesStore, isRecoveringFromOutage: afterOutage, digests: tables, deltas}: ReplicationStatus): unknown[] {
	return [
		follows,
		reachesStore,
		afterOutage,
		tables.map(({version: asOf, checksum: sum}) => [asOf, sum]),
		deltas.map(({table, baseChecksum: before, digest: after, rows}) => [
			table, before, [after.version, after.checksum], rows.map(({key, value, removed}) => [key, removed ? false : value ?? '']),
		]),
	];
}

function decodeReplication([follows, reachesStore, afterOutage, tables, deltas]: readonly unknown[]): ReplicationStatus {
	const [first, second] = asList(tables).map(state => decodeDigest(state));
	if (!first || !second) {
		throw new DatagramError('the state of a table is missing');
	}

	return {
		isStoreWatcher: follows === true,
		canReachStore: reachesStore === true,
		isRecoveringFromOutage: afterOutage === true,
		digests: [first, second],
		deltas: asList(deltas).map(delta => {
			const [table, before, after, rows] = asList(delta);
			return {
				table: table === 0 ? 0 : 1, before: asNumber(before), after: decodeDigest(after), rows: asList(rows).map(row => decodeRow(asList(row))),
			};
		}),
	};
}

function decodeDigest(state: unknown): TableDigest {
	const [asOf, sum] = asList(state);
	return {version: asNumber(asOf), checksum: asNumber(sum)};
}

function decodeRow([key, value]: readonly unknown[]): RowChange {
	return value === false ? {key: asText(key), value: undefined, removed: true} : {key: asText(key), value: asText(value), removed: false};
}

function decodePlacement(origin: string, [sequence, gapTarget, weight, lifetime, startIn, parts]: readonly unknown[], now: number): Placement {
	return {
		key: `${origin}/${asNumber(sequence)}`,
		eventGapTarget: asNumber(gapTarget) === noGapTarget ? Number.POSITIVE_INFINITY : asNumber(gapTarget),
		weight: asNumber(weight),
		startsAt: now + asNumber(startIn),
		expiresAt: now + asNumber(lifetime),
		assignments: asList(parts).map(part => {
			const [engineId, reading, memory, writes] = asList(part);
			return {
				engineId: asText(engineId), reading: asNumber(reading), memory: asNumber(memory), writes: writes === true,
			};
		}),
	};
}

function asList(value: unknown): readonly unknown[] {
	if (!Array.isArray(value) || value.length > maximumEntries) {
		throw new DatagramError('a list is missing or too long');
	}

	return value;
}

function asText(value: unknown): string {
	if (typeof value !== 'string' || value === '') {
		throw new DatagramError('a text is missing');
	}

	return value;
}

function asNumber(value: unknown): number {
	if (typeof value !== 'number' || !Number.isFinite(value)) {
		throw new DatagramError('a number is missing');
	}

	return value;
}
