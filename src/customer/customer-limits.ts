/**
 * Limits of customers as one instance applies its share of them.
 *
 * @module
 */
import type {Customer, Limits} from '../configuration/model.js';
import {instanceLimitShare} from './limit-share.js';
import {VariableRateTokenBucket} from './variable-rate-token-bucket.js';

/** Time in milliseconds for which a peer's demand counts after its digest. */
export const digestLifetime = 15_000;

/** Time in milliseconds after which tokens in flight are asked for again. */
const inFlightRetryAfter = 1000;

/** Which limit refuses a request, and when to come back. */
export type ExceededLimit = {limit: keyof Limits; retryAfter: number};

type CustomerUsage = {requestBucket: VariableRateTokenBucket; promptTokenBucket: VariableRateTokenBucket; tokensInFlight: number};
type PeerDemand = {demand: Readonly<Record<string, number>>; receivedAt: number};

/** The limits of all customers at one instance. */
export class CustomerLimits {
	readonly #usages = new Map<string, CustomerUsage>();
	readonly #peerDemands = new Map<string, PeerDemand>();
	#publishedDemand: Readonly<Record<string, number>> = {};
	#instanceCount = 1;

	/** Sets the number of live instances, this one included. */
	setInstances(count: number): void {
		this.#instanceCount = Math.max(1, count);
	}

	/** Notes the demand that this instance has published, in milliseconds of prefill a second by customer. */
	setPublishedDemand(demand: Readonly<Record<string, number>>): void {
		this.#publishedDemand = demand;
	}

	/** Takes in another instance's published demand. */
	setPeerDemand(instance: string, demand: Readonly<Record<string, number>>, now: number): void {
		this.#peerDemands.set(instance, {demand, receivedAt: now});
	}

	/** Part of a customer's limits that this instance may give out. */
	instanceShare(customer: string, now: number): number {
		const peers: number[] = [];
		for (const [instance, {demand, receivedAt}] of this.#peerDemands) {
			if (now - receivedAt > digestLifetime) {
				this.#peerDemands.delete(instance);
			} else {
				peers.push(demand[customer] ?? 0);
			}
		}

		return instanceLimitShare({instanceCount: this.#instanceCount, publishedDemand: this.#publishedDemand[customer] ?? 0, peerDemands: peers});
	}

	/** The limit that a request would break; undefined where it breaks none. */
	findExceededLimit(customer: Customer, tokens: {prompt: number; total: number}, now: number): ExceededLimit | undefined {
		const {requestsPerSecond, promptTokensPerSecond, tokensInFlight} = customer.limits;
		if (requestsPerSecond === undefined && promptTokensPerSecond === undefined && tokensInFlight === undefined) {
			return undefined;
		}

		const share = this.instanceShare(customer.name, now);
		const use = this.#usageOf(customer.name, now);
		const requestWait = requestsPerSecond === undefined ? 0 : use.requestBucket.timeUntilAvailable(1, requestsPerSecond * share, now);
		if (requestWait > 0) {
			return {limit: 'requestsPerSecond', retryAfter: requestWait};
		}

		const tokenWait = promptTokensPerSecond === undefined ? 0 : use.promptTokenBucket.timeUntilAvailable(tokens.prompt, promptTokensPerSecond * share, now);
		if (tokenWait > 0) {
			return {limit: 'promptTokensPerSecond', retryAfter: tokenWait};
		}

		// One request alone may exceed an instance's share, or the longest prompts would never run.
		const exceeds = tokensInFlight !== undefined && use.tokensInFlight > 0 && use.tokensInFlight + tokens.total > tokensInFlight * share;
		return exceeds ? {limit: 'tokensInFlight', retryAfter: inFlightRetryAfter} : undefined;
	}

	/** Counts an admitted request. */
	recordAdmission(customer: Customer, tokens: {prompt: number; total: number}, now: number): void {
		const {requestsPerSecond, promptTokensPerSecond} = customer.limits;
		const share = this.instanceShare(customer.name, now);
		const use = this.#usageOf(customer.name, now);
		use.tokensInFlight += tokens.total;
		if (requestsPerSecond !== undefined) {
			use.requestBucket.take(1, requestsPerSecond * share, now);
		}

		if (promptTokensPerSecond !== undefined) {
			use.promptTokenBucket.take(tokens.prompt, promptTokensPerSecond * share, now);
		}
	}

	/** Gives back the tokens in flight of a request that has ended. */
	releaseTokensInFlight(customer: string, totalTokens: number): void {
		const use = this.#usages.get(customer);
		if (use) {
			use.tokensInFlight = Math.max(0, use.tokensInFlight - totalTokens);
		}
	}

	#usageOf(customer: string, now: number): CustomerUsage {
		let use = this.#usages.get(customer);
		if (!use) {
			use = {requestBucket: new VariableRateTokenBucket(now), promptTokenBucket: new VariableRateTokenBucket(now), tokensInFlight: 0};
			this.#usages.set(customer, use);
		}

		return use;
	}
}
