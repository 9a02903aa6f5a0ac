/**
 * A rate limit that allows short bursts.
 *
 * @module
 */

/** Time in milliseconds whose amount may be used at once. */
const burstDuration = 2000;

/** A bucket that fills at a rate given with each use, so that the rate may change. */
export class TokenBucket {
	#level = Number.POSITIVE_INFINITY;
	#updatedAt: number;

	/** @param now - Time in milliseconds from which the bucket fills; it begins full. */
	constructor(now: number) {
		this.#updatedAt = now;
	}

	/**
	 * Time in milliseconds until an amount may be taken; 0 where it may be now.
	 *
	 * An amount larger than a burst may be taken from a full bucket, which is then in debt.
	 */
	waitFor(amount: number, perSecond: number, now: number): number {
		this.#refill(perSecond, now);
		const needed = Math.min(amount, burst(perSecond));
		return this.#level >= needed ? 0 : Math.ceil((1000 * (needed - this.#level)) / perSecond);
	}

	/** Takes an amount. */
	take(amount: number, perSecond: number, now: number): void {
		this.#refill(perSecond, now);
		this.#level -= amount;
	}

	#refill(perSecond: number, now: number): void {
		const elapsed = Math.max(0, now - this.#updatedAt);
		this.#level = Math.min(burst(perSecond), this.#level + ((perSecond * elapsed) / 1000));
		this.#updatedAt = Math.max(this.#updatedAt, now);
	}
}

function burst(perSecond: number): number {
	return (perSecond * burstDuration) / 1000;
}
