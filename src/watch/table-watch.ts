/**
 * Follows one table of the platform's store: a read, then a feed of its changes.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {errorMessage} from '../errors/errors.js';
import {delay} from '../request/time-limit.js';
import {HistoryLostError, type RowChange, type RowSource} from './row-source.js';

/** First and longest time in milliseconds between two calls while the store does not answer. */
const initialRetryDelay = 100;
const maximumRetryDelay = 1000;

/** The same while other instances reach the store and tell what changes; every refused call costs as much as an answered one. */
const maximumRetryDelayWithPeers = 3000;

/** Factor between two such times. */
const retryBackoffFactor = 2;

/** Time in milliseconds in which further changes are gathered before the feed is asked again. */
const changeBatchDelay = 150;

/** Share of a feed's wait that is random, so that instances do not ask in step. */
const jitter = 0.5;

/** Told what is in the table. */
export interface TableListener {
	/** All rows, replacing what was known. @param regained - Whether the store had not answered before. */
	onSnapshot(rows: readonly RowChange[], regained: boolean, version: number): void;
	onChanges(rows: readonly RowChange[], version: number): void;
	/** Nothing has changed up to a version. */
	onVersionConfirmed?(version: number): void;
	/** The store does not answer; what is known may be out of date. */
	onStoreUnavailable(reason: string): void;
}

/** What a watch works with. */
export type TableWatchOptions = {
	source: RowSource;
	table: string;
	listener: TableListener;
	/** Longest time in milliseconds that one feed call waits, asked at each call. */
	maximumPollWait: () => number;
	/** Whether other instances reach the store and tell what changes. */
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
	#wake: (() => void) | undefined;

	constructor(options: TableWatchOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
	}

	/** Version of the store up to which the table is known; 0 before the first read. */
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

	/** Whether a call is under way. */
	get isCalling(): boolean {
		return this.#isCalling;
	}

	/** Goes on following the store, with a read of all rows, or stops. */
	setActive(isActive: boolean): void {
		if (isActive === this.#isActive) {
			return;
		}

		this.#isActive = isActive;
		this.#version = undefined;
		this.#callController.abort();
		this.#wake?.();
	}

	/** Follows the table until `close`. */
	async run(): Promise<void> {
		while (!this.#closeController.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await (this.#isActive ? this.#callStore() : this.#waitUntilActive());
		}
	}

	/** Reads the table anew at once, because another instance has seen a newer version. */
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

	/** Waits until the store is to be followed again; a refresh meanwhile reads the table once. */
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
		const {source, table, listener} = this.#options;
		this.#callController = new AbortController();
		const {rows, version} = await source.read(table, this.#callController.signal);
		const regained = this.#consecutiveFailures > 0;
		this.#version = version;
		this.#consecutiveFailures = 0;
		this.#lastAnswerAt = performance.now();
		listener.onSnapshot(rows, regained, version);
	}

	async #pollChanges(from: number): Promise<void> {
		const {source, table, listener, maximumPollWait: feedWait} = this.#options;
		const wait = Math.round(feedWait() * (1 - (jitter * this.#random())));
		this.#callController = new AbortController();
		const {rows, version} = await source.pollChanges(table, from, wait, this.#callController.signal);
		this.#version = Math.max(from, version);
		this.#lastAnswerAt = performance.now();
		if (rows.length > 0) {
			listener.onChanges(rows, version);
			await delay(changeBatchDelay, this.#closeController.signal);
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

		const time = Math.min(this.#options.canPeersReachStore() ? maximumRetryDelayWithPeers : maximumRetryDelay, initialRetryDelay * (retryBackoffFactor ** (this.#consecutiveFailures - 1)));
		await delay(time * (1 - (jitter * this.#random())), this.#closeController.signal);
	}
}
