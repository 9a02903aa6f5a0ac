/**
 * Admission and the choice of upstream at one entry instance.
 *
 * The router owns no socket and no timer. Its caller
 *
 * - gives it the configuration, the upstreams, the count of live instances and every observation;
 * - asks `decide` once for each attempt. A `send` counts as in flight from the decision until an `ended` observation,
 *   which must follow also where the request could not be sent;
 * - where `send.reserve` is set, reserves at the engine first and passes the outcome to `reserved`, whose decision
 *   replaces the first one and may ask for another reservation; a reservation is released where that decision does not
 *   send to its engine;
 * - after `wait`, calls `drain` at the time of `nextCheck` and after an `ended` or `load` observation, and gets the
 *   decisions on queued requests from it; calls `withdraw` when a waiting caller leaves;
 * - publishes `digest` to the other instances every few seconds.
 *
 * All times are in milliseconds on one monotonic clock. The same calls with the same seed give the same decisions.
 *
 * @module
 */
import type {Configuration} from '../configuration/model.js';
import {CustomerLimits} from '../customer/customer-limits.js';
import type {
	Decision, QueuedRequestDecision, Explanation, RefuseDecision, RequestFacts, ReservationOutcome, SendDecision, WaitDecision,
} from './decision.js';
import {explainDecision} from './explain.js';
import {FleetView} from './fleet-view.js';
import type {Observation, PeerDigest, UpstreamDescription} from './observation.js';
import {refuse} from './prompt-assessment.js';
import {PromptRouter} from './prompt-router.js';
import {routeServiceRequest} from './service-router.js';
import type {EngineCountByTier} from './tiers.js';

export type RouterOptions = {
	/** Name of this instance. */
	instance: string;
	/** Failure domain of this instance; upstreams in it are preferred a little. */
	failureDomain: string;
	/**
	 * Seed of all random choices.
	 * @default 0
	 */
	seed?: number;
};

/** State of the router for operators. */
export type RouterSnapshot = {
	generation: number;
	queued: number;
	pools: Readonly<Record<string, {members: number; sizes: EngineCountByTier; blocking: number}>>;
	/** Engines whose prefix cache should be read whole. */
	toResync: readonly string[];
};

/** Decides for one entry instance. */
export class Router {
	readonly #instance: string;
	readonly #seed: number;
	readonly #fleet = new FleetView();
	readonly #customerLimits = new CustomerLimits();
	readonly #promptRouter: PromptRouter;
	/** Tokens that count against a customer's limit, by request. */
	readonly #admittedTokens = new Map<string, {customer: string; tokens: number}>();

