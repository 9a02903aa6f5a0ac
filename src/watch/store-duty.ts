/**
 * Which instances follow the platform's store; the others learn from them.
 *
 * @module
 */
import {hashPosition} from '../placement/hash-position.js';

/** Instances up to which all follow the store: their calls cost less than what a follower's loss may delay. */
const smallFleet = 12;

/** Followers of a larger fleet. */
const followers = 5;

/** Time in milliseconds without a word of any follower that reaches the store after which an instance follows by itself; half of the least bound on a change. */
const longestSilence = 1000;

/** Factor on the count of instances that spreads tries while no follower reaches the store, in milliseconds. */
const outageSpread = 400;

/** A peer as far as it matters here. */
export type DutyPeer = {
	ip: string;
	/** Monotonic time in milliseconds of its last message. */
	heardAt: number;
	/** Whether it follows the store and had an answer lately. */
	reachesStore: boolean;
	/** Whether it follows the store, reached or not. */
	follows: boolean;
};

/** What an instance knows when it decides. */
export type DutyFacts = {
	ip: string;
	peers: readonly DutyPeer[];
	now: number;
	/** Number from 0 to 1, drawn anew for each decision. */
	chance: number;
	/** Time in milliseconds since the last decision. */
	sinceLast: number;
};

/** Why an instance follows the store, or that it does not. */
export type Duty = 'small-fleet' | 'elected' | 'no-follower' | 'outage-try' | 'none';

/** Decides whether this instance follows the store now. */
export function dutyOf({ip, peers, now, chance, sinceLast}: DutyFacts): Duty {
	if (peers.length < smallFleet) {
		return 'small-fleet';
	}

	const ownOrder = hashPosition(ip);
	if (peers.filter(peer => hashPosition(peer.ip) < ownOrder).length < followers) {
		return 'elected';
	}

	const heard = peers.filter(peer => peer.follows && now - peer.heardAt <= longestSilence);
	if (heard.some(({reachesStore}) => reachesStore)) {
		return 'none';
	}

	if (heard.length === 0) {
		return 'no-follower';
	}

	// The followers are alive and have lost the store: one of the others tries now and then, as only some may be refused.
	return chance < sinceLast / (peers.length * outageSpread) ? 'outage-try' : 'none';
}

/** Whether an instance follows the store while it has a duty of this kind. */
export function follows(duty: Duty): boolean {
	return duty !== 'none';
}
