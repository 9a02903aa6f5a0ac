/**
 * Records that wait to be written, bounded in number.
 *
 * @module
 */
import type {GapRecord, LedgerRecord, RequestRecord} from './record.js';

/** A record with its number, which rises from 1 within an incarnation. */
export type NumberedRecord = {number: number; record: RequestRecord};

/** Records taken out to be written. */
export type TakenRecords = {
	records: LedgerRecord[];
	/** Those of them that have numbers. */
	numbered: NumberedRecord[];
};

/** Records by request; an ending replaces the admission that still waits. */
export class PendingRecords {
	readonly #limit: number;
	readonly #records = new Map<string, NumberedRecord>();
	#lastNumber = 0;
	#gap: GapRecord | undefined;

	/** @param limit - Greatest number of records held. */
	constructor(limit: number) {
		this.#limit = limit;
	}

	/** Records held, a gap record included. */
	get size(): number {
		return this.#records.size + (this.#gap === undefined ? 0 : 1);
	}

	/**
	 * Adds a record.
	 *
	 * @returns false where the buffer is full and the record was counted as lost.
	 */
	add(record: RequestRecord): boolean {
		const {requestId} = record.promise;
		if (this.#records.size >= this.#limit && !this.#records.has(requestId)) {
			this.#countLost();
			return false;
		}

		// An ending goes behind the records that came before it, so that numbers rise in the order of writing.
		this.#records.delete(requestId);
		this.#lastNumber += 1;
		this.#records.set(requestId, {number: this.#lastNumber, record});
		return true;
	}

	/** Takes out the oldest records, the gap record first where records were lost. */
	take(count: number): TakenRecords {
		const gap = this.#gap === undefined ? [] : [this.#gap];
		this.#gap = undefined;
		const numbered = [...this.#records.values()].slice(0, count);
		for (const {record} of numbered) {
			this.#records.delete(record.promise.requestId);
		}

		return {records: [...gap, ...numbered.map(({record}) => record)], numbered};
	}

	/** Records held, oldest first. */
	values(): IterableIterator<NumberedRecord> {
		return this.#records.values();
	}

	#countLost(): void {
		const now = Date.now();
		this.#gap = {
			kind: 'gap', lost: (this.#gap?.lost ?? 0) + 1, from: this.#gap?.from ?? now, to: now,
		};
	}
}
