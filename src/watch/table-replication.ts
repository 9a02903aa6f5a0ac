/**
 * Replicates the tables of the metadata store to all instances: some watch the store, the others receive deltas and
 * snapshots from peers.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {errorMessage} from '../errors/errors.js';
import type {TableSnapshot, TableIndex} from '../peers/table-transfer.js';
import type {EventLog} from '../telemetry/log.js';
import {
	type StoreWatchReason, type PeerStatus, storeWatchReason, isTemporary, isWatching, type TableTimes,
} from './store-watcher-selection.js';
import type {ConfirmationTimes} from './confirmation-times.js';
import {initialPosition} from './store-position.js';
import type {TableReplica, TableDelta, TableDigest} from './table-replica.js';
import type {TableWatch} from './table-watch.js';

/** Longest random delay in milliseconds before an instance fetches a table that it lacks, so that not all fetch it at once. */
const maximumFetchDelay = 120;

/** Time in milliseconds between two decisions whether to watch the store. */
const watchDecisionInterval = 250;

/** What an instance reports about its tables in each message. */
export type ReplicationStatus = {
	isStoreWatcher: boolean;
	canReachStore: boolean;
	/** Whether entries may be missing because they expired during an outage. */
	isRecoveringFromOutage: boolean;
	digests: readonly [TableDigest, TableDigest];
	/** Times in milliseconds since the store last answered the sender, for each table; undefined where it does not watch the store, or is of an earlier build. */
	confirmationAges?: TableTimes | undefined;
	/** Changes that the sender has just received from the store. */
	deltas: ReadonlyArray<TableDelta & {table: TableIndex}>;
};

/** The replica of one table and the watch that updates it. */
export type ReplicatedTable = {name: string; replica: TableReplica; watch: TableWatch};

/** Options of a `TableReplication`. */
export type TableReplicationOptions = {
	tables: readonly [ReplicatedTable, ReplicatedTable];
	ip: string;
	log: EventLog;
	peers: () => readonly PeerStatus[];
	fetchSnapshot: (ip: string, table: TableIndex) => Promise<TableSnapshot>;
	/** Called when a peer reports that it has just been through a store outage. */
	onPeerOutage: () => void;
	/** Called with the first era of the store that this instance or a peer has read, and each time the store has come back from an older copy. */
	onEra: (era: number) => void;
	/** Whether this instance has just been through a store outage. */
	isRecoveringFromOutage: () => boolean;
	/** Time in milliseconds within which a change must be in force. */
	changeLimit: number;
	confirmationTimes: ConfirmationTimes;
	/**
	 * Age in milliseconds of the newest answer at which an instance of a fleet in which all watch the store asks it once more.
	 * @default never
	 */
	recheckAge?: number | undefined;
	/** Called when the store has answered this instance, which watches it until others do. */
	onStoreReached: () => void;
	/** @default Math.random */
	random?: () => number;
};

/** Table replication of one instance. */
export class TableReplication {
	readonly #options: TableReplicationOptions;
	readonly #random: () => number;
	readonly #pendingFetches = new Map<TableIndex, NodeJS.Timeout>();
	#watchReason: StoreWatchReason = 'small-fleet';
	#watchReasonSince = performance.now();
	/** Latest era of the store that this instance has heard of. */
	#era: number | undefined;
	#lastDecisionAt = performance.now();
	readonly #recheckedAt: [number, number] = [Number.NEGATIVE_INFINITY, Number.NEGATIVE_INFINITY];
	#decisionTimer: NodeJS.Timeout | undefined;
	/** Whether the store has answered no watcher for so long that a change may have been missed. */
	#isUnconfirmed = false;

	constructor(options: TableReplicationOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
	}

