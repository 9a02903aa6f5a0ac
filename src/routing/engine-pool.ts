/**
 * The engines of one pool as this instance sees them, divided between the tiers.
 *
 * @module
 */
import type {Pool} from '../configuration/model.js';
import type {LoadView} from '../upstream/load-view.js';
import type {PrefillEstimator} from '../upstream/prefill-estimator.js';
import {DecayingRate} from './decaying-rate.js';
import type {PrefillTier} from './decision.js';
import type {PeerDigest} from './observation.js';
import {
	allocateEnginesToTiers, type EngineCountByTier, type PrefillDemandByTier, rendezvousOrder,
} from './tiers.js';

/** Time constant in milliseconds over which the demand of each tier is averaged. */
const demandTimeConstant = 60_000;

/** Time in milliseconds for which an allocation of engines to tiers is reused. */
const allocationLifetime = 1000;

/** Time in milliseconds for which a peer's demand counts after its digest was received. */
const digestLifetime = 15_000;

type PeerDemand = {demand: PrefillDemandByTier; queuedLongPrefill: number; receivedAt: number};

/** Positions in the pool's order, from `first` up to but not including `end`. */
export type PositionRange = {first: number; end: number};

/** Engines of one pool, their allocation to the tiers and the demand for them. */
export class EnginePool {
	readonly definition: Pool;
	readonly prefillEstimator: PrefillEstimator;
	#members: readonly LoadView[] = [];
	#positionByName = new Map<string, number>();
	#engineCountByTier: EngineCountByTier = {short: 0, medium: 0, long: 0};
	#allocatedAt = Number.NEGATIVE_INFINITY;
	#instanceCount = 1;
	readonly #demandByTier: Record<PrefillTier, DecayingRate>;
	readonly #peerDemands = new Map<string, PeerDemand>();

	constructor(definition: Pool, prefillEstimator: PrefillEstimator, now: number) {
		this.definition = definition;
		this.prefillEstimator = prefillEstimator;
		this.#demandByTier = {
			short: new DecayingRate(demandTimeConstant, now),
			medium: new DecayingRate(demandTimeConstant, now),
			long: new DecayingRate(demandTimeConstant, now),
		};
	}

	/** Engines that may receive new requests, in rendezvous order, which is the same at all instances. */
	get members(): readonly LoadView[] {
		return this.#members;
	}

	/** Number of engines of each tier in the last allocation. */
	get engineCountByTier(): EngineCountByTier {
		return this.#engineCountByTier;
	}

	/** Sets the engines that may receive new requests. */
	setMembers(views: readonly LoadView[]): void {
		const byName = new Map(views.map(view => [view.name, view]));
		const order = rendezvousOrder(this.definition.name, [...byName.keys()]);
		this.#members = order.map(name => byName.get(name)!);
		this.#positionByName = new Map(order.map((name, position) => [name, position]));
		this.#allocatedAt = Number.NEGATIVE_INFINITY;
	}

	/** Sets the number of live instances, including this one. */
	setInstances(count: number): void {
		this.#instanceCount = Math.max(1, count);
	}

	/** Position of an engine in the order; undefined if it is not a member. */
	position(name: string): number | undefined {
		return this.#positionByName.get(name);
	}

	/** Counts the expected prefill time in milliseconds of a requested prompt as demand of its tier. */
	recordDemand(tier: PrefillTier, prefillTime: number, now: number): void {
		this.#demandByTier[tier].add(prefillTime, now);
	}

	/** Records a peer's demand from its digest; a digest without this pool is ignored. */
	setPeerDigest({instance, poolDemand, queuedLongPrefill}: PeerDigest, now: number): void {
		const demand = poolDemand[this.definition.name];
		if (demand) {
			this.#peerDemands.set(instance, {demand, queuedLongPrefill: queuedLongPrefill[this.definition.name] ?? 0, receivedAt: now});
		}
	}

	/** Demand at this instance, by tier. */
	ownDemandByTier(now: number): PrefillDemandByTier {
		return {
			short: this.#demandByTier.short.perSecond(now),
			medium: this.#demandByTier.medium.perSecond(now),
			long: this.#demandByTier.long.perSecond(now),
		};
	}

	/** Prefill time in milliseconds of the long prompts queued at the other instances. */
	queuedLongPrefillAtPeers(now: number): number {
		let sum = 0;
		for (const {queuedLongPrefill, receivedAt} of this.#peerDemands.values()) {
			sum += now - receivedAt <= digestLifetime ? queuedLongPrefill : 0;
		}

		return sum;
	}

	/** Requested prefill time of all instances as a share of the engines' time; above 1 under overload. */
	utilization(now: number): number {
		const {short, medium, long} = this.#fleetDemandByTier(now);
		return (short + medium + long) / 1000 / Math.max(1, this.#members.length);
	}

	/** Positions of the engines that serve a tier now. */
	tierRange(tier: PrefillTier, now: number): PositionRange {
		if (now - this.#allocatedAt > allocationLifetime) {
			this.#engineCountByTier = allocateEnginesToTiers(this.#members.length, this.#fleetDemandByTier(now));
			this.#allocatedAt = now;
		}

		const {short, medium, long} = this.#engineCountByTier;
		const end = this.#members.length;
		if (end <= 1) {
			return {first: 0, end};
		}

		if (tier === 'short') {
			return {first: end - short, end};
		}

		return tier === 'long' || medium === 0 ? {first: 0, end: long} : {first: end - short - medium, end: end - short};
	}

	/** Demand at all instances, by tier; instances without a current digest are assumed to have the average demand of the known ones. */
	#fleetDemandByTier(now: number): PrefillDemandByTier {
		const own = this.ownDemandByTier(now);
		let knownInstances = 1;
		let {short, medium, long} = own;
		for (const [instance, {demand, receivedAt}] of this.#peerDemands) {
			if (now - receivedAt > digestLifetime) {
				this.#peerDemands.delete(instance);
				continue;
			}

			knownInstances++;
			short += demand.short;
			medium += demand.medium;
			long += demand.long;
		}

		const scale = Math.max(1, this.#instanceCount / knownInstances);
		return {short: short * scale, medium: medium * scale, long: long * scale};
	}
}
