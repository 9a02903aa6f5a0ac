/**
 * How many instances there are, as far as this one can know.
 *
 * An instance that has just started knows some of the others only. One that has known the same others for a while states
 * their number to a restarted instance, which then knows it at once.
 *
 * @module
 */
import {FleetCeiling} from './fleet-ceiling.js';
import {KnownAddresses} from './known-addresses.js';
import {heartbeatInterval} from './peer-membership.js';

/** Heartbeats after which instances that start at the same time know each other. */
export const discoveryHeartbeats = 4;

/** Time in milliseconds after the start, and after a new peer, in which further ones may be unknown. */
const discoveryTime = discoveryHeartbeats * heartbeatInterval;

/** What an instance knows of the fleet. */
export type FleetKnowledge = {
	/** Number of instances, this one included. */
	size: number;
	/** Largest number known or heard of lately. */
	largestSize: number;
	/** Whether no further instances may still be unknown. */
	isKnown: boolean;
	/** Addresses of peers known lately; a new list after each change. */
	addresses: readonly string[];
};

/** Number of instances as one of them knows it; all times are monotonic, in milliseconds. */
export class FleetSize {
	readonly #startedAt: number;
	/** Largest numbers that this instance has known itself, and that peers have stated. */
	readonly #ownCeiling = new FleetCeiling();
	readonly #statedCeiling = new FleetCeiling();
	readonly #knownAddresses = new KnownAddresses();
	#newPeerAt: number;
	/** Largest number that a peer has stated. */
	#statedSize: number | undefined;

	constructor(startedAt: number) {
		this.#startedAt = startedAt;
		this.#newPeerAt = startedAt;
	}

	/** @param knownPeers - Number of known peers. */
	knowledge(knownPeers: number, now: number): FleetKnowledge {
		return {
			size: this.size(knownPeers, now), largestSize: this.largestSize(knownPeers, now), isKnown: this.isKnown(now), addresses: this.#knownAddresses.all,
		};
	}

	/** Records the addresses of the known peers; to be called from time to time. */
	recordAddresses(addresses: readonly string[], now: number): void {
		this.#knownAddresses.record(addresses, now);
	}

	/** Records that an instance came to be known whose address was unknown before. @param knownPeers - Number of known peers with it. */
	recordNewPeer(now: number, knownPeers = 1): void {
		this.#ownCeiling.record(knownPeers + 1, now);
		this.#newPeerAt = now;
	}

	recordStatedSize(size: number, now: number): void {
		this.#statedCeiling.record(size, now);
		this.#statedSize = Math.max(size, this.#statedSize ?? size);
	}

	/** Number to state to others: the largest one that this instance has known lately, as those that are not heard of may be cut off. What others state is not repeated, or it would be kept for ever. Undefined while this instance may not know all of them. @param knownPeers - Number of known peers. */
	sizeToState(knownPeers: number, now: number): number | undefined {
		return now - this.#newPeerAt >= discoveryTime ? this.#ownCeiling.record(knownPeers + 1, now) : undefined;
	}

	/** Largest number of instances that this one has known or heard of lately. */
	largestSize(knownPeers: number, now: number): number {
		return Math.max(this.#ownCeiling.record(knownPeers + 1, now), this.#statedCeiling.record(1, now));
	}

	/** Whether this instance knows the number of all instances, from a peer or because it has run for long enough. */
	isKnown(now: number): boolean {
		return this.#statedSize !== undefined || !this.#isStarting(now);
	}

	/** Number of instances, this one included. */
	size(knownPeers: number, now: number): number {
		return this.#isStarting(now) ? Math.max(knownPeers + 1, this.#statedSize ?? 0) : knownPeers + 1;
	}

	#isStarting(now: number): boolean {
		return now - this.#startedAt < discoveryTime;
	}
}
