/**
 * Retry budgets per customer and pool, which keep retries from amplifying an overload.
 *
 * @module
 */

/** Retries that each first attempt adds to its budget. */
const retriesPerRequest = 0.1;

/** Maximum number of available retries in a budget; also the initial number. */
const maximumAvailableRetries = 10;

/** Maximum number of budgets kept; the least recently used budget is evicted first. */
const maximumBudgets = 10_000;

/** Retry budgets of one instance. */
export class RetryBudgets {
	readonly #availableRetries = new Map<string, number>();

	/** Adds to the budget for the first attempt of a request. */
	recordRequest(customer: string, pool: string): void {
		const key = budgetKey(customer, pool);
		this.#setAvailableRetries(key, Math.min(maximumAvailableRetries, this.#availableRetriesOf(key) + retriesPerRequest));
	}

	/** Consumes one retry from the budget; returns false if none is available. */
	tryConsumeRetry(customer: string, pool: string): boolean {
		const key = budgetKey(customer, pool);
		const availableRetries = this.#availableRetriesOf(key);
		if (availableRetries < 1) {
			return false;
		}

		this.#setAvailableRetries(key, availableRetries - 1);
		return true;
	}

	#availableRetriesOf(key: string): number {
		return this.#availableRetries.get(key) ?? maximumAvailableRetries;
	}

	#setAvailableRetries(key: string, availableRetries: number): void {
		// Deleted and set again, so that the map is ordered by last use.
		this.#availableRetries.delete(key);
		this.#availableRetries.set(key, availableRetries);
		if (this.#availableRetries.size > maximumBudgets) {
			const [leastRecentlyUsed] = this.#availableRetries.keys();
			this.#availableRetries.delete(leastRecentlyUsed!);
		}
	}
}

function budgetKey(customer: string, pool: string): string {
	return JSON.stringify([customer, pool]);
}
