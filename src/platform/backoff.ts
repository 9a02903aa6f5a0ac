/**
 * Waits between retries: exponential with full jitter.
 *
 * @module
 */

/** Waits in milliseconds where none are set. */
const defaultBase = 50;
const defaultMaximum = 1000;

/** Factor between the limits of two waits. */
const growth = 2;

export type BackoffOptions = {
	/**
	 * Limit of the first wait, in milliseconds.
	 * @default 50
	 */
	base?: number;
	/**
	 * Greatest wait, in milliseconds.
	 * @default 1000
	 */
	maximum?: number;
	/**
	 * Returns a number from 0 to 1, 1 excluded.
	 * @default Math.random
	 */
	random?: () => number;
};

/** The waits of one series of retries. */
export class Backoff {
	readonly #maximum: number;
	readonly #random: () => number;
	#limit: number;

	constructor({base = defaultBase, maximum = defaultMaximum, random = Math.random}: BackoffOptions = {}) {
		this.#limit = base;
		this.#maximum = maximum;
		this.#random = random;
	}

	/** Next wait in milliseconds. */
	next(): number {
		const wait = this.#random() * this.#limit;
		this.#limit = Math.min(this.#maximum, this.#limit * growth);
		return wait;
	}
}

/** Resolves after a time in milliseconds. */
export async function sleep(duration: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}
