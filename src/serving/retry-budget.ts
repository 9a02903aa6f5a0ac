/**
 * Budget of requests that are sent to a second engine, shared by all instances.
 *
 * Each instance repeats at most a share of its own requests, and its part of an allowance for all instances.
 *
 * @module
 */
import {TokenBucket} from '../platform/token-bucket.js';

/** Share of the platform's budget that is used; windows slide and instances count a little apart. */
const usableShare = 0.7;

/** What the budget follows from. */
export type RetryBudgetOptions = {
	/** Repeats for each first request. */
	ratio: number;
	/** Window of the budget in milliseconds. */
	window: number;
	/** Repeats in a window beyond the ratio, for all instances. */
	allowance: number;
	/** Instances that share the allowance. */
	instanceCount: () => number;
};

/** Milliseconds in a second. */
const millisecondsPerSecond = 1000;

/** Repeats that an instance may send, by service. */
export class RetryBudget {
	readonly #options: RetryBudgetOptions;
	readonly #services = new Map<string, ServiceBudget>();

	constructor(options: RetryBudgetOptions) {
		this.#options = options;
	}

	/** A first request came. */
	recordRequest(service: string): void {
		this.#serviceBudget(service).earnedRetries += this.#options.ratio * usableShare;
	}

	hasRetry(service: string): boolean {
		const budget = this.#serviceBudget(service);
		return budget.earnedRetries >= 1 || budget.allowance.tokens >= 1;
	}

	/** Takes one repeat; false where none is left. */
	tryRetry(service: string): boolean {
		const budget = this.#serviceBudget(service);
		if (budget.earnedRetries >= 1) {
			budget.earnedRetries -= 1;
			return true;
		}

		return budget.allowance.tryTake();
	}

	#serviceBudget(service: string): ServiceBudget {
		const {allowance, window, instanceCount: instances} = this.#options;
		let budget = this.#services.get(service);
		// Half is held at once and half comes back over a window, so that no window sees more than the whole.
		const share = allowance * usableShare / Math.max(1, instances());
		const burst = Math.max(1, share / 2);
		if (!budget || Math.abs(budget.burst - burst) > budget.burst / 4) {
			budget = {
				earnedRetries: budget?.earnedRetries ?? 0, burst,
				allowance: new TokenBucket({rate: share / 2 / (window / millisecondsPerSecond), burst, initial: Math.min(burst, budget?.allowance.tokens ?? burst)}),
			};
			this.#services.set(service, budget);
		}

		budget.earnedRetries = Math.min(budget.earnedRetries, Math.max(1, burst));
		return budget;
	}
}

type ServiceBudget = {earnedRetries: number; burst: number; allowance: TokenBucket};
