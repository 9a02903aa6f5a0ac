/**
 * Token bucket whose rate may change between calls.
 *
 * @module
 */

/** Burst size of a bucket, as the time in milliseconds in which the current rate refills it. */
const burstDuration = 2000;

/** Rate limiter that allows short bursts. Every call passes the current rate, so that the rate may change. */
export class VariableRateTokenBucket {
	#available = Number.POSITIVE_INFINITY;
	#refilledAt: number;

	/** @param now - Time in milliseconds from which the bucket refills; it starts full. */
	constructor(now: number) {
		this.#refilledAt = now;
	}

	/**
	 * Time in milliseconds until an amount may be taken; 0 if it may be taken now.
	 *
	 * An amount larger than the burst size may be taken from a full bucket, whose level then becomes negative.
	 */
	timeUntilAvailable(amount: number, ratePerSecond: number, now: number): number {
		this.#refill(ratePerSecond, now);
		const needed = Math.min(amount, burstSize(ratePerSecond));
		return this.#available >= needed ? 0 : Math.ceil((1000 * (needed - this.#available)) / ratePerSecond);
	}

	/** Takes an amount without checking whether it is available. */
	take(amount: number, ratePerSecond: number, now: number): void {
		this.#refill(ratePerSecond, now);
		this.#available -= amount;
	}

	#refill(ratePerSecond: number, now: number): void {
		const elapsed = Math.max(0, now - this.#refilledAt);
		this.#available = Math.min(burstSize(ratePerSecond), this.#available + ((ratePerSecond * elapsed) / 1000));
		this.#refilledAt = Math.max(this.#refilledAt, now);
	}
}

function burstSize(ratePerSecond: number): number {
	return (ratePerSecond * burstDuration) / 1000;
}
