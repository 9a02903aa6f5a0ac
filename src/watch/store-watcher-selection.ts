/**
 * Selects the instances that watch the platform's metadata store; the others receive its contents from their peers.
 *
 * @module
 */
import {hashPosition} from '../placement/hash-position.js';

/** Most instances of a fleet in which all watch the store; up to this size their calls cost less than the delay that a lost watcher may cause. */
const maximumSmallFleet = 12;

/** Number of watchers in a larger fleet. */
const watcherCount = 5;

/** Time in milliseconds without a message after which a watcher counts as lost; half of the shortest time limit for a change to take effect. */
const watcherTimeout = 1000;

/** Mean time in milliseconds between two probes of the store by the whole fleet while no watcher reaches it; multiplied by the number of peers for each instance. */
const outageProbeInterval = 400;

/** What the selection of watchers needs to know about a peer. */
export type PeerStatus = {
	ip: string;
	/** Monotonic time in milliseconds of its last message. */
	lastMessageAt: number;
	/** Whether it watches the store and its last call was answered. */
	canReachStore: boolean;
	/** Whether it watches the store, even if the store does not answer. */
	isStoreWatcher: boolean;
	/** Monotonic times in milliseconds at which the store last answered it, for each table; `-Infinity` if it has not said so. */
	confirmedAt: TableTimes;
};

/** One time for each table. */
export type TableTimes = readonly [number, number];

/** Input of one decision. */
export type StoreWatchInput = {
	ip: string;
	peers: readonly PeerStatus[];
	now: number;
	/** Random number from 0 to 1, drawn anew for each decision. */
	randomValue: number;
	/** Time in milliseconds since the last decision. */
	timeSinceLastDecision: number;
};

/** Why an instance watches the store; `none` if it does not. */
export type StoreWatchReason = 'small-fleet' | 'elected' | 'no-follower' | 'outage-try' | 'none';

/** Decides whether this instance watches the store now. */
export function storeWatchReason({ip, peers, now, randomValue, timeSinceLastDecision}: StoreWatchInput): StoreWatchReason {
	if (peers.length < maximumSmallFleet) {
		return 'small-fleet';
	}

	const ownPosition = hashPosition(ip);
	if (peers.filter(peer => hashPosition(peer.ip) < ownPosition).length < watcherCount) {
		return 'elected';
	}

	const recentWatchers = peers.filter(peer => peer.isStoreWatcher && now - peer.lastMessageAt <= watcherTimeout);
	if (recentWatchers.some(({canReachStore}) => canReachStore)) {
		return 'none';
	}

	if (recentWatchers.length === 0) {
		return 'no-follower';
	}

	// The watchers run but cannot reach the store. The other instances probe it now and then, as the store may refuse only some instances.
	return randomValue < timeSinceLastDecision / (peers.length * outageProbeInterval) ? 'outage-try' : 'none';
}

/** Whether an instance with this reason watches the store. */
export function isWatching(reason: StoreWatchReason): boolean {
	return reason !== 'none';
}
