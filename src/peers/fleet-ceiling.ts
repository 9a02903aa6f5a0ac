/**
 * Largest number of instances known in the last hour.
 *
 * While the fleet is cut, an instance forgets those that it does not hear of, which still run.
 *
 * @module
 */

/** Time in milliseconds after which a larger number may be forgotten; longer than a network partition is expected to last. */
const memoryTime = 3_600_000;

/** Largest size of the fleet in the last one to two periods of the memory time. */
export class FleetCeiling {
	#periodStart = Number.NEGATIVE_INFINITY;
	#current = 1;
	#previous = 1;

	/** Records a number of instances. @returns the largest one. @param now - Monotonic time in milliseconds. */
	record(size: number, now: number): number {
		if (now - this.#periodStart >= memoryTime) {
			this.#previous = now - this.#periodStart >= 2 * memoryTime ? 1 : this.#current;
			this.#current = 1;
			this.#periodStart = now;
		}

		this.#current = Math.max(this.#current, size);
		return Math.max(this.#current, this.#previous);
	}
}
