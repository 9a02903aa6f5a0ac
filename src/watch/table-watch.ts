/**
 * Watches one table of the platform's metadata store: reads a snapshot, then polls for changes.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {errorMessage} from '../errors/errors.js';
import {delay} from '../request/time-limit.js';
import type {EventLog} from '../telemetry/log.js';
import {
	HistoryLostError, type RowChange, type RowSource, StoreError, type VersionedRows,
} from './row-source.js';
import type {StorePosition} from './store-position.js';

/** First and longest delay in milliseconds before a retry while the store does not answer. */
const initialRetryDelay = 100;
const maximumRetryDelay = 1000;

/** Longest time in milliseconds for which an instance may not notice that the store answers again, unless peers reach it and send its changes. */
export const longestWatchDelay = maximumRetryDelay;

/** Longest retry delay in milliseconds while peers reach the store and send its changes; every refused call costs as much as an answered one. */
const maximumRetryDelayWithPeers = 3000;

/** Factor between two retry delays. */
const retryBackoffFactor = 2;

/** Delay in milliseconds after changes before the next poll for each instance that watches: they poll in turn and send each other what they receive. */
const changeBatchDelayPerWatcher = 100;

/** Longest delay in milliseconds after changes, a fraction of the shortest time limit for a change to take effect. */
export const maximumChangeBatchDelay = 500;

/** Random share of retry delays, so that the calls of instances do not synchronize. */
const jitter = 0.5;

/** Whether rows were read from the store or received from a peer. */
export type RowOrigin = 'store' | 'peer';

/** Receives the contents of a table. */
export interface TableListener {
	/**
	 * Called with all rows, which replace the rows known before.
	 *
	 * @param isAfterOutage - Whether rows may be missing because they expired in an outage or were lost with an older copy.
	 */
	onSnapshot(rows: readonly RowChange[], isAfterOutage: boolean, position: StorePosition, origin?: RowOrigin): void;
	onChanges(rows: readonly RowChange[], position: StorePosition, origin?: RowOrigin): void;
	/** Called if nothing has changed up to a position. */
	onPositionConfirmed?(position: StorePosition): void;
	/** Called when the store does not answer a new connection either; entries may expire from now on. */
	onStoreUnavailable(reason: string): void;
	/** Called when the store has answered peers since then, and this instance leaves it to them. */
	onOutageCovered?(): void;
}

/** Passes the contents of one table on to several listeners, in their order. */
export class ListenerGroup implements TableListener {
	readonly #listeners: readonly TableListener[];

	constructor(listeners: readonly TableListener[]) {
		this.#listeners = listeners;
	}

	onSnapshot(...snapshot: Parameters<TableListener['onSnapshot']>): void {
		for (const listener of this.#listeners) {
			listener.onSnapshot(...snapshot);
		}
	}

	onChanges(...changes: Parameters<TableListener['onChanges']>): void {
		for (const listener of this.#listeners) {
			listener.onChanges(...changes);
		}
	}

	onStoreUnavailable(reason: string): void {
		for (const listener of this.#listeners) {
			listener.onStoreUnavailable(reason);
		}
	}

	onOutageCovered(): void {
		for (const listener of this.#listeners) {
			listener.onOutageCovered?.();
		}
	}
}

/** Options of a `TableWatch`. */
export type TableWatchOptions = {
	source: RowSource;
	table: string;
	listener: TableListener;
	log: EventLog;
	/**
	 * Time in milliseconds that the next poll waits.
	 *
	 * @param isAfterChange - Whether the polls of all watchers have just ended together: with a change, or as their first ones.
	 */
	pollWait: (isAfterChange: boolean, isFirst: boolean) => number;
	/** Number of instances that watch the store and reach it, this one included. */
	watcherCount: () => number;
	/** Whether any peer has had an answer of the store since a call of this instance failed, and sends its changes. */
	canPeersReachStore: () => boolean;
	/** Called when the whole table has been read. */
	onRead?: () => void;
	/** @default Math.random */
	random?: () => number;
};

