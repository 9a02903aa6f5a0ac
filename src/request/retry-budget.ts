/**
 * Budgets of retries for each customer and pool, so that retries never multiply an overload.
 *
 * @module
 */

/** Retries that one first attempt pays for. */
const retriesPerRequest = 0.1;

/** Greatest number of retries saved up; also what a new budget begins with. */
const maximumAvailableRetries = 10;

/** Budgets kept; the one unused for longest is forgotten first. */
const maximumBudgets = 10_000;

/** Budgets of one instance. */
export class RetryBudgets {
	readonly #availableRetries = new Map<string, number>();

	/** Pays in for a first attempt. */
	recordRequest(customer: string, pool: string): void {
		const key = budgetKey(customer, pool);
		this.#setAvailableRetries(key, Math.min(maximumAvailableRetries, this.#availableRetriesOf(key) + retriesPerRequest));
	}

	/** Takes one retry out; false where none is left. */
	tryConsumeRetry(customer: string, pool: string): boolean {
		const key = budgetKey(customer, pool);
		const saved = this.#availableRetriesOf(key);
		if (saved < 1) {
			return false;
		}

		this.#setAvailableRetries(key, saved - 1);
		return true;
	}

	#availableRetriesOf(key: string): number {
		return this.#availableRetries.get(key) ?? maximumAvailableRetries;
	}

	#setAvailableRetries(key: string, saved: number): void {
		// Set anew, so that the map's order is that of the last use.
		this.#availableRetries.delete(key);
		this.#availableRetries.set(key, saved);
		if (this.#availableRetries.size > maximumBudgets) {
			const [oldest] = this.#availableRetries.keys();
			this.#availableRetries.delete(oldest!);
		}
	}
}

function budgetKey(customer: string, pool: string): string {
	return JSON.stringify([customer, pool]);
}
