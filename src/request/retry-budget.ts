/**
 * Budgets of retries for each customer and pool, so that retries never multiply an overload.
 *
 * @module
 */

/** Retries that one first attempt pays for. */
const retriesPerRequest = 0.1;

/** Greatest number of retries saved up; also what a new budget begins with. */
const maximumSaved = 10;

/** Budgets kept; the one unused for longest is forgotten first. */
const maximumBudgets = 10_000;

/** Budgets of one instance. */
export class RetryBudgets {
	readonly #saved = new Map<string, number>();

	/** Pays in for a first attempt. */
	requested(customer: string, pool: string): void {
		const key = keyOf(customer, pool);
		this.#store(key, Math.min(maximumSaved, this.#savedOf(key) + retriesPerRequest));
	}

	/** Takes one retry out; false where none is left. */
	tryRetry(customer: string, pool: string): boolean {
		const key = keyOf(customer, pool);
		const saved = this.#savedOf(key);
		if (saved < 1) {
			return false;
		}

		this.#store(key, saved - 1);
		return true;
	}

	#savedOf(key: string): number {
		return this.#saved.get(key) ?? maximumSaved;
	}

	#store(key: string, saved: number): void {
		// Set anew, so that the map's order is that of the last use.
		this.#saved.delete(key);
		this.#saved.set(key, saved);
		if (this.#saved.size > maximumBudgets) {
			const [oldest] = this.#saved.keys();
			this.#saved.delete(oldest!);
		}
	}
}

function keyOf(customer: string, pool: string): string {
	return JSON.stringify([customer, pool]);
}
