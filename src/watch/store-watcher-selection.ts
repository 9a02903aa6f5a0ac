/**
 * Selects the instances that watch the platform's metadata store; the others receive its contents from their peers.
 *
 * @module
 */
import {hashPosition} from '../placement/hash-position.js';
import type {ConfirmationTimes} from './confirmation-times.js';

/** Most peers of an instance in a fleet in which all watch the store; up to this size their calls cost less than the delay that a lost watcher may cause. */
export const maximumSmallFleet = 12;

/** Number of watchers in a larger fleet. */
const watcherCount = 5;

/** Elected watchers with answers of the store that take the place of a temporary one. */
const sufficientWatchers = 2;

/** Time in milliseconds without a message after which a watcher counts as lost; half of the shortest time limit for a change to take effect. */
const watcherTimeout = 1000;

/** Mean time in milliseconds between two probes of the store by the whole fleet while no watcher reaches it; multiplied by the number of peers for each instance. */
const outageProbeInterval = 400;

/** The same while the newest answer of the store is older than usual, so that about four instances ask at each decision. */
const firstProbeInterval = 60;

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

/** Why an instance watches the store; `none` if it does not. */
export type StoreWatchReason = 'small-fleet' | 'elected' | 'no-follower' | 'unconfirmed' | 'outage-try' | 'none';

/** Input of one decision. */
export type StoreWatchInput = {
	ip: string;
	peers: readonly PeerStatus[];
	now: number;
	/** Random number from 0 to 1, drawn anew for each decision. */
	randomValue: number;
	/** Time in milliseconds since the last decision. */
	timeSinceLastDecision: number;
	/** The reason so far, and since when it has held. */
	current: {reason: StoreWatchReason; since: number};
	/** Age in milliseconds of the newest answer of the store that this instance has had or heard of. */
	confirmationAge: number;
	/** Time in milliseconds since a call of this instance to the store last failed; infinite if none has. */
	timeSinceLastFailure: number;
	times: ConfirmationTimes;
};

/** Decides whether this instance watches the store now. */
export function storeWatchReason(input: StoreWatchInput): StoreWatchReason {
	const {ip, peers, now, current, timeSinceLastFailure, confirmationAge, times} = input;
	if (peers.length < maximumSmallFleet) {
		return 'small-fleet';
	}

	const ownPosition = hashPosition(ip);
	const precedingPeers = peers.filter(peer => hashPosition(peer.ip) < ownPosition);
	if (precedingPeers.length < watcherCount) {
		return 'elected';
	}

	if (isTemporary(current.reason)) {
		const hasFailed = timeSinceLastFailure < now - current.since;
		return hasFailed || isRelieved(input, precedingPeers) ? 'none' : current.reason;
	}

	const mayAsk = timeSinceLastFailure >= times.retryInterval;
	if (mayAsk && confirmationAge >= times.probeAge) {
		return 'unconfirmed';
	}

	const recentWatchers = peers.filter(peer => isRecentWatcher(peer, now));
	if (mayAsk && recentWatchers.length === 0) {
		return 'no-follower';
	}

	const isLate = confirmationAge >= times.firstProbeAge;
	if (!isLate && recentWatchers.some(({canReachStore}) => canReachStore)) {
		return 'none';
	}

	// Some instances probe the store now and then, as it may refuse only the watchers.
	const interval = isLate && mayAsk ? firstProbeInterval : outageProbeInterval;
	return input.randomValue < input.timeSinceLastDecision / (peers.length * interval) ? 'outage-try' : 'none';
}

/** The peers that watch the store for the whole fleet, as long as they live: in a small fleet all, otherwise the first ones in the common order. */
export function permanentWatchers<Peer extends {ip: string}>(ip: string, peers: readonly Peer[]): Peer[] {
	if (peers.length < maximumSmallFleet) {
		return [...peers];
	}

	const inOrder = [ip, ...peers.map(peer => peer.ip)].toSorted((one, other) => hashPosition(one) - hashPosition(other));
	const elected = new Set(inOrder.slice(0, watcherCount));
	return peers.filter(peer => elected.has(peer.ip));
}

/** Whether an instance with this reason watches the store. */
export function isWatching(reason: StoreWatchReason): boolean {
	return reason !== 'none';
}

/** Whether an instance with this reason watches the store only until others do. */
export function isTemporary(reason: StoreWatchReason): boolean {
	return reason === 'no-follower' || reason === 'unconfirmed' || reason === 'outage-try';
}

function isRecentWatcher({isStoreWatcher, lastMessageAt}: PeerStatus, now: number): boolean {
	return isStoreWatcher && now - lastMessageAt <= watcherTimeout;
}

/**
 * Whether others watch in place of this temporary watcher. Another temporary one does if it precedes this one and has had an
 * answer since this one began. One answer to one of the elected ones is not enough, as its turns are made for more of them.
 */
function isRelieved({now, current}: StoreWatchInput, precedingPeers: readonly PeerStatus[]): boolean {
	const inOrder = precedingPeers.toSorted((one, other) => hashPosition(one.ip) - hashPosition(other.ip));
	const hasAnswerSinceThen = (peer: PeerStatus) => isRecentWatcher(peer, now) && Math.min(...peer.confirmedAt) > current.since;
	const answeredElected = inOrder.slice(0, watcherCount).filter(peer => hasAnswerSinceThen(peer));
	return answeredElected.length >= sufficientWatchers || inOrder.slice(watcherCount).some(peer => hasAnswerSinceThen(peer));
}
