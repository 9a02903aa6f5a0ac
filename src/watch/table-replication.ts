/**
 * Keeps tables alike at all instances: some follow the store, the others take changes and whole tables from them.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {errorMessage} from '../errors/errors.js';
import type {TableContent, TableNumber} from '../peers/table-transfer.js';
import type {EventLog} from '../telemetry/log.js';
import {
	type Duty, type DutyPeer, dutyOf, follows,
} from './store-watcher-selection.js';
import type {TableCopy, TableDelta, TableState} from './table-replica.js';
import type {TableWatch} from './table-watch.js';

/** Time in milliseconds in which instances ask for a table that they lack, so that not all ask at once. */
const fetchSpread = 120;

/** Time in milliseconds between two decisions about following the store. */
const dutyInterval = 250;

/** What a peer tells of its tables with each message. */
export type SpreadNews = {
	follows: boolean;
	reachesStore: boolean;
	/** Whether entries may be missing because they lapsed in an outage. */
	afterOutage: boolean;
	tables: readonly [TableState, TableState];
	/** Changes that the peer has just learned from the store. */
	deltas: ReadonlyArray<TableDelta & {table: TableNumber}>;
};

/** One table with what keeps it up to date. */
export type SpreadTable = {name: string; copy: TableCopy; watch: TableWatch};

/** What the spread works with. */
export type TableSpreadOptions = {
	tables: readonly [SpreadTable, SpreadTable];
	ip: string;
	log: EventLog;
	peers: () => readonly DutyPeer[];
	fetch: (ip: string, table: TableNumber) => Promise<TableContent>;
	/** Told that a peer has just been through an outage. */
	onOutage: () => void;
	/** Whether this instance has just been through an outage. */
	isAfterOutage: () => boolean;
	/** @default Math.random */
	random?: () => number;
};

/** Tables of one instance among all instances. */
export class TableSpread {
	readonly #options: TableSpreadOptions;
	readonly #random: () => number;
	readonly #pending = new Map<TableNumber, NodeJS.Timeout>();
	#duty: Duty = 'small-fleet';
	#decidedAt = performance.now();
	#timer: NodeJS.Timeout | undefined;

	constructor(options: TableSpreadOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
	}

	/** What goes with each message of this instance. */
	get news(): Omit<SpreadNews, 'deltas'> {
		const [first, second] = this.#options.tables;
		return {
			follows: follows(this.#duty),
			reachesStore: follows(this.#duty) && first.watch.isInTouch && second.watch.isInTouch,
			afterOutage: this.#options.isAfterOutage(),
			tables: [first.copy.state, second.copy.state],
		};
	}

	start(): void {
		for (const {watch} of this.#options.tables) {
			void watch.run();
		}

		this.#timer = setInterval(() => {
			this.#decide();
		}, dutyInterval);
	}

	close(): void {
		clearInterval(this.#timer);
		for (const timer of this.#pending.values()) {
			clearTimeout(timer);
		}

		for (const {watch} of this.#options.tables) {
			watch.close();
		}
	}

	/** Takes in what a peer tells. */
	heard(ip: string, {tables, deltas, afterOutage}: SpreadNews): void {
		// One that follows the store itself knows of its outages, and of those of a part of the instances nothing follows.
		if (afterOutage && !follows(this.#duty)) {
			this.#options.onOutage();
		}

		for (const delta of deltas) {
			const {copy} = this.#options.tables[delta.table];
			if (copy.isBehind(delta.after)) {
				copy.takeDelta(delta);
			}
		}

		for (const [index, state] of tables.entries()) {
			const table = index === 0 ? 0 : 1;
			const {copy} = this.#options.tables[table];
			if (copy.state.sum === state.sum) {
				copy.confirm(state.asOf);
			} else if (copy.isBehind(state) && !this.#pending.has(table)) {
				this.#pending.set(table, setTimeout(() => {
					void this.#fetch(ip, table, state);
				}, this.#random() * fetchSpread));
			}
		}
	}

	async #fetch(ip: string, table: TableNumber, state: TableState): Promise<void> {
		const {tables, fetch, log} = this.#options;
		const {copy, watch, name} = tables[table];
		try {
			if (copy.isBehind(state)) {
				const content = await fetch(ip, table);
				copy.takeAll(content.rows, content.state);
				log.info('table.fetched', {
					table: name, peer: ip, rows: content.rows.length, as_of: content.state.asOf, own_as_of: copy.state.asOf,
				});
			}
		} catch (error) {
			log.warn('table.fetch-failed', {table: name, peer: ip, reason: errorMessage(error)});
			watch.refresh();
		} finally {
			this.#pending.delete(table);
		}
	}

	#decide(): void {
		const {ip, peers, tables, log} = this.#options;
		const now = performance.now();
		const known = peers();
		const duty = dutyOf({
			ip, peers: known, now, chance: this.#random(), sinceLast: now - this.#decidedAt,
		});
		this.#decidedAt = now;
		// A try during an outage lasts until its call has ended.
		const isTrying = this.#duty === 'outage-try' && duty === 'none' && tables.some(({watch}) => watch.isCalling);
		if (duty === this.#duty || isTrying) {
			return;
		}

		log.info('store.duty', {duty, before: this.#duty, peers: known.length});
		this.#duty = duty;
		for (const {watch} of tables) {
			watch.setActive(follows(duty));
		}
	}
}