/** Keeps a listener up to date on one table. */
export class TableWatch {
	readonly #options: TableWatchOptions;
	readonly #random: () => number;
	readonly #closeController = new AbortController();
	#callController = new AbortController();
	#position: StorePosition | undefined;
	/** Era of the store's last answer; undefined before the first one. */
	#era: number | undefined;
	/** Latest era that a peer has stated. */
	#peerEra = 0;
	#consecutiveFailures = 0;
	/** Whether the store has been shown to be away since its last answer. */
	#isStoreAway = false;
	/** Reads in a row that were needed because the store did not have the position of a poll. */
	#consecutiveResets = 0;
	#lastAnswerAt = performance.now();
	#lastFailureAt = Number.NEGATIVE_INFINITY;
	#lastSeenAwayAt = Number.NEGATIVE_INFINITY;
	#isActive = true;
	#isAfterChange = true;
	#isFirstPoll = true;
	/** Whether the next poll only asks for changes so far. */
	#isRecheck = false;
	#wake: (() => void) | undefined;

	constructor(options: TableWatchOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
	}

	/** Time in milliseconds since the store last answered. */
	get timeSinceLastAnswer(): number {
		return performance.now() - this.#lastAnswerAt;
	}

	/** Monotonic time in milliseconds at which the store last answered; `-Infinity` if it never has. */
	get lastAnswerAt(): number {
		return this.#era === undefined ? Number.NEGATIVE_INFINITY : this.#lastAnswerAt;
	}

	/** Time in milliseconds since a call to the store last failed; infinite if none has. */
	get timeSinceLastFailure(): number {
		return performance.now() - this.#lastFailureAt;
	}

	/** Time in milliseconds since the store was last shown to be away; infinite if it never was. */
	get timeSinceStoreAway(): number {
		return performance.now() - this.#lastSeenAwayAt;
	}

	/** Whether the store answered the last call. */
	get isStoreReachable(): boolean {
		return this.#position !== undefined && this.#consecutiveFailures === 0;
	}

	/** Resumes watching the store with a read of all rows, or pauses. */
	setActive(isActive: boolean): void {
		if (isActive === this.#isActive) {
			return;
		}

		this.#isActive = isActive;
		this.#position = undefined;
		if (isActive) {
			this.#options.source.closeIdleConnections?.();
		}

		this.#callController.abort();
		this.#wake?.();
	}

	/** Forgets the failed calls of this instance, and ends the outage that they have begun, once peers watch the store for it. */
	coverOutage(): void {
		if (!this.#isActive && this.#consecutiveFailures > 0) {
			const wasStoreAway = this.#isStoreAway;
			this.#consecutiveFailures = 0;
			this.#isStoreAway = false;
			if (wasStoreAway) {
				this.#options.listener.onOutageCovered?.();
			}
		}
	}

	/** Watches the table until `close`. */
	async run(): Promise<void> {
		while (!this.#closeController.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await (this.#isActive ? this.#callStore() : this.#waitUntilActive());
		}
	}

	/** Reads the whole table again at once; for use when a peer has newer rows. */
	refresh(): void {
		this.#position = undefined;
		this.#options.source.closeIdleConnections?.();
		this.#callController.abort();
		this.#wake?.();
	}

	/** Ends a poll in progress, whose connection may have gone silent, and asks for the changes so far on a new one. */
	recheck(): void {
		if (this.#isActive && this.isStoreReachable) {
			this.#isRecheck = true;
			this.#options.source.closeIdleConnections?.();
			this.#callController.abort();
		}
	}

	/** Reads the whole table again, once for each era, if a peer has heard of a later one than this instance. */
	onPeerEra(era: number): void {
		if (this.#era !== undefined && era > Math.max(this.#era, this.#peerEra)) {
			this.#peerEra = era;
			if (this.#isActive) {
				this.refresh();
			}
		}
	}

	close(): void {
		this.#closeController.abort();
		this.#callController.abort();
		this.#wake?.();
	}

