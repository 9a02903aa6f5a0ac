/**
 * Token bucket for rates per second.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';

/** Milliseconds in a second. */
const second = 1000;

/** Tolerance in tokens for rounding of fractions. */
const rounding = 1e-9;

export type TokenBucketOptions = {
	/** Tokens added per second. */
	rate: number;
	/**
	 * Greatest number of tokens held.
	 * @default the tokens of one second
	 */
	burst?: number;
	/**
	 * Tokens held at the start.
	 * @default the burst
	 */
	initial?: number;
};

/** Tokens that refill with the monotonic clock. */
export class TokenBucket {
	readonly rate: number;
	readonly #burst: number;
	#tokens: number;
	#refilledAt = performance.now();

	constructor({rate, burst = rate, initial = burst}: TokenBucketOptions) {
		this.rate = rate;
		this.#burst = burst;
		this.#tokens = initial;
	}

	/** Tokens held now; negative where tokens were reserved ahead. */
	get tokens(): number {
		this.#refill();
		return this.#tokens;
	}

	/**
	 * Takes tokens if that many are held.
	 *
	 * @returns false, with nothing taken, where there are too few.
	 */
	tryTake(count = 1): boolean {
		this.#refill();
		if (this.#tokens + rounding < count) {
			return false;
		}

		this.#tokens -= count;
		return true;
	}

	/**
	 * Takes tokens in advance of their refill.
	 *
	 * @returns Time in milliseconds until the tokens are there.
	 */
	reserve(count = 1): number {
		const delay = this.delayOf(count);
		this.#tokens -= count;
		return delay;
	}

	/** Time in milliseconds until `count` tokens are held, if nobody else takes any. */
	delayOf(count = 1): number {
		this.#refill();
		return Math.max(0, (count - this.#tokens) / this.rate * second);
	}

	/** As `delayOf`, without a refill, which would round the tokens once more. */
	readDelayOf(count = 1): number {
		return Math.max(0, (count - this.#tokensAt(performance.now())) / this.rate * second);
	}

	/** Drops all held tokens, so that a full bucket does not become one burst. */
	drain(): void {
		this.#refill();
		this.#tokens = Math.min(0, this.#tokens);
	}

	#refill(): void {
		const now = performance.now();
		this.#tokens = this.#tokensAt(now);
		this.#refilledAt = now;
	}

	#tokensAt(now: number): number {
		return Math.min(this.#burst, this.#tokens + ((now - this.#refilledAt) / second * this.rate));
	}
}
