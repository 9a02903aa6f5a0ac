/**
 * Watches one table of the platform's metadata store: reads a snapshot, then polls for changes.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {errorMessage} from '../errors/errors.js';
import {delay} from '../request/time-limit.js';
import type {EventLog} from '../telemetry/log.js';
import {HistoryLostError, type RowChange, type RowSource} from './row-source.js';

/** First and longest delay in milliseconds before a retry while the store does not answer. */
const initialRetryDelay = 100;
const maximumRetryDelay = 1000;

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

/** Receives the contents of a table. */
export interface TableListener {
	/** Called with all rows, which replace the rows known before. @param isAfterOutage - Whether the calls before this read failed. */
	onSnapshot(rows: readonly RowChange[], isAfterOutage: boolean, version: number): void;
	onChanges(rows: readonly RowChange[], version: number): void;
	/** Called if nothing has changed up to a version. */
	onVersionConfirmed?(version: number): void;
	/** Called when the store stops answering; the known rows may be out of date. */
	onStoreUnavailable(reason: string): void;
}

/** Options of a `TableWatch`. */
export type TableWatchOptions = {
	source: RowSource;
	table: string;
	listener: TableListener;
	log: EventLog;
	/** Time in milliseconds that the next poll waits. @param isAfterChange - Whether the call before it received changes. */
	pollWait: (isAfterChange: boolean) => number;
	/** Number of instances that watch the store and reach it, this one included. */
	watcherCount: () => number;
	/** Whether any peer reaches the store and sends its changes. */
	canPeersReachStore: () => boolean;
	/** @default Math.random */
	random?: () => number;
};

/** Keeps a listener up to date on one table. */
export class TableWatch {
	readonly #options: TableWatchOptions;
	readonly #random: () => number;
	readonly #closeController = new AbortController();
	#callController = new AbortController();
	#version: number | undefined;
	#consecutiveFailures = 0;
	#lastAnswerAt = performance.now();
	#isActive = true;
	#isCalling = false;
	#isAfterChange = true;
	#wake: (() => void) | undefined;

	constructor(options: TableWatchOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
	}

	/** Store version up to which the table is known; 0 before the first read. */
	get version(): number {
		return this.#version ?? 0;
	}

	/** Time in milliseconds since the store last answered. */
	get timeSinceLastAnswer(): number {
		return performance.now() - this.#lastAnswerAt;
	}

	/** Whether the store answered the last call. */
	get isStoreReachable(): boolean {
		return this.#version !== undefined && this.#consecutiveFailures === 0;
	}

	/** Whether a store call or the delay that follows it is in progress. */
	get isCalling(): boolean {
		return this.#isCalling;
	}

	/** Resumes watching the store with a read of all rows, or pauses. */
	setActive(isActive: boolean): void {
		if (isActive === this.#isActive) {
			return;
		}

		this.#isActive = isActive;
		this.#version = undefined;
		this.#callController.abort();
		this.#wake?.();
	}

	/** Watches the table until `close`. */
	async run(): Promise<void> {
		while (!this.#closeController.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await (this.#isActive ? this.#callStore() : this.#waitUntilActive());
		}
	}

	/** Reads the whole table again at once; for use when a peer has a newer version. */
	refresh(): void {
		this.#version = undefined;
		this.#callController.abort();
		this.#wake?.();
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
		this.#isCalling = true;
		try {
			await (this.#version === undefined || this.#consecutiveFailures > 0 ? this.#readSnapshot() : this.#pollChanges(this.#version));
		} catch (error) {
			await this.#handleFailure(error);
		} finally {
			this.#isCalling = false;
		}
	}

	async #readSnapshot(): Promise<void> {
		const {source, table, listener, log} = this.#options;
		this.#callController = new AbortController();
		const {rows, version, era} = await source.read(table, this.#callController.signal);
		const isAfterOutage = this.#consecutiveFailures > 0;
		log.info('table.read', {
			table, rows: rows.length, era, as_of: version, after_failures: this.#consecutiveFailures, silence: Math.round(this.timeSinceLastAnswer),
		});
		this.#version = version;
		this.#consecutiveFailures = 0;
		this.#lastAnswerAt = performance.now();
		listener.onSnapshot(rows, isAfterOutage, version);
	}

	async #pollChanges(sinceVersion: number): Promise<void> {
		const {source, table, listener, pollWait, watcherCount} = this.#options;
		const wait = pollWait(this.#isAfterChange);
		this.#callController = new AbortController();
		const {rows, version} = await source.pollChanges(table, sinceVersion, wait, this.#callController.signal);
		this.#version = Math.max(sinceVersion, version);
		this.#lastAnswerAt = performance.now();
		this.#isAfterChange = rows.length > 0;
		if (rows.length > 0) {
			listener.onChanges(rows, version);
			await delay(Math.min(maximumChangeBatchDelay, changeBatchDelayPerWatcher * watcherCount()), this.#closeController.signal);
		} else {
			listener.onVersionConfirmed?.(version);
		}
	}

	async #handleFailure(error: unknown): Promise<void> {
		if (this.#closeController.signal.aborted || this.#callController.signal.aborted) {
			return;
		}

		if (error instanceof HistoryLostError) {
			this.#version = undefined;
			return;
		}

		this.#consecutiveFailures += 1;
		if (this.#consecutiveFailures === 1) {
			this.#options.listener.onStoreUnavailable(errorMessage(error));
		}

		const retryDelay = Math.min(this.#options.canPeersReachStore() ? maximumRetryDelayWithPeers : maximumRetryDelay, initialRetryDelay * (retryBackoffFactor ** (this.#consecutiveFailures - 1)));
		await delay(retryDelay * (1 - (jitter * this.#random())), this.#closeController.signal);
	}
}
