/**
 * The engines of one pool as one instance sees them, divided between the tiers.
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
	rendezvousOrder, type EngineCountByTier, allocateEnginesToTiers, type PrefillDemandByTier,
} from './tiers.js';

/** Time in milliseconds over which the mix of tiers is averaged. */
const demandTimeConstant = 60_000;

/** Time in milliseconds for which the sizes of the tiers stand. */
const allocationLifetime = 1000;

/** Time in milliseconds for which a peer's digest counts. */
const digestLifetime = 15_000;

type PeerDemand = {demand: PrefillDemandByTier; queuedLongPrefill: number; receivedAt: number};

/** Positions of the pool's order that a tier uses, from `first` up to but without `end`. */
export type PositionRange = {first: number; end: number};

/** One pool of engines. */
export class EnginePool {
	readonly definition: Pool;
	readonly rate: PrefillEstimator;
	#members: readonly LoadView[] = [];
	#positionByName = new Map<string, number>();
	#engineCountByTier: EngineCountByTier = {short: 0, medium: 0, long: 0};
	#allocatedAt = Number.NEGATIVE_INFINITY;
	#instanceCount = 1;
	readonly #demandByTier: Record<PrefillTier, DecayingRate>;
	readonly #peerDemands = new Map<string, PeerDemand>();

	constructor(pool: Pool, rate: PrefillEstimator, now: number) {
		this.definition = pool;
		this.rate = rate;
		this.#demandByTier = {
			short: new DecayingRate(demandTimeConstant, now),
			medium: new DecayingRate(demandTimeConstant, now),
			long: new DecayingRate(demandTimeConstant, now),
		};
	}

	/** Engines that may receive new requests, in the order that all instances agree on. */
	get members(): readonly LoadView[] {
		return this.#members;
	}

	/** Sizes of the tiers as last worked out. */
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

	/** Sets the number of live instances, this one included. */
	setInstances(count: number): void {
		this.#instanceCount = Math.max(1, count);
	}

	/** Position of an engine in the order; undefined where it is no member. */
	position(name: string): number | undefined {
		return this.#positionByName.get(name);
	}

	/** Counts work asked for. */
	recordDemand(tier: PrefillTier, prefillTime: number, now: number): void {
		this.#demandByTier[tier].add(prefillTime, now);
	}

	/** Takes in a peer's digest. */
	setPeerDigest({instance, poolDemand: work, queuedLongPrefill: queued}: PeerDigest, now: number): void {
		const peerWork = work[this.definition.name];
		if (peerWork) {
			this.#peerDemands.set(instance, {demand: peerWork, queuedLongPrefill: queued[this.definition.name] ?? 0, receivedAt: now});
		}
	}

	/** Work that this instance is asked for, by tier. */
	ownDemandByTier(now: number): PrefillDemandByTier {
		return {
			short: this.#demandByTier.short.perSecond(now),
			medium: this.#demandByTier.medium.perSecond(now),
			long: this.#demandByTier.long.perSecond(now),
		};
	}

	/** Long prefill in milliseconds that waits at the other instances. */
	queuedLongPrefillAtPeers(now: number): number {
		let sum = 0;
		for (const {queuedLongPrefill: queued, receivedAt} of this.#peerDemands.values()) {
			sum += now - receivedAt <= digestLifetime ? queued : 0;
		}

		return sum;
	}

	/** Share of its time that the pool is asked to spend on prefill. */
	utilization(now: number): number {
		const {short, medium, long} = this.#fleetDemandByTier(now);
		return (short + medium + long) / 1000 / Math.max(1, this.#members.length);
	}

	/** Positions that a tier uses at this moment. */
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

	/** Work that all instances are asked for; those without a fresh digest are taken to be like the known ones. */
	#fleetDemandByTier(now: number): PrefillDemandByTier {
		const own = this.ownDemandByTier(now);
		let known = 1;
		let {short, medium, long} = own;
		for (const [instance, {demand: work, receivedAt}] of this.#peerDemands) {
			if (now - receivedAt > digestLifetime) {
				this.#peerDemands.delete(instance);
				continue;
			}

			known++;
			short += work.short;
			medium += work.medium;
			long += work.long;
		}

		const scale = Math.max(1, this.#instanceCount / known);
		return {short: short * scale, medium: medium * scale, long: long * scale};
	}
}
