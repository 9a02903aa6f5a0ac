/**
 * Limits of customers as one instance applies its share of them.
 *
 * @module
 */
import type {Customer, Limits} from '../configuration/model.js';
import {limitShare} from './limit-share.js';
import {TokenBucket} from './token-bucket.js';

/** Time in milliseconds for which a peer's demand counts after its digest. */
export const digestLifetime = 15_000;

/** Time in milliseconds after which tokens in flight are asked for again. */
const inFlightRetry = 1000;

/** Which limit refuses a request, and when to come back. */
export type LimitRefusal = {limit: keyof Limits; retryAfter: number};

type CustomerUse = {requests: TokenBucket; promptTokens: TokenBucket; inFlight: number};
type PeerDemand = {demand: Readonly<Record<string, number>>; receivedAt: number};

/** The limits of all customers at one instance. */
export class CustomerLimits {
	readonly #uses = new Map<string, CustomerUse>();
	readonly #peers = new Map<string, PeerDemand>();
	#published: Readonly<Record<string, number>> = {};
	#instances = 1;

	/** Sets the number of live instances, this one included. */
	setInstances(count: number): void {
		this.#instances = Math.max(1, count);
	}

	/** Notes the demand that this instance has published, in milliseconds of prefill a second by customer. */
	published(demand: Readonly<Record<string, number>>): void {
		this.#published = demand;
	}

	/** Takes in another instance's published demand. */
	observePeer(instance: string, demand: Readonly<Record<string, number>>, now: number): void {
		this.#peers.set(instance, {demand, receivedAt: now});
	}

	/** Part of a customer's limits that this instance may give out. */
	share(customer: string, now: number): number {
		const peers: number[] = [];
		for (const [instance, {demand, receivedAt}] of this.#peers) {
			if (now - receivedAt > digestLifetime) {
				this.#peers.delete(instance);
			} else {
				peers.push(demand[customer] ?? 0);
			}
		}

		return limitShare({instances: this.#instances, published: this.#published[customer] ?? 0, peers});
	}

	/** The limit that a request would break; undefined where it breaks none. */
	check(customer: Customer, tokens: {prompt: number; total: number}, now: number): LimitRefusal | undefined {
		const {requestsPerSecond, promptTokensPerSecond, tokensInFlight} = customer.limits;
		if (requestsPerSecond === undefined && promptTokensPerSecond === undefined && tokensInFlight === undefined) {
			return undefined;
		}

		const share = this.share(customer.name, now);
		const use = this.#use(customer.name, now);
		const requestWait = requestsPerSecond === undefined ? 0 : use.requests.waitFor(1, requestsPerSecond * share, now);
		if (requestWait > 0) {
			return {limit: 'requestsPerSecond', retryAfter: requestWait};
		}

		const tokenWait = promptTokensPerSecond === undefined ? 0 : use.promptTokens.waitFor(tokens.prompt, promptTokensPerSecond * share, now);
		if (tokenWait > 0) {
			return {limit: 'promptTokensPerSecond', retryAfter: tokenWait};
		}

		// One request alone may exceed an instance's share, or the longest prompts would never run.
		const exceeds = tokensInFlight !== undefined && use.inFlight > 0 && use.inFlight + tokens.total > tokensInFlight * share;
		return exceeds ? {limit: 'tokensInFlight', retryAfter: inFlightRetry} : undefined;
	}

	/** Counts an admitted request. */
	admitted(customer: Customer, tokens: {prompt: number; total: number}, now: number): void {
		const {requestsPerSecond, promptTokensPerSecond} = customer.limits;
		const share = this.share(customer.name, now);
		const use = this.#use(customer.name, now);
		use.inFlight += tokens.total;
		if (requestsPerSecond !== undefined) {
			use.requests.take(1, requestsPerSecond * share, now);
		}

		if (promptTokensPerSecond !== undefined) {
			use.promptTokens.take(tokens.prompt, promptTokensPerSecond * share, now);
		}
	}

	/** Gives back the tokens in flight of a request that has ended. */
	ended(customer: string, totalTokens: number): void {
		const use = this.#uses.get(customer);
		if (use) {
			use.inFlight = Math.max(0, use.inFlight - totalTokens);
		}
	}

	#use(customer: string, now: number): CustomerUse {
		let use = this.#uses.get(customer);
		if (!use) {
			use = {requests: new TokenBucket(now), promptTokens: new TokenBucket(now), inFlight: 0};
			this.#uses.set(customer, use);
		}

		return use;
	}
}