	/** Included in each message of this instance. */
	get status(): Omit<ReplicationStatus, 'deltas'> {
		const [first, second] = this.#options.tables;
		const canReachStore = isWatching(this.#watchReason) && first.watch.isStoreReachable && second.watch.isStoreReachable;
		return {
			isStoreWatcher: isTemporary(this.#watchReason) ? canReachStore : isWatching(this.#watchReason),
			canReachStore,
			isRecoveringFromOutage: this.#options.isRecoveringFromOutage(),
			digests: [first.replica.digest, second.replica.digest],
			confirmationAges: this.#confirmationAges,
		};
	}

	/** Whether this instance watches the store only until others do. */
	get isTemporaryWatcher(): boolean {
		return isTemporary(this.#watchReason);
	}

	/** Time in milliseconds since the store last answered a watcher that this instance hears, or itself; for the table whose answer is older. */
	get timeSinceConfirmation(): number {
		return performance.now() - Math.min(this.#confirmedAt(0), this.#confirmedAt(1));
	}

	/** Time in milliseconds since the store confirmed the table of engines to a watcher that still reaches it, this instance or a peer; infinite if there is none. */
	get engineTableAge(): number {
		const {tables: [, {watch}], peers} = this.#options;
		const own = watch.isStoreReachable ? watch.lastAnswerAt : Number.NEGATIVE_INFINITY;
		return performance.now() - Math.max(own, ...peers().filter(({canReachStore}) => canReachStore).map(({confirmedAt}) => confirmedAt[1]));
	}

	/** Monotonic time in milliseconds at which the store, or a peer with news from it, last confirmed the table of engines. */
	get enginesConfirmedAt(): number {
		const {replica, watch} = this.#options.tables[1];
		return Math.max(replica.lastPeerNewsAt, performance.now() - watch.timeSinceLastAnswer);
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

	/** Continues with the second table once the store has answered a temporary watcher for the first one, and tells the peers when it has answered for both. */
	handleTableRead(): void {
		if (!this.isTemporaryWatcher) {
			return;
		}

		for (const {watch} of this.#options.tables) {
			watch.setActive(true);
		}

		if (this.status.canReachStore) {
			this.#options.onStoreReached();
		}
	}

	/** Processes the status that a peer reports: applies its deltas and schedules a fetch of each table that is behind. */
	receive(ip: string, {digests, deltas, isRecoveringFromOutage}: ReplicationStatus): void {
		// A store watcher sees its outages itself, and an outage that only some instances see does not affect it.
		if (isRecoveringFromOutage && !isWatching(this.#watchReason)) {
			this.#options.onPeerOutage();
		}

		for (const delta of deltas) {
			const {replica} = this.#options.tables[delta.table];
			if (replica.isBehind(delta.digest)) {
				replica.applyDelta(delta);
			} else {
				replica.applyRewrites(delta);
			}
		}

		for (const [index, digest] of digests.entries()) {
			const table = index === 0 ? 0 : 1;
			const {replica, watch} = this.#options.tables[table];
			this.#noteEra(digest);
			watch.onPeerEra(digest.era);
			if (replica.digest.checksum === digest.checksum) {
				replica.onPositionConfirmed(digest, 'peer');
			}

			if (replica.isBehind(digest) && !this.#pendingFetches.has(table)) {
				this.#pendingFetches.set(table, setTimeout(() => {
					void this.#fetchSnapshot(ip, table, digest);
				}, this.#random() * maximumFetchDelay));
			}
		}
	}

	/** Takes note of the era that this instance or a peer has read. */
	#noteEra({era, version}: TableDigest): void {
		const hasRead = version > initialPosition.version;
		if (!hasRead || (this.#era !== undefined && era <= this.#era)) {
			return;
		}

		const before = this.#era;
		this.#era = era;
		this.#options.log.info('store.era', {era, before});
		this.#options.onEra(era);
	}

	async #fetchSnapshot(ip: string, table: TableIndex, digest: TableDigest): Promise<void> {
		const {tables, fetchSnapshot, log} = this.#options;
		const {replica, watch, name} = tables[table];
		try {
			if (replica.isBehind(digest)) {
				const snapshot = await fetchSnapshot(ip, table);
				replica.applySnapshot(snapshot.rows, snapshot.digest);
				log.info('table.fetched', {
					table: name, peer: ip, rows: snapshot.rows.length, era: snapshot.digest.era, as_of: snapshot.digest.version, own_as_of: replica.digest.version,
				});
			}
		} catch (error) {
			log.warn('table.fetch-failed', {table: name, peer: ip, reason: errorMessage(error)});
			watch.refresh();
		} finally {
			this.#pendingFetches.delete(table);
		}
	}

	get #confirmationAges(): TableTimes | undefined {
		const [first, second] = this.#options.tables;
		const now = performance.now();
		const ages: TableTimes = [now - first.watch.lastAnswerAt, now - second.watch.lastAnswerAt];
		return isWatching(this.#watchReason) && ages.every(age => Number.isFinite(age)) ? ages : undefined;
	}

	/** Reports that a change may have been missed, and that the store has been heard of again. */
	#reportConfirmation(age: number): void {
		const isUnconfirmed = age > this.#options.changeLimit;
		if (isUnconfirmed !== this.#isUnconfirmed) {
			this.#isUnconfirmed = isUnconfirmed;
			this.#options.log.info(isUnconfirmed ? 'store.unconfirmed' : 'store.confirmed', {
				age: Math.round(age), duty: this.#watchReason, watchers: this.#options.peers().filter(({isStoreWatcher}) => isStoreWatcher).length,
			});
		}
	}

	/** Monotonic time in milliseconds at which the store last answered a watcher that this instance hears, or itself, for a table. */
	#confirmedAt(table: TableIndex): number {
		return Math.max(this.#options.tables[table].watch.lastAnswerAt, ...this.#options.peers().map(peer => peer.confirmedAt[table]));
	}

	/** Asks for the changes of a table once more where the polls of all watchers, which end in turn, have brought no answer for too long. */
	#recheckTables(now: number): void {
		const {tables, recheckAge = Number.POSITIVE_INFINITY, log} = this.#options;
		for (const table of [0, 1] as const) {
			const {name, watch} = tables[table];
			const age = now - Math.max(this.#confirmedAt(table), this.#recheckedAt[table]);
			if (this.#watchReason === 'small-fleet' && age >= recheckAge && watch.isStoreReachable) {
				log.info('store.recheck', {table: name, age: Math.round(now - this.#confirmedAt(table))});
				this.#recheckedAt[table] = now;
				watch.recheck();
			}
		}
	}

	#coverOutages(confirmationAge: number): void {
		for (const {watch} of this.#options.tables) {
			if (!isWatching(this.#watchReason) && confirmationAge < watch.timeSinceLastFailure) {
				watch.coverOutage();
			}
		}
	}

	/** Decides whether to watch the store. */
	#updateWatchReason(): void {
		const {ip, peers, tables, log, confirmationTimes} = this.#options;
		for (const {replica} of tables) {
			this.#noteEra(replica.digest);
		}

		const now = performance.now();
		const confirmationAge = this.timeSinceConfirmation;
		this.#reportConfirmation(confirmationAge);
		const currentPeers = peers();
		const reason = storeWatchReason({
			ip, peers: currentPeers, now, randomValue: this.#random(), timeSinceLastDecision: now - this.#lastDecisionAt,
			current: {reason: this.#watchReason, since: this.#watchReasonSince}, confirmationAge, times: confirmationTimes,
			timeSinceLastFailure: Math.min(...tables.map(({watch}) => watch.timeSinceLastFailure)),
		});
		this.#lastDecisionAt = now;
		this.#coverOutages(confirmationAge);
		this.#recheckTables(now);
		if (reason === this.#watchReason) {
			return;
		}

		log.info('store.duty', {
			duty: reason, before: this.#watchReason, peers: currentPeers.length, confirmed_age: Math.round(confirmationAge),
		});
		this.#watchReason = reason;
		this.#watchReasonSince = now;
		// A store that does not answer is asked for one table only.
		const asked = isTemporary(reason) ? tables.slice(0, 1) : tables;
		for (const {watch} of asked) {
			watch.setActive(isWatching(reason));
		}
	}
}
