/**
 * A rate limit that allows short bursts.
 *
 * @module
 */

/** Time in milliseconds whose amount may be used at once. */
const burstDuration = 2000;

/** A bucket that fills at a rate given with each use, so that the rate may change. */
export class VariableRateTokenBucket {
	#available = Number.POSITIVE_INFINITY;
	#refilledAt: number;

	/** @param now - Time in milliseconds from which the bucket fills; it begins full. */
	constructor(now: number) {
		this.#refilledAt = now;
	}

	/**
	 * Time in milliseconds until an amount may be taken; 0 where it may be now.
	 *
	 * An amount larger than a burst may be taken from a full bucket, which is then in debt.
	 */
	timeUntilAvailable(amount: number, perSecond: number, now: number): number {
		this.#refill(perSecond, now);
		const needed = Math.min(amount, burstSize(perSecond));
		return this.#available >= needed ? 0 : Math.ceil((1000 * (needed - this.#available)) / perSecond);
	}

	/** Takes an amount. */
	take(amount: number, perSecond: number, now: number): void {
		this.#refill(perSecond, now);
		this.#available -= amount;
	}

	#refill(perSecond: number, now: number): void {
		const elapsed = Math.max(0, now - this.#refilledAt);
		this.#available = Math.min(burstSize(perSecond), this.#available + ((perSecond * elapsed) / 1000));
		this.#refilledAt = Math.max(this.#refilledAt, now);
	}
}

function burstSize(perSecond: number): number {
	return (perSecond * burstDuration) / 1000;
}
