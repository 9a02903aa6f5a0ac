/**
 * Which other instances this one asks to relay connections to engines.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {type HomeRegions, isInHomeRegions} from '../placement/engine-eligibility.js';

/** What an instance says about itself as a relay. */
export type RelayOffer = {
	failureDomain: string;
	/** Whether it relays: it reaches engines and is not about to leave. */
	isAvailable: boolean;
};

/** A live instance and what it has said last; undefined where it has said nothing. */
export type RelayCandidate = {ip: string; relayOffer: RelayOffer | undefined};

/** Time in milliseconds for which others are asked before an instance that could not relay: two heartbeats, with which it tells when it can. */
const avoidanceTime = 1000;

/** Connections more that a near instance relays before a far one is asked. */
const farCost = 8;

/** Connections more that another instance relays before one is asked that has just refused: more than any relays. */
const avoidanceCost = 1000;

/** Options of `RelayPeers`. */
export type RelayPeersOptions = {
	failureDomain: string;
	/**
	 * Region of each failure domain.
	 * @default no domain has a known region
	 */
	regions?: ReadonlyMap<string, string> | undefined;
	/** Live instances other than this one. */
	candidates: () => readonly RelayCandidate[];
	/** @default Math.random */
	random?: () => number;
};

/** Relays of one instance. */
export class RelayPeers {
	readonly #options: RelayPeersOptions;
	readonly #random: () => number;
	/** Monotonic times in milliseconds until which instances are not asked. */
	readonly #avoidedUntil = new Map<string, number>();
	/** Connections that each instance relays for this one. */
	readonly #activeCounts = new Map<string, number>();

	constructor(options: RelayPeersOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
	}

	/** Whether any instance may relay. */
	get hasAny(): boolean {
		return this.#usable(new Set()).length > 0;
	}

	/**
	 * The instance to ask next: a near one before others, and of those the one that relays least for this one.
	 *
	 * @param homeRegions - Regions whose instances may receive what is sent; undefined for all.
	 */
	choose(excluded: ReadonlySet<string>, homeRegions?: HomeRegions): string | undefined {
		let best: string | undefined;
		let bestCost = Number.POSITIVE_INFINITY;
		for (const {ip, relayOffer} of this.#usable(excluded, homeRegions)) {
			const isNear = relayOffer?.failureDomain === this.#options.failureDomain;
			const cost = (this.#activeCounts.get(ip) ?? 0) + (isNear ? 0 : farCost) + (this.#isAvoided(ip) ? avoidanceCost : 0) + (this.#random() / 2);
			if (cost < bestCost) {
				best = ip;
				bestCost = cost;
			}
		}

		return best;
	}

	/** Records that an instance could not relay. */
	recordUnavailable(ip: string): void {
		this.#avoidedUntil.set(ip, performance.now() + avoidanceTime);
	}

	/** Counts a connection that an instance relays. @returns a function that ends it. */
	begin(ip: string): () => void {
		this.#activeCounts.set(ip, (this.#activeCounts.get(ip) ?? 0) + 1);
		return () => {
			const count = (this.#activeCounts.get(ip) ?? 1) - 1;
			if (count === 0) {
				this.#activeCounts.delete(ip);
			} else {
				this.#activeCounts.set(ip, count);
			}
		};
	}

	#usable(excluded: ReadonlySet<string>, homeRegions?: HomeRegions): RelayCandidate[] {
		const {candidates, regions = new Map<string, string>()} = this.#options;
		return candidates().filter(({ip, relayOffer}) => relayOffer?.isAvailable === true && !excluded.has(ip) && isInHomeRegions(relayOffer.failureDomain, homeRegions, regions));
	}

	#isAvoided(ip: string): boolean {
		const isAvoided = (this.#avoidedUntil.get(ip) ?? 0) > performance.now();
		if (!isAvoided) {
			this.#avoidedUntil.delete(ip);
		}

		return isAvoided;
	}
}
