/**
 * Records that wait to be written, bounded in number.
 *
 * @module
 */
import type {GapRecord, LedgerRecord, RequestRecord} from './record.js';

/** Records by request; an ending replaces the admission that still waits. */
export class PendingRecords {
	readonly #limit: number;
	readonly #records = new Map<string, RequestRecord>();
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

		// An ending goes behind the records that came before it, so that segments hold them in their order.
		this.#records.delete(requestId);
		this.#records.set(requestId, record);
		return true;
	}

	/** Takes out the oldest records, the gap record first where records were lost. */
	take(count: number): LedgerRecord[] {
		const gap = this.#gap === undefined ? [] : [this.#gap];
		this.#gap = undefined;
		const records = [...this.#records.values()].slice(0, count);
		for (const {promise} of records) {
			this.#records.delete(promise.requestId);
		}

		return [...gap, ...records];
	}

	#countLost(): void {
		const now = Date.now();
		this.#gap = {
			kind: 'gap', lost: (this.#gap?.lost ?? 0) + 1, from: this.#gap?.from ?? now, to: now,
		};
	}
}
