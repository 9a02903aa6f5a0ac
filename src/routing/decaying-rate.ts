/**
 * A rate whose past counts less the older it is.
 *
 * @module
 */

/** Amount per second, averaged with exponentially falling weights. */
export class DecayingRate {
	readonly #timeConstant: number;
	readonly #startedAt: number;
	#decayedAmount = 0;
	#updatedAt: number;

	/**
	 * @param timeConstant - Time in milliseconds after which an amount weighs 1/e.
	 * @param now - Time from which amounts are counted, in milliseconds.
	 */
	constructor(timeConstant: number, now: number) {
		this.#timeConstant = timeConstant;
		this.#startedAt = now;
		this.#updatedAt = now;
	}

	add(amount: number, now: number): void {
		this.#decay(now);
		this.#decayedAmount += amount;
	}

	/** Amount per second. The first seconds are not taken for a whole time constant. */
	perSecond(now: number): number {
		this.#decay(now);
		const effectiveWindow = this.#timeConstant * (1 - Math.exp(-Math.max(0, now - this.#startedAt) / this.#timeConstant));
		return (1000 * this.#decayedAmount) / Math.max(1000, effectiveWindow);
	}

	#decay(now: number): void {
		const elapsed = now - this.#updatedAt;
		if (elapsed > 0) {
			this.#decayedAmount *= Math.exp(-elapsed / this.#timeConstant);
			this.#updatedAt = now;
		}
	}
}