	constructor({instance, failureDomain, seed = 0}: RouterOptions) {
		this.#instance = instance;
		this.#seed = seed;
		this.#promptRouter = new PromptRouter(this.#fleet, {
			seed,
			failureDomain,
			failureDomainOf: upstream => this.#fleet.upstreams.get(upstream)?.failureDomain,
			hasFailedRecently: (upstream, now) => this.#fleet.isCoolingDown(upstream, now),
		});
	}

	/** Takes an accepted configuration into force. */
	setConfiguration(configuration: Configuration, now: number): void {
		this.#fleet.setConfiguration(configuration, now);
	}

	/** Replaces the list of upstreams; those that are not `live` get no new requests. */
	setUpstreams(upstreams: readonly UpstreamDescription[], now: number): void {
		this.#fleet.setUpstreams(upstreams, now);
	}

	/** Sets the number of live instances, this one included. */
	setInstances(count: number): void {
		this.#fleet.setInstances(count);
		this.#customerLimits.setInstances(count);
	}

	/** Decides on one attempt of a request. */
	decide(facts: RequestFacts, now: number): Decision {
		const {classes, customers} = this.#fleet.configuration;
		const requestClass = classes.get(facts.requestClass);
		const customer = customers.get(facts.customer);
		if (!requestClass || !customer) {
			return refuse('3005', 1000, requestClass ? `customer "${facts.customer}" is not declared` : `class "${facts.requestClass}" is not declared`);
		}

		const tokens = this.#estimateTokens(facts);
		// A further attempt of an admitted request is not held against its customer again.
		const refusal = facts.excluded.length > 0 ? undefined : this.#customerLimits.findExceededLimit(customer, tokens, now);
		if (refusal) {
			return refuse('3001', refusal.retryAfter, `limit ${refusal.limit} of customer "${customer.name}"`);
		}

		const decision = facts.model === undefined
			? routeServiceRequest(this.#fleet, facts, {now, seed: this.#seed})
			: this.#promptRouter.decide(facts, requestClass, customer, now);
		if ((decision.kind === 'send' || decision.kind === 'wait') && !this.#admittedTokens.has(facts.requestId)) {
			this.#customerLimits.recordAdmission(customer, tokens, now);
			this.#admittedTokens.set(facts.requestId, {customer: customer.name, tokens: tokens.total});
		}

		return decision;
	}

	/** Takes in the outcome of a reservation; undefined where the request is no longer known. */
	handleReservationOutcome(requestId: string, outcome: ReservationOutcome, now: number): SendDecision | WaitDecision | RefuseDecision | undefined {
		const decision = this.#promptRouter.handleReservationOutcome(requestId, outcome, now);
		if (decision?.kind === 'refuse') {
			this.#releaseTokens(requestId);
		}

		return decision;
	}

	/** Decisions on queued requests that can be made now. */
	drain(now: number): QueuedRequestDecision[] {
		const drained = this.#promptRouter.drain(now);
		for (const {requestId, decision} of drained) {
			if (decision.kind === 'refuse') {
				this.#releaseTokens(requestId);
			}
		}

		return drained;
	}

	/** Time at which `drain` should be called next; undefined while nothing waits. */
	nextDrainTime(now: number): number | undefined {
		return this.#promptRouter.nextDrainTime(now);
	}

	/** Forgets a request whose caller has left before it was sent. */
	withdraw(requestId: string): void {
		this.#promptRouter.withdraw(requestId);
		this.#fleet.unassign(requestId);
		this.#releaseTokens(requestId);
	}

	/** Takes in an observation. */
	observe(observation: Observation, now: number): void {
		this.#fleet.observe(observation, now);
		if (observation.kind === 'ended') {
			this.#promptRouter.withdraw(observation.requestId);
			this.#releaseTokens(observation.requestId);
		} else if (observation.kind === 'peer-digest') {
			this.#customerLimits.setPeerDemand(observation.digest.instance, observation.digest.customerDemand, now);
		}
	}

	/** What this instance tells the others; its own shares follow from the digest last made. */
	createPeerDigest(now: number): PeerDigest {
		const demand = this.#promptRouter.fairShare.demandByCustomer(now);
		this.#customerLimits.setPublishedDemand(demand);
		const pools = [...this.#fleet.pools];
		return {
			instance: this.#instance,
			customerDemand: demand,
			poolDemand: Object.fromEntries(pools.map(([name, pool]) => [name, pool.ownDemandByTier(now)])),
			queuedLongPrefill: Object.fromEntries(pools.map(([name]) => [name, this.#promptRouter.queuedPrefillTime(name)])),
		};
	}

	/** Engines whose prefix cache should be read whole and given as a `cache-snapshot`. */
	get toResync(): string[] {
		return this.#fleet.prefixIndex.toResync;
	}

	/** Sequence number after which an engine should be asked for cache events. */
	lastCacheSequence(upstream: string): number {
		return this.#fleet.prefixIndex.lastSequence(upstream);
	}

	/** State for operators. */
	snapshot(): RouterSnapshot {
		return {
			generation: this.#fleet.configuration.generation,
			queued: this.#promptRouter.queuedCount,
			pools: Object.fromEntries([...this.#fleet.pools].map(([name, pool]) => (
				[name, {members: pool.members.length, sizes: pool.engineCountByTier, blocking: pool.rate.blockingFraction}]))),
			toResync: this.toResync,
		};
	}

	/** How a decision would come about now, without making it. */
	explain(facts: RequestFacts, now: number): Explanation {
		return explainDecision(this.#fleet, this.#promptRouter, facts, now);
	}

	#estimateTokens({model, promptBytes, maximumAnswerTokens}: RequestFacts): {prompt: number; total: number} {
		if (model === undefined) {
			return {prompt: 0, total: 0};
		}

		const prompt = this.#fleet.lengthEstimate.expectedTokens(model, promptBytes);
		return {prompt, total: prompt + maximumAnswerTokens};
	}

	#releaseTokens(requestId: string): void {
		const limited = this.#admittedTokens.get(requestId);
		if (limited) {
			this.#admittedTokens.delete(requestId);
			this.#customerLimits.releaseTokensInFlight(limited.customer, limited.tokens);
		}
	}
}
