/**
 * Budget of requests that are sent to a second engine, shared by all instances.
 *
 * Each instance repeats at most a share of its own requests, and its part of an allowance for all instances.
 *
 * @module
 */
import {TokenBucket} from '../platform/token-bucket.js';

/** Share of the platform's budget that is used; windows slide and instances count a little apart. */
const usedShare = 0.7;

/** What the budget follows from. */
export type RepeatBudgetOptions = {
	/** Repeats for each first request. */
	ratio: number;
	/** Window of the budget in milliseconds. */
	window: number;
	/** Repeats in a window beyond the ratio, for all instances. */
	allowance: number;
	/** Instances that share the allowance. */
	instances: () => number;
};

/** Milliseconds in a second. */
const second = 1000;

/** Repeats that an instance may send, by service. */
export class RepeatBudget {
	readonly #options: RepeatBudgetOptions;
	readonly #services = new Map<string, ServiceBudget>();

	constructor(options: RepeatBudgetOptions) {
		this.#options = options;
	}

	/** A first request came. */
	requested(service: string): void {
		this.#budget(service).earned += this.#options.ratio * usedShare;
	}

	hasRepeat(service: string): boolean {
		const budget = this.#budget(service);
		return budget.earned >= 1 || budget.allowance.tokens >= 1;
	}

	/** Takes one repeat; false where none is left. */
	tryRepeat(service: string): boolean {
		const budget = this.#budget(service);
		if (budget.earned >= 1) {
			budget.earned -= 1;
			return true;
		}

		return budget.allowance.tryTake();
	}

	#budget(service: string): ServiceBudget {
		const {allowance, window, instances} = this.#options;
		let budget = this.#services.get(service);
		// Half is held at once and half comes back over a window, so that no window sees more than the whole.
		const share = allowance * usedShare / Math.max(1, instances());
		const burst = Math.max(1, share / 2);
		if (!budget || Math.abs(budget.burst - burst) > budget.burst / 4) {
			budget = {
				earned: budget?.earned ?? 0, burst,
				allowance: new TokenBucket({rate: share / 2 / (window / second), burst, initial: Math.min(burst, budget?.allowance.tokens ?? burst)}),
			};
			this.#services.set(service, budget);
		}

		budget.earned = Math.min(budget.earned, Math.max(1, burst));
		return budget;
	}
}

type ServiceBudget = {earned: number; burst: number; allowance: TokenBucket};
