/**
 * Enforces one instance's share of the customers' limits.
 *
 * @module
 */
import type {Customer, Limits} from '../configuration/model.js';
import {instanceLimitShare} from './limit-share.js';
import {VariableRateTokenBucket} from './variable-rate-token-bucket.js';

/** Time in milliseconds for which a peer's demand counts after its digest was received. */
export const digestLifetime = 15_000;

/** Retry delay in milliseconds of a request rejected by the limit on tokens in flight. */
const inFlightRetryAfter = 1000;

/** The limit that a request would exceed, and the delay in milliseconds before a retry makes sense. */
export type ExceededLimit = {limit: keyof Limits; retryAfter: number};

type CustomerUsage = {requestBucket: VariableRateTokenBucket; promptTokenBucket: VariableRateTokenBucket; tokensInFlight: number};
type PeerDemand = {demand: Readonly<Record<string, number>>; receivedAt: number};

/** Applies the limits of all customers at one instance. */
export class CustomerLimits {
	readonly #usages = new Map<string, CustomerUsage>();
	readonly #peerDemands = new Map<string, PeerDemand>();
	#publishedDemand: Readonly<Record<string, number>> = {};
	#instanceCount = 1;

	/** Sets the number of live instances, including this one. */
	setInstances(count: number): void {
		this.#instanceCount = Math.max(1, count);
	}

	/** Sets the demand that this instance has published, in milliseconds of prefill per second, by customer. */
	setPublishedDemand(demand: Readonly<Record<string, number>>): void {
		this.#publishedDemand = demand;
	}

	/** Sets the demand that another instance has published, in the same unit. */
	setPeerDemand(instance: string, demand: Readonly<Record<string, number>>, now: number): void {
		this.#peerDemands.set(instance, {demand, receivedAt: now});
	}

	/** This instance's share of a customer's limits, between 0 and 1. */
	instanceShare(customer: string, now: number): number {
		const peerDemands: number[] = [];
		for (const [instance, {demand, receivedAt}] of this.#peerDemands) {
			if (now - receivedAt > digestLifetime) {
				this.#peerDemands.delete(instance);
			} else {
				peerDemands.push(demand[customer] ?? 0);
			}
		}

		return instanceLimitShare({instanceCount: this.#instanceCount, publishedDemand: this.#publishedDemand[customer] ?? 0, peerDemands});
	}

	/** Returns the first limit that a request would exceed, or undefined if it exceeds none. */
	findExceededLimit(customer: Customer, tokens: {prompt: number; total: number}, now: number): ExceededLimit | undefined {
		const {requestsPerSecond, promptTokensPerSecond, tokensInFlight} = customer.limits;
		if (requestsPerSecond === undefined && promptTokensPerSecond === undefined && tokensInFlight === undefined) {
			return undefined;
		}

		const share = this.instanceShare(customer.name, now);
		const usage = this.#usageOf(customer.name, now);
		const requestWait = requestsPerSecond === undefined ? 0 : usage.requestBucket.timeUntilAvailable(1, requestsPerSecond * share, now);
		if (requestWait > 0) {
			return {limit: 'requestsPerSecond', retryAfter: requestWait};
		}

		const tokenWait = promptTokensPerSecond === undefined ? 0 : usage.promptTokenBucket.timeUntilAvailable(tokens.prompt, promptTokensPerSecond * share, now);
		if (tokenWait > 0) {
			return {limit: 'promptTokensPerSecond', retryAfter: tokenWait};
		}

		// A single request may exceed this instance's share; otherwise the longest prompts would never run.
		const isExceeded = tokensInFlight !== undefined && usage.tokensInFlight > 0 && usage.tokensInFlight + tokens.total > tokensInFlight * share;
		return isExceeded ? {limit: 'tokensInFlight', retryAfter: inFlightRetryAfter} : undefined;
	}

	/** Counts an admitted request against its customer's limits. */
	recordAdmission(customer: Customer, tokens: {prompt: number; total: number}, now: number): void {
		const {requestsPerSecond, promptTokensPerSecond} = customer.limits;
		const share = this.instanceShare(customer.name, now);
		const usage = this.#usageOf(customer.name, now);
		usage.tokensInFlight += tokens.total;
		if (requestsPerSecond !== undefined) {
			usage.requestBucket.take(1, requestsPerSecond * share, now);
		}

		if (promptTokensPerSecond !== undefined) {
			usage.promptTokenBucket.take(tokens.prompt, promptTokensPerSecond * share, now);
		}
	}

	/** Releases the tokens in flight of a request that has ended. */
	releaseTokensInFlight(customer: string, totalTokens: number): void {
		const usage = this.#usages.get(customer);
		if (usage) {
			usage.tokensInFlight = Math.max(0, usage.tokensInFlight - totalTokens);
		}
	}

	#usageOf(customer: string, now: number): CustomerUsage {
		let usage = this.#usages.get(customer);
		if (!usage) {
			usage = {requestBucket: new VariableRateTokenBucket(now), promptTokenBucket: new VariableRateTokenBucket(now), tokensInFlight: 0};
			this.#usages.set(customer, usage);
		}

		return usage;
	}
}
