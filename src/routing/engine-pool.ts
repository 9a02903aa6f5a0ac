/**
 * The engines of one pool as one instance sees them, divided between the tiers.
 *
 * @module
 */
import type {Pool} from '../configuration/model.js';
import type {LoadView} from '../upstream/load-view.js';
import type {PrefillEstimator} from '../upstream/prefill-estimator.js';
import {DecayingRate} from './decaying-rate.js';
import type {WorkTier} from './decision.js';
import type {PeerDigest} from './observation.js';
import {
	rendezvousOrder, type TierSizes, tierSizes, type TierWork,
} from './tiers.js';

/** Time in milliseconds over which the mix of tiers is averaged. */
const mixTimeConstant = 60_000;

/** Time in milliseconds for which the sizes of the tiers stand. */
const sizesLifetime = 1000;

/** Time in milliseconds for which a peer's digest counts. */
const digestLifetime = 15_000;

type PeerWork = {work: TierWork; queued: number; receivedAt: number};

/** Positions of the pool's order that a tier uses, from `first` up to but without `end`. */
export type PositionRange = {first: number; end: number};

/** One pool of engines. */
export class EnginePool {
	readonly pool: Pool;
	readonly rate: PrefillEstimator;
	#members: readonly LoadView[] = [];
	#positions = new Map<string, number>();
	#sizes: TierSizes = {short: 0, medium: 0, long: 0};
	#sizedAt = Number.NEGATIVE_INFINITY;
	#instances = 1;
	readonly #work: Record<WorkTier, DecayingRate>;
	readonly #peers = new Map<string, PeerWork>();

	constructor(pool: Pool, rate: PrefillEstimator, now: number) {
		this.pool = pool;
		this.rate = rate;
		this.#work = {
			short: new DecayingRate(mixTimeConstant, now),
			medium: new DecayingRate(mixTimeConstant, now),
			long: new DecayingRate(mixTimeConstant, now),
		};
	}

	/** Engines that may receive new requests, in the order that all instances agree on. */
	get members(): readonly LoadView[] {
		return this.#members;
	}

	/** Sizes of the tiers as last worked out. */
	get sizes(): TierSizes {
		return this.#sizes;
	}

	/** Sets the engines that may receive new requests. */
	setMembers(views: readonly LoadView[]): void {
		const byName = new Map(views.map(view => [view.name, view]));
		const order = rendezvousOrder(this.pool.name, [...byName.keys()]);
		this.#members = order.map(name => byName.get(name)!);
		this.#positions = new Map(order.map((name, position) => [name, position]));
		this.#sizedAt = Number.NEGATIVE_INFINITY;
	}

	/** Sets the number of live instances, this one included. */
	setInstances(count: number): void {
		this.#instances = Math.max(1, count);
	}

	/** Position of an engine in the order; undefined where it is no member. */
	position(name: string): number | undefined {
		return this.#positions.get(name);
	}

	/** Counts work asked for. */
	asked(tier: WorkTier, prefillTime: number, now: number): void {
		this.#work[tier].add(prefillTime, now);
	}

	/** Takes in a peer's digest. */
	observePeer({instance, work, queued}: PeerDigest, now: number): void {
		const peerWork = work[this.pool.name];
		if (peerWork) {
			this.#peers.set(instance, {work: peerWork, queued: queued[this.pool.name] ?? 0, receivedAt: now});
		}
	}

	/** Work that this instance is asked for, by tier. */
	ownWork(now: number): TierWork {
		return {
			short: this.#work.short.perSecond(now),
			medium: this.#work.medium.perSecond(now),
			long: this.#work.long.perSecond(now),
		};
	}

	/** Long prefill in milliseconds that waits at the other instances. */
	peersQueued(now: number): number {
		let sum = 0;
		for (const {queued, receivedAt} of this.#peers.values()) {
			sum += now - receivedAt <= digestLifetime ? queued : 0;
		}

		return sum;
	}

	/** Share of its time that the pool is asked to spend on prefill. */
	utilization(now: number): number {
		const {short, medium, long} = this.#fleetWork(now);
		return (short + medium + long) / 1000 / Math.max(1, this.#members.length);
	}

	/** Positions that a tier uses at this moment. */
	range(tier: WorkTier, now: number): PositionRange {
		if (now - this.#sizedAt > sizesLifetime) {
			this.#sizes = tierSizes(this.#members.length, this.#fleetWork(now));
			this.#sizedAt = now;
		}

		const {short, medium, long} = this.#sizes;
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
	#fleetWork(now: number): TierWork {
		const own = this.ownWork(now);
		let known = 1;
		let {short, medium, long} = own;
		for (const [instance, {work, receivedAt}] of this.#peers) {
			if (now - receivedAt > digestLifetime) {
				this.#peers.delete(instance);
				continue;
			}

			known++;
			short += work.short;
			medium += work.medium;
			long += work.long;
		}

		const scale = Math.max(1, this.#instances / known);
		return {short: short * scale, medium: medium * scale, long: long * scale};
	}
}