	/** Waits until the watch becomes active again; `refresh` in the meantime reads the table once. */
	async #waitUntilActive(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#wake = resolve;
		});
		this.#wake = undefined;
		if (!this.#isActive && !this.#closeController.signal.aborted) {
			await this.#callStore();
		}
	}

	async #callStore(): Promise<void> {
		const isRead = this.#position === undefined || this.#consecutiveFailures > 0;
		try {
			await (isRead ? this.#readSnapshot() : this.#pollChanges(this.#position!));
		} catch (error) {
			await this.#handleFailure(error, isRead);
		}
	}

	async #readSnapshot(): Promise<void> {
		const {source, table, listener, log} = this.#options;
		this.#callController = new AbortController();
		const answer = await source.read(table, this.#callController.signal);
		const {rows, version} = answer;
		const eraBefore = this.#era ?? answer.era ?? 0;
		const era = answer.era ?? eraBefore;
		if (era < eraBefore) {
			throw new StoreError(`read of table "${table}"`, `the answer is of era ${era}, before era ${eraBefore}`);
		}

		const isAfterOutage = this.#isStoreAway || era > eraBefore;
		log.info('table.read', {
			table, rows: rows.length, era, as_of: version, era_before: eraBefore, after_failures: this.#consecutiveFailures, after_outage: isAfterOutage,
			silence: Math.round(this.timeSinceLastAnswer),
		});
		this.#era = era;
		this.#position = {era, version};
		this.#consecutiveFailures = 0;
		this.#isStoreAway = false;
		this.#lastAnswerAt = performance.now();
		listener.onSnapshot(rows, isAfterOutage, this.#position);
		this.#options.onRead?.();
	}

	async #pollChanges(since: StorePosition): Promise<void> {
		const {source, table, listener, pollWait, watcherCount} = this.#options;
		const isFirst = this.#isFirstPoll;
		this.#isFirstPoll = false;
		const isRecheck = this.#isRecheck;
		this.#isRecheck = false;
		const wait = isRecheck ? 0 : pollWait(this.#isAfterChange, isFirst);
		this.#callController = new AbortController();
		const answer = await source.pollChanges(table, since.version, wait, this.#callController.signal);
		this.#assertContinues(since, answer);
		const {rows, version} = answer;
		this.#position = {era: since.era, version};
		this.#lastAnswerAt = performance.now();
		this.#consecutiveResets = 0;
		// Instances that start together do not know each other at their first polls, so these end together, as do those that ask once more.
		this.#isAfterChange = rows.length > 0 || isFirst || isRecheck;
		if (rows.length > 0) {
			listener.onChanges(rows, this.#position);
			await delay(Math.min(maximumChangeBatchDelay, changeBatchDelayPerWatcher * watcherCount()), this.#closeController.signal);
		} else {
			listener.onPositionConfirmed?.(this.#position);
		}
	}

	/**
	 * An answer of another era, or of an earlier version, may lack changes made under versions that the store gave out twice.
	 *
	 * @throws {HistoryLostError}
	 */
	#assertContinues(since: StorePosition, {version, era = since.era}: VersionedRows): void {
		if (era !== since.era || version < since.version) {
			this.#options.log.warn('store.went-back', {
				table: this.#options.table, era, as_of: version, era_before: since.era, as_of_before: since.version,
			});
			throw new HistoryLostError(`poll of table "${this.#options.table}"`);
		}
	}

	async #handleFailure(error: unknown, isRead: boolean): Promise<void> {
		if (this.#closeController.signal.aborted || this.#callController.signal.aborted) {
			return;
		}

		if (error instanceof HistoryLostError) {
			this.#position = undefined;
			this.#consecutiveResets += 1;
			if (this.#consecutiveResets > 1) {
				await this.#delayRetry(this.#consecutiveResets - 1);
			}

			return;
		}

		this.#lastFailureAt = performance.now();
		this.#consecutiveFailures += 1;
		if (isRead) {
			this.#recordStoreAway(errorMessage(error));
		} else {
			this.#options.log.warn('store.poll-failed', {
				table: this.#options.table, silence: Math.round(this.timeSinceLastAnswer), reason: errorMessage(error),
			});
		}

		await this.#delayRetry(this.#consecutiveFailures);
	}

	/**
	 * A read is sent on a new connection, or on one that has just answered. A poll may fail because its connection has gone
	 * silent or was reset while the store is there.
	 */
	#recordStoreAway(reason: string): void {
		this.#lastSeenAwayAt = performance.now();
		if (!this.#isStoreAway) {
			this.#isStoreAway = true;
			this.#options.listener.onStoreUnavailable(reason);
		}
	}

	async #delayRetry(attempts: number): Promise<void> {
		const maximumDelay = this.#options.canPeersReachStore() ? maximumRetryDelayWithPeers : maximumRetryDelay;
		const retryDelay = Math.min(maximumDelay, initialRetryDelay * (retryBackoffFactor ** (attempts - 1)));
		await delay(retryDelay * (1 - (jitter * this.#random())), this.#closeController.signal);
	}
}
