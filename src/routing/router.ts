/**
 * Admits requests at one entry instance and chooses an upstream for each.
 *
 * The router has no sockets and no timers. Its caller
 *
 * - passes in the configuration, the upstreams, the number of live instances and every observation;
 * - calls `decide` once for each attempt. A request with a `send` decision counts as in flight until an `ended`
 *   observation, which is required even if the request could not be sent;
 * - if the `send` decision has `isReservationRequired` set, makes a reservation at the engine first and passes the outcome to
 *   `handleReservationOutcome`. The decision that it returns replaces the first one and may require another reservation;
 *   the caller releases a reservation if that decision does not send the request to its engine;
 * - after a `wait` decision, calls `drain` at `nextDrainTime` and after each `ended` or `load` observation to get the
 *   decisions for queued requests, and calls `withdraw` if the caller of a queued request disconnects;
 * - publishes the digest from `createPeerDigest` to the other instances every few seconds.
 *
 * All times are in milliseconds on one monotonic clock. Decisions are deterministic: the same calls with the same seed
 * give the same decisions.
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
	/** Failure domain of this instance; upstreams in it are slightly preferred. */
	failureDomain: string;
	/**
	 * Seed of the random number generators.
	 * @default 0
	 */
	seed?: number;
};

/** State of the router, as shown to operators. */
export type RouterSnapshot = {
	generation: number;
	queued: number;
	pools: Readonly<Record<string, {members: number; sizes: EngineCountByTier; blocking: number}>>;
	/** Engines whose cached prefixes must be read in full. */
	toResync: readonly string[];
};

/** Router of one entry instance. */
export class Router {
	readonly #instance: string;
	readonly #seed: number;
	readonly #fleet = new FleetView();
	readonly #customerLimits = new CustomerLimits();
	readonly #promptRouter: PromptRouter;
	/** Tokens that count against the customer's limit on tokens in flight, by request. */
	readonly #admittedTokens = new Map<string, {customer: string; tokens: number}>();

	constructor({instance, failureDomain, seed = 0}: RouterOptions) {
		this.#instance = instance;
		this.#seed = seed;
		this.#promptRouter = new PromptRouter(this.#fleet, {
			seed,
			failureDomain,
			failureDomainOf: upstream => this.#fleet.upstreams.get(upstream)?.failureDomain,
			isCoolingDown: (upstream, now) => this.#fleet.isCoolingDown(upstream, now),
		});
	}

	/** Applies an accepted configuration. */
	setConfiguration(configuration: Configuration, now: number): void {
		this.#fleet.setConfiguration(configuration, now);
	}

	/** Replaces the list of upstreams; those that are not `live` receive no new requests. */
	setUpstreams(upstreams: readonly UpstreamDescription[], now: number): void {
		this.#fleet.setUpstreams(upstreams, now);
	}

	/** Sets the number of live instances, including this one. */
	setInstances(count: number): void {
		this.#fleet.setInstances(count);
		this.#customerLimits.setInstances(count);
	}

	/** Makes the decision for one attempt of a request. */
	decide(facts: RequestFacts, now: number): Decision {
		const {classes, customers} = this.#fleet.configuration;
		const requestClass = classes.get(facts.requestClass);
		const customer = customers.get(facts.customer);
		if (!requestClass || !customer) {
			return refuse('3005', 1000, requestClass ? `customer "${facts.customer}" is not declared` : `class "${facts.requestClass}" is not declared`);
		}

		const tokens = this.#estimateTokens(facts);
		// A retry of an admitted request does not count against the customer's limits again.
		const exceeded = facts.excluded.length > 0 ? undefined : this.#customerLimits.findExceededLimit(customer, tokens, now);
		if (exceeded) {
			return refuse('3001', exceeded.retryAfter, `limit ${exceeded.limit} of customer "${customer.name}" is exceeded`);
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

	/** Makes the next decision for a request after the outcome of its reservation; returns undefined if the request is no longer known. */
	handleReservationOutcome(requestId: string, outcome: ReservationOutcome, now: number): SendDecision | WaitDecision | RefuseDecision | undefined {
		const decision = this.#promptRouter.handleReservationOutcome(requestId, outcome, now);
		if (decision?.kind === 'refuse') {
			this.#releaseTokens(requestId);
		}

		return decision;
	}

	/** Makes the decisions for queued requests that can be sent or must be refused now. */
	drain(now: number): QueuedRequestDecision[] {
		const drained = this.#promptRouter.drain(now);
		for (const {requestId, decision} of drained) {
			if (decision.kind === 'refuse') {
				this.#releaseTokens(requestId);
			}
		}

		return drained;
	}

	/** Time at which to call `drain` next; undefined if no request is queued. */
	nextDrainTime(now: number): number | undefined {
		return this.#promptRouter.nextDrainTime(now);
	}

	/** Removes a request whose caller disconnected before it was sent. */
	withdraw(requestId: string): void {
		this.#promptRouter.withdraw(requestId);
		this.#fleet.unassign(requestId);
		this.#releaseTokens(requestId);
	}

	/** Updates the state from an observation. */
	observe(observation: Observation, now: number): void {
		this.#fleet.observe(observation, now);
		if (observation.kind === 'ended') {
			this.#promptRouter.withdraw(observation.requestId);
			this.#releaseTokens(observation.requestId);
		} else if (observation.kind === 'peer-digest') {
			this.#customerLimits.setPeerDemand(observation.digest.instance, observation.digest.customerDemand, now);
		}
	}

	/**
	 * Creates the digest for the other instances.
	 *
	 * This instance's shares of the customers' limits are computed from the digest created last.
	 */
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

	/** Engines whose cached prefixes must be read in full and passed in as a `cache-snapshot` observation. */
	get toResync(): string[] {
		return this.#fleet.prefixIndex.toResync;
	}

	/** Sequence number after which to request further cache events from an engine. */
	lastCacheSequence(upstream: string): number {
		return this.#fleet.prefixIndex.lastSequence(upstream);
	}

	snapshot(): RouterSnapshot {
		return {
			generation: this.#fleet.configuration.generation,
			queued: this.#promptRouter.queuedCount,
			pools: Object.fromEntries([...this.#fleet.pools].map(([name, pool]) => (
				[name, {members: pool.members.length, sizes: pool.engineCountByTier, blocking: pool.prefillEstimator.blockingFraction}]))),
			toResync: this.toResync,
		};
	}

	/** Explains how the decision for a request would come about now, without making it. */
	explain(facts: RequestFacts, now: number): Explanation {
		return explainDecision(this.#fleet, this.#promptRouter, facts, now);
	}

	#estimateTokens({model, promptBytes, maximumAnswerTokens}: RequestFacts): {prompt: number; total: number} {
		if (model === undefined) {
			return {prompt: 0, total: 0};
		}

		const prompt = this.#fleet.promptLengthEstimator.expectedTokens(model, promptBytes);
		return {prompt, total: prompt + maximumAnswerTokens};
	}

	#releaseTokens(requestId: string): void {
		const admitted = this.#admittedTokens.get(requestId);
		if (admitted) {
			this.#admittedTokens.delete(requestId);
			this.#customerLimits.releaseTokensInFlight(admitted.customer, admitted.tokens);
		}
	}
}
