/**
 * Addresses of the instances known in the last hour.
 *
 * While the fleet is cut, an instance forgets those that it does not hear of, which still run.
 *
 * @module
 */

/** Time in milliseconds after which an address may be forgotten; longer than a network partition is expected to last. */
const memoryTime = 3_600_000;

/** Most addresses that are remembered; the largest fleet planned for has 195 instances. */
const maximumAddresses = 1000;

/** Addresses of the last one to two periods of the memory time. */
export class KnownAddresses {
	#periodStart = Number.NEGATIVE_INFINITY;
	#current = new Set<string>();
	#previous: ReadonlySet<string> = new Set();
	#all: readonly string[] = [];

	/** All of them; a new list after each change. */
	get all(): readonly string[] {
		return this.#all;
	}

	/** Records addresses that are known now. @param now - Monotonic time in milliseconds. */
	record(addresses: readonly string[], now: number): void {
		if (now - this.#periodStart >= memoryTime) {
			this.#previous = now - this.#periodStart >= 2 * memoryTime ? new Set() : this.#current;
			this.#current = new Set();
			this.#periodStart = now;
		}

		for (const address of addresses) {
			if (this.#current.size < maximumAddresses) {
				this.#current.add(address);
			}
		}

		const all = new Set([...this.#current, ...this.#previous]);
		if (all.size !== this.#all.length || !this.#all.every(address => all.has(address))) {
			this.#all = [...all];
		}
	}
}
