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
const firstRetry = 100;
const longestRetry = 1000;

/** The same while other instances reach the store and tell what changes; every refused call costs as much as an answered one. */
const patientRetry = 3000;

/** Factor between two such times. */
const retryGrowth = 2;

/** Time in milliseconds in which further changes are gathered before the feed is asked again. */
const gatherTime = 150;

/** Share of a feed's wait that is random, so that instances do not ask in step. */
const waitSpread = 0.5;

/** Told what is in the table. */
export interface TableListener {
	/** All rows, replacing what was known. @param regained - Whether the store had not answered before. */
	replaced(rows: readonly RowChange[], regained: boolean, version: number): void;
	changed(rows: readonly RowChange[], version: number): void;
	/** Nothing has changed up to a version. */
	confirm?(version: number): void;
	/** The store does not answer; what is known may be out of date. */
	lost(reason: string): void;
}

/** What a watch works with. */
export type TableWatchOptions = {
	source: RowSource;
	table: string;
	listener: TableListener;
	/** Longest time in milliseconds that one feed call waits, asked at each call. */
	feedWait: () => number;
	/** Whether other instances reach the store and tell what changes. */
	isHelped: () => boolean;
	/** @default Math.random */
	random?: () => number;
};

/** Keeps a listener up to date on one table. */
export class TableWatch {
	readonly #options: TableWatchOptions;
	readonly #random: () => number;
	readonly #closing = new AbortController();
	#call = new AbortController();
	#version: number | undefined;
	#failures = 0;
	#confirmedAt = performance.now();
	#isActive = true;
	#isCalling = false;
	#activated: (() => void) | undefined;

	constructor(options: TableWatchOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
	}

	/** Version of the store up to which the table is known; 0 before the first read. */
	get version(): number {
		return this.#version ?? 0;
	}

	/** Time in milliseconds since the store last answered. */
	get age(): number {
		return performance.now() - this.#confirmedAt;
	}

	/** Whether the store answered the last call. */
	get isInTouch(): boolean {
		return this.#version !== undefined && this.#failures === 0;
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
		this.#call.abort();
		this.#activated?.();
	}

	/** Follows the table until `close`. */
	async run(): Promise<void> {
		while (!this.#closing.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await (this.#isActive ? this.#step() : this.#untilActive());
		}
	}

	/** Reads the table anew at once, because another instance has seen a newer version. */
	refresh(): void {
		this.#version = undefined;
		this.#call.abort();
		this.#activated?.();
	}

	close(): void {
		this.#closing.abort();
		this.#call.abort();
		this.#activated?.();
	}

	/** Waits until the store is to be followed again; a refresh meanwhile reads the table once. */
	async #untilActive(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#activated = resolve;
		});
		this.#activated = undefined;
		if (!this.#isActive && !this.#closing.signal.aborted) {
			await this.#step();
		}
	}

	async #step(): Promise<void> {
		this.#isCalling = true;
		try {
			await (this.#version === undefined || this.#failures > 0 ? this.#readAll() : this.#followFeed(this.#version));
		} catch (error) {
			await this.#recover(error);
		} finally {
			this.#isCalling = false;
		}
	}

	async #readAll(): Promise<void> {
		const {source, table, listener} = this.#options;
		this.#call = new AbortController();
		const {rows, version} = await source.read(table, this.#call.signal);
		const regained = this.#failures > 0;
		this.#version = version;
		this.#failures = 0;
		this.#confirmedAt = performance.now();
		listener.replaced(rows, regained, version);
	}

	async #followFeed(from: number): Promise<void> {
		const {source, table, listener, feedWait} = this.#options;
		const wait = Math.round(feedWait() * (1 - (waitSpread * this.#random())));
		this.#call = new AbortController();
		const {rows, version} = await source.feed(table, from, wait, this.#call.signal);
		this.#version = Math.max(from, version);
		this.#confirmedAt = performance.now();
		if (rows.length > 0) {
			listener.changed(rows, version);
			await delay(gatherTime, this.#closing.signal);
		} else {
			listener.confirm?.(version);
		}
	}

	async #recover(error: unknown): Promise<void> {
		if (this.#closing.signal.aborted || this.#call.signal.aborted) {
			return;
		}

		if (error instanceof HistoryLostError) {
			this.#version = undefined;
			return;
		}

		this.#failures += 1;
		if (this.#failures === 1) {
			this.#options.listener.lost(errorMessage(error));
		}

		const time = Math.min(this.#options.isHelped() ? patientRetry : longestRetry, firstRetry * (retryGrowth ** (this.#failures - 1)));
		await delay(time * (1 - (waitSpread * this.#random())), this.#closing.signal);
	}
}
