/**
 * Exponentially decaying rate.
 *
 * @module
 */

/** Amount per second, averaged with exponentially decaying weights. */
export class DecayingRate {
	readonly #timeConstant: number;
	readonly #startedAt: number;
	#decayedAmount = 0;
	#updatedAt: number;

	/**
	 * @param timeConstant - Time in milliseconds after which the weight of an amount has fallen to 1/e.
	 * @param now - Time in milliseconds from which amounts are counted.
	 */
	constructor(timeConstant: number, now: number) {
		this.#timeConstant = timeConstant;
		this.#startedAt = now;
		this.#updatedAt = now;
	}

	add(amount: number, now: number): void {
		this.#decayedAmount = this.#amountAt(now) + amount;
		this.#updatedAt = Math.max(this.#updatedAt, now);
	}

	/**
	 * Amount per second.
	 *
	 * The rate is averaged over the time covered so far rather than a whole time constant, but at least over a second.
	 */
	perSecond(now: number): number {
		const effectiveWindow = this.#timeConstant * (1 - Math.exp(-Math.max(0, now - this.#startedAt) / this.#timeConstant));
		return (1000 * this.#amountAt(now)) / Math.max(1000, effectiveWindow);
	}

	#amountAt(now: number): number {
		return this.#decayedAmount * Math.exp(-Math.max(0, now - this.#updatedAt) / this.#timeConstant);
	}
}
