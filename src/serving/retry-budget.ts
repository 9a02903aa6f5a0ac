/**
 * Budget of requests that are sent to a second engine, which the instances share.
 *
 * Each instance retries at most a share of its own requests, plus its part of an allowance for all instances.
 *
 * @module
 */
import {TokenBucket} from '../platform/token-bucket.js';

/** Share of the platform's budget that is used; the rest is a margin, because windows slide and the counts of the instances differ a little. */
const usableShare = 0.7;

/** Retries of the allowance that an instance has until the number of instances is known; its part would come out too large with some unknown. */
const initialRetries = 1;

/** Share of its burst that an instance then has; the process before it may have used a whole one in the same window. */
const initialBurstShare = 0.8;

/** Options of a `RetryBudget`. */
export type RetryBudgetOptions = {
	/** Retries allowed for each first attempt. */
	ratio: number;
	/** Window of the budget in milliseconds. */
	window: number;
	/** Retries allowed in a window beyond the ratio, for all instances together. */
	allowance: number;
	/** Number of instances that share the allowance, and whether some may still be unknown. */
	fleet: () => {size: number; isKnown: boolean};
};

const millisecondsPerSecond = 1000;

/** Retries that one instance may send, counted for each service. */
export class RetryBudget {
	readonly #options: RetryBudgetOptions;
	readonly #services = new Map<string, ServiceBudget>();

	constructor(options: RetryBudgetOptions) {
		this.#options = options;
	}

	/** Records a new request, which earns a share of a retry. */
	recordRequest(service: string): void {
		this.#serviceBudget(service).earnedRetries += this.#options.ratio * usableShare;
	}

	hasRetry(service: string): boolean {
		const budget = this.#serviceBudget(service);
		return budget.earnedRetries >= 1 || budget.allowance.tokens >= 1;
	}

	/** Takes one retry from the budget. @returns false if none is left. */
	tryRetry(service: string): boolean {
		const budget = this.#serviceBudget(service);
		if (budget.earnedRetries >= 1) {
			budget.earnedRetries -= 1;
			return true;
		}

		return budget.allowance.tryTake();
	}

	/** The budget of a service, made anew when the number of instances comes to be known or changes. */
	#serviceBudget(service: string): ServiceBudget {
		const {allowance, window, fleet} = this.#options;
		const {size, isKnown} = fleet();
		let budget = this.#services.get(service);
		// Half of the share is available as a burst and the other half is refilled over a window, so that no window exceeds the whole.
		const share = allowance * usableShare / Math.max(1, size);
		const burst = Math.max(1, share / 2);
		if (!budget || Math.abs(budget.burst - burst) > budget.burst / 4 || budget.isFleetKnown !== isKnown) {
			const rate = isKnown ? share / 2 / (window / millisecondsPerSecond) : 0;
			const becomesKnown = isKnown && budget?.isFleetKnown !== true;
			const tokens = (budget?.allowance.tokens ?? initialRetries) + (becomesKnown ? (burst * initialBurstShare) - initialRetries : 0);
			budget = {
				earnedRetries: budget?.earnedRetries ?? 0, burst, isFleetKnown: isKnown,
				allowance: new TokenBucket({rate, burst, initial: Math.max(0, Math.min(burst, tokens))}),
			};
			this.#services.set(service, budget);
		}

		budget.earnedRetries = Math.min(budget.earnedRetries, Math.max(1, burst));
		return budget;
	}
}

/** Budget of one service: retries earned by its requests, and the bucket of this instance's part of the allowance. */
type ServiceBudget = {earnedRetries: number; burst: number; isFleetKnown: boolean; allowance: TokenBucket};
