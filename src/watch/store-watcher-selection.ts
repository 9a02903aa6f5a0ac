/**
 * Which instances follow the platform's store; the others learn from them.
 *
 * @module
 */
import {hashPosition} from '../placement/hash-position.js';

/** Instances up to which all follow the store: their calls cost less than what a follower's loss may delay. */
const maximumSmallFleet = 12;

/** Followers of a larger fleet. */
const watcherCount = 5;

/** Time in milliseconds without a word of any follower that reaches the store after which an instance follows by itself; half of the least bound on a change. */
const watcherTimeout = 1000;

/** Factor on the count of instances that spreads tries while no follower reaches the store, in milliseconds. */
const outageProbeInterval = 400;

/** A peer as far as it matters here. */
export type PeerStatus = {
	ip: string;
	/** Monotonic time in milliseconds of its last message. */
	lastMessageAt: number;
	/** Whether it follows the store and had an answer lately. */
	canReachStore: boolean;
	/** Whether it follows the store, reached or not. */
	isStoreWatcher: boolean;
};

/** What an instance knows when it decides. */
export type StoreWatchInput = {
	ip: string;
	peers: readonly PeerStatus[];
	now: number;
	/** Number from 0 to 1, drawn anew for each decision. */
	randomValue: number;
	/** Time in milliseconds since the last decision. */
	timeSinceLastDecision: number;
};

/** Why an instance follows the store, or that it does not. */
export type StoreWatchReason = 'small-fleet' | 'elected' | 'no-follower' | 'outage-try' | 'none';

/** Decides whether this instance follows the store now. */
export function storeWatchReason({ip, peers, now, randomValue: chance, timeSinceLastDecision: sinceLast}: StoreWatchInput): StoreWatchReason {
	if (peers.length < maximumSmallFleet) {
		return 'small-fleet';
	}

	const ownPosition = hashPosition(ip);
	if (peers.filter(peer => hashPosition(peer.ip) < ownPosition).length < watcherCount) {
		return 'elected';
	}

	const recentWatchers = peers.filter(peer => peer.isStoreWatcher && now - peer.lastMessageAt <= watcherTimeout);
	if (recentWatchers.some(({canReachStore: reachesStore}) => reachesStore)) {
		return 'none';
	}

	if (recentWatchers.length === 0) {
		return 'no-follower';
	}

	// The followers are alive and have lost the store: one of the others tries now and then, as only some may be refused.
	return chance < sinceLast / (peers.length * outageProbeInterval) ? 'outage-try' : 'none';
}

/** Whether an instance follows the store while it has a duty of this kind. */
export function isWatching(reason: StoreWatchReason): boolean {
	return reason !== 'none';
}
