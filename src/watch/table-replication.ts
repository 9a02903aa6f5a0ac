/**
 * Keeps tables alike at all instances: some follow the store, the others take changes and whole tables from them.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {errorMessage} from '../errors/errors.js';
import type {TableSnapshot, TableIndex} from '../peers/table-transfer.js';
import type {EventLog} from '../telemetry/log.js';
import {
	type StoreWatchReason, type PeerStatus, storeWatchReason, isWatching,
} from './store-watcher-selection.js';
import type {TableReplica, TableDelta, TableDigest} from './table-replica.js';
import type {TableWatch} from './table-watch.js';

/** Time in milliseconds in which instances ask for a table that they lack, so that not all ask at once. */
const maximumFetchDelay = 120;

/** Time in milliseconds between two decisions about following the store. */
const watchDecisionInterval = 250;

/** What a peer tells of its tables with each message. */
export type ReplicationStatus = {
	isStoreWatcher: boolean;
	canReachStore: boolean;
	/** Whether entries may be missing because they lapsed in an outage. */
	isRecoveringFromOutage: boolean;
	digests: readonly [TableDigest, TableDigest];
	/** Changes that the peer has just learned from the store. */
	deltas: ReadonlyArray<TableDelta & {table: TableIndex}>;
};

/** One table with what keeps it up to date. */
export type ReplicatedTable = {name: string; replica: TableReplica; watch: TableWatch};

/** What the spread works with. */
export type TableReplicationOptions = {
	tables: readonly [ReplicatedTable, ReplicatedTable];
	ip: string;
	log: EventLog;
	peers: () => readonly PeerStatus[];
	fetchSnapshot: (ip: string, table: TableIndex) => Promise<TableSnapshot>;
	/** Told that a peer has just been through an outage. */
	onPeerOutage: () => void;
	/** Whether this instance has just been through an outage. */
	isRecoveringFromOutage: () => boolean;
	/** @default Math.random */
	random?: () => number;
};

/** Tables of one instance among all instances. */
export class TableReplication {
	readonly #options: TableReplicationOptions;
	readonly #random: () => number;
	readonly #pendingFetches = new Map<TableIndex, NodeJS.Timeout>();
	#watchReason: StoreWatchReason = 'small-fleet';
	#lastDecisionAt = performance.now();
	#decisionTimer: NodeJS.Timeout | undefined;

	constructor(options: TableReplicationOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
	}

	/** What goes with each message of this instance. */
	get status(): Omit<ReplicationStatus, 'deltas'> {
		const [first, second] = this.#options.tables;
		return {
			isStoreWatcher: isWatching(this.#watchReason),
			canReachStore: isWatching(this.#watchReason) && first.watch.isStoreReachable && second.watch.isStoreReachable,
			isRecoveringFromOutage: this.#options.isRecoveringFromOutage(),
			digests: [first.replica.digest, second.replica.digest],
		};
	}

	start(): void {
		for (const {watch} of this.#options.tables) {
			void watch.run();
		}

		this.#decisionTimer = setInterval(() => {
			this.#updateWatchReason();
		}, watchDecisionInterval);
	}

	close(): void {
		clearInterval(this.#decisionTimer);
		for (const timer of this.#pendingFetches.values()) {
			clearTimeout(timer);
		}

		for (const {watch} of this.#options.tables) {
			watch.close();
		}
	}

	/** Takes in what a peer tells. */
	receive(ip: string, {digests: tables, deltas, isRecoveringFromOutage: afterOutage}: ReplicationStatus): void {
		// One that follows the store itself knows of its outages, and of those of a part of the instances nothing follows.
		if (afterOutage && !isWatching(this.#watchReason)) {
			this.#options.onPeerOutage();
		}

		for (const delta of deltas) {
			const {replica: copy} = this.#options.tables[delta.table];
			if (copy.isBehind(delta.digest)) {
				copy.applyDelta(delta);
			}
		}

		for (const [index, state] of tables.entries()) {
			const table = index === 0 ? 0 : 1;
			const {replica: copy} = this.#options.tables[table];
			if (copy.digest.checksum === state.checksum) {
				copy.onVersionConfirmed(state.version);
			} else if (copy.isBehind(state) && !this.#pendingFetches.has(table)) {
				this.#pendingFetches.set(table, setTimeout(() => {
					void this.#fetchSnapshot(ip, table, state);
				}, this.#random() * maximumFetchDelay));
			}
		}
	}

	async #fetchSnapshot(ip: string, table: TableIndex, state: TableDigest): Promise<void> {
		const {tables, fetchSnapshot: fetch, log} = this.#options;
		const {replica: copy, watch, name} = tables[table];
		try {
			if (copy.isBehind(state)) {
				const content = await fetch(ip, table);
				copy.applySnapshot(content.rows, content.digest);
				log.info('table.fetched', {
					table: name, peer: ip, rows: content.rows.length, as_of: content.digest.version, own_as_of: copy.digest.version,
				});
			}
		} catch (error) {
			log.warn('table.fetch-failed', {table: name, peer: ip, reason: errorMessage(error)});
			watch.refresh();
		} finally {
			this.#pendingFetches.delete(table);
		}
	}

	#updateWatchReason(): void {
		const {ip, peers, tables, log} = this.#options;
		const now = performance.now();
		const known = peers();
		const duty = storeWatchReason({
			ip, peers: known, now, randomValue: this.#random(), timeSinceLastDecision: now - this.#lastDecisionAt,
		});
		this.#lastDecisionAt = now;
		// A try during an outage lasts until its call has ended.
		const isProbing = this.#watchReason === 'outage-try' && duty === 'none' && tables.some(({watch}) => watch.isCalling);
		if (duty === this.#watchReason || isProbing) {
			return;
		}

		log.info('store.duty', {duty, before: this.#watchReason, peers: known.length});
		this.#watchReason = duty;
		for (const {watch} of tables) {
			watch.setActive(isWatching(duty));
		}
	}
}
