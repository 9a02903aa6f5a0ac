/**
 * Keys in order, for listing by prefix.
 *
 * @module
 */

/** Greatest number of keys in a listing that sets no limit. */
const defaultLimit = 1000;

/** A set of keys that is sorted when it is next listed. */
export class SortedKeys {
	readonly #keys = new Set<string>();
	#sorted: string[] | undefined;

	add(key: string): void {
		if (!this.#keys.has(key)) {
			this.#keys.add(key);
			this.#sorted = undefined;
		}
	}

	delete(key: string): void {
		if (this.#keys.delete(key)) {
			this.#sorted = undefined;
		}
	}

	/** Keys with a prefix that come after `after`, in order. */
	list(prefix: string, {after = '', limit = defaultLimit}: {after?: string; limit?: number} = {}): string[] {
		this.#sorted ??= [...this.#keys].toSorted((first, other) => first < other ? -1 : 1);
		const found: string[] = [];
		const [, start] = [prefix, after].toSorted();
		for (let index = this.#firstAtOrAfter(start!); index < this.#sorted.length && found.length < limit; index++) {
			const key = this.#sorted[index]!;
			if (!key.startsWith(prefix)) {
				break;
			}

			if (key > after) {
				found.push(key);
			}
		}

		return found;
	}

	#firstAtOrAfter(key: string): number {
		const sorted = this.#sorted ?? [];
		let low = 0;
		let high = sorted.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (sorted[middle]! < key) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}
