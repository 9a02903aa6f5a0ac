/**
 * Budget of requests that are sent to a second engine, which the instances share.
 *
 * Each instance retries at most a share of its own requests, plus its part of an allowance for all instances.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {TokenBucket} from '../platform/token-bucket.js';

/** Share of the platform's budget that is used; the rest is a margin, because windows slide and the counts of the instances differ a little. */
const usableShare = 0.7;

/**
 * Time in milliseconds after the start of an instance, four heartbeats of its peers, in which it may not know all of them, so
 * that its part of the allowance would come out too large.
 */
const discoveryTime = 2000;

/** Retries of the allowance that an instance has until it knows its peers. */
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
	/** Number of instances that share the allowance. */
	instanceCount: () => number;
};

const millisecondsPerSecond = 1000;

/** Retries that one instance may send, counted for each service. */
export class RetryBudget {
	readonly #options: RetryBudgetOptions;
	readonly #services = new Map<string, ServiceBudget>();
	readonly #startedAt = performance.now();

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

	/** The budget of a service, made anew when this instance comes to know its peers or their number changes. */
	#serviceBudget(service: string): ServiceBudget {
		const {allowance, window, instanceCount} = this.#options;
		let budget = this.#services.get(service);
		// Half of the share is available as a burst and the other half is refilled over a window, so that no window exceeds the whole.
		const share = allowance * usableShare / Math.max(1, instanceCount());
		const burst = Math.max(1, share / 2);
		const knowsPeers = performance.now() - this.#startedAt >= discoveryTime;
		if (!budget || Math.abs(budget.burst - burst) > budget.burst / 4 || budget.knowsPeers !== knowsPeers) {
			const rate = knowsPeers ? share / 2 / (window / millisecondsPerSecond) : 0;
			const wasDiscovering = knowsPeers && budget?.knowsPeers !== true;
			const tokens = (budget?.allowance.tokens ?? initialRetries) + (wasDiscovering ? (burst * initialBurstShare) - initialRetries : 0);
			budget = {
				earnedRetries: budget?.earnedRetries ?? 0, burst, knowsPeers,
				allowance: new TokenBucket({rate, burst, initial: Math.max(0, Math.min(burst, tokens))}),
			};
			this.#services.set(service, budget);
		}

		budget.earnedRetries = Math.min(budget.earnedRetries, Math.max(1, burst));
		return budget;
	}
}

/** Budget of one service: retries earned by its requests, and the bucket of this instance's part of the allowance. */
type ServiceBudget = {earnedRetries: number; burst: number; knowsPeers: boolean; allowance: TokenBucket};
