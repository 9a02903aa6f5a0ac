/**
 * Task that writes the promises of this instance and their endings to the ledger.
 *
 * One segment is under way at a time; records that come meanwhile wait in a bounded buffer.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {errorMessage} from '../errors/errors.js';
import {sleep} from '../platform/backoff.js';
import type {ObjectStore} from '../platform/object-store.js';
import type {RequestMetadata} from '../request/request-lifecycle.js';
import type {EventLog} from '../telemetry/log.js';
import type {ObservedEnding, RequestObserver} from './observer.js';
import {PendingRecords} from './pending-records.js';
import type {RequestPromise, RequestRecord} from './record.js';
import {
	dayOf, firstPosition, positionAfter, sealSegment, type ChainPosition, type Segment,
} from './segment.js';
import {SegmentStore} from './segment-store.js';

/** Time in milliseconds between two attempts to write the last segment at shutdown. */
const closeRetryInterval = 250;

export type LedgerTaskOptions = {
	instance: string;
	/** Unique for each start of the instance. */
	incarnation: string;
	objects: ObjectStore;
	log: EventLog;
	/** Records that make a segment full. */
	batchSize: number;
	/** Longest time in milliseconds that a record waits for its segment to fill. */
	batchTime: number;
	/** Greatest number of records held while the object store takes none. */
	buffer: number;
};

type OpenPromise = {
	promise: RequestPromise;
	/** Wall-clock and monotonic time in milliseconds at which this ledger was told of it. */
	toldAt: number;
	toldAtMonotonic: number;
};

/** Writes the ledger of one incarnation. */
export class LedgerTask implements RequestObserver {
	readonly #options: LedgerTaskOptions;
	readonly #segments: SegmentStore;
	readonly #pending: PendingRecords;
	readonly #open = new Map<string, OpenPromise>();
	#position: ChainPosition;
	#sealed: Segment | undefined;
	#writing: Promise<void> | undefined;
	#chains = 1;
	#overflowing = false;
	/** Whether the last segment was not taken; the next attempt then waits for the timer. */
	#failing = false;
	/** Whether the records that wait are to be written though they do not fill a segment. */
	#isDue = false;
	#closing = false;
	#closed = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: LedgerTaskOptions) {
		this.#options = options;
		this.#segments = new SegmentStore(options.objects);
		this.#pending = new PendingRecords(options.buffer);
		this.#position = firstPosition(options.instance, options.incarnation);
	}

	/** Begins to write from time to time. */
	start(): void {
		this.#timer = setInterval(() => {
			this.#isDue = true;
			this.#startWriting();
		}, this.#options.batchTime);
	}

	/** Stops at once; what is not written is lost. */
	stop(): void {
		clearInterval(this.#timer);
	}

	admitted(terms: RequestMetadata, deferred: boolean, admittedAt = Date.now()): void {
		if (this.#open.has(terms.requestId)) {
			// A claim can admit a request again; its promise is the first one.
			return;
		}

		const now = Date.now();
		const promise: RequestPromise = {
			requestId: terms.requestId,
			customer: terms.customer,
			requestClass: terms.requestClass,
			deadline: Math.round(now + terms.deadlineAt - performance.now()),
			nonIdempotent: terms.nonIdempotent,
			deferred,
			admittedAt,
		};
		this.#open.set(terms.requestId, {promise, toldAt: now, toldAtMonotonic: performance.now()});
		this.#add({kind: 'admitted', promise});
	}

	ended({requestId}: RequestMetadata, ending: ObservedEnding): void {
		const open = this.#open.get(requestId);
		if (open === undefined) {
			return;
		}

		this.#open.delete(requestId);
		// The monotonic clock keeps the ending comparable to the deadline when the wall clock is set.
		const endedAt = Math.round(open.toldAt + performance.now() - open.toldAtMonotonic);
		this.#add({kind: 'ended', promise: open.promise, ending: {...ending, endedAt}});
	}

	left({requestId}: RequestMetadata): void {
		this.#open.delete(requestId);
	}

	/**
	 * Writes what is left and closes the chain.
	 *
	 * @param limit - Longest time in milliseconds to try while the object store is down.
	 * @returns whether everything is written.
	 */
	async close(limit: number): Promise<boolean> {
		clearInterval(this.#timer);
		this.#closing = true;
		const giveUpAt = performance.now() + limit;
		for (;;) {
			await this.#writing; // eslint-disable-line no-await-in-loop
			if (await this.#writeAll()) { // eslint-disable-line no-await-in-loop
				return true;
			}

			if (performance.now() + closeRetryInterval > giveUpAt) {
				this.stop();
				this.#options.log.error('ledger.not-closed', {records: this.#pending.size + (this.#sealed?.records.length ?? 0)});
				return false;
			}

			await sleep(closeRetryInterval); // eslint-disable-line no-await-in-loop
		}
	}

	#add(record: RequestRecord): void {
		const added = this.#pending.add(record);
		if (!added && !this.#overflowing) {
			this.#options.log.error('ledger.overflow', {buffer: this.#options.buffer});
		}

		this.#overflowing = !added;
		if (this.#pending.size >= this.#options.batchSize && !this.#failing) {
			this.#startWriting();
		}
	}

	#startWriting(): void {
		if (!this.#closing) {
			this.#writing ??= this.#writeInTurn();
		}
	}

	async #writeInTurn(): Promise<void> {
		this.#failing = !await this.#writeAll();
		this.#writing = undefined;
	}

	/** Writes until nothing is full or due. Returns false where the store did not take a segment. */
	async #writeAll(): Promise<boolean> {
		try {
			while (this.#sealed !== undefined || this.#hasToSeal) {
				this.#sealed ??= this.#seal();
				await this.#writeSealed(this.#sealed); // eslint-disable-line no-await-in-loop
			}

			return true;
		} catch (error) {
			this.#options.log.warn('ledger.segment-not-written', {
				key: this.#sealed?.key, waiting: this.#pending.size, reason: errorMessage(error),
			});
			return false;
		}
	}

	get #hasToSeal(): boolean {
		if (this.#closing) {
			return !this.#closed;
		}

		// A chain moves to the new day even when it is quiet, so that its next segment is found there.
		const isNewDay = this.#position.sequence > 0 && this.#position.day !== dayOf(Date.now());
		return this.#pending.size >= this.#options.batchSize || (this.#isDue && (this.#pending.size > 0 || isNewDay));
	}

	#seal(): Segment {
		const records = this.#pending.take(this.#options.batchSize);
		this.#isDue &&= this.#pending.size > 0;
		const closes = this.#closing && this.#pending.size === 0;
		return sealSegment(this.#position, records, closes ? this.#options.instance : undefined);
	}

	async #writeSealed(segment: Segment): Promise<void> {
		const put = await this.#segments.put(segment);
		if (put === 'present') {
			this.#beginNewChain(segment);
			return;
		}

		this.#sealed = undefined;
		this.#closed = segment.closedBy !== undefined;
		this.#position = positionAfter(segment);
		this.#options.log.debug('ledger.segment-written', {key: segment.key, records: segment.records.length});
	}

	/** Another writer has taken this place of the chain: what follows goes to a chain of its own. */
	#beginNewChain({key, records, closedBy}: Segment): void {
		const {instance, incarnation, log} = this.#options;
		this.#chains += 1;
		this.#position = firstPosition(instance, `${incarnation}.${this.#chains}`);
		this.#sealed = sealSegment(this.#position, records, closedBy);
		log.warn('ledger.chain-superseded', {key, chain: this.#position.incarnation});
	}
}
