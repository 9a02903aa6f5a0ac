/**
 * How old the newest answer of the store may be that an instance has heard of. An instance that does not watch the store
 * asks it itself when it has heard of none for so long that a change could otherwise be in force too late. One that does asks
 * once more on a new connection.
 *
 * @module
 */
import {heartbeatInterval} from '../peers/peer-membership.js';
import {maximumChangeBatchDelay} from './table-watch.js';

/** Time in milliseconds that an instance needs to decide to ask the store, to connect, and to read both tables. */
const readTime = 750;

/** Time in milliseconds in which the answer to a few instances reaches the others, so that these need not ask. */
const announcementTime = 250;

/** Delay in milliseconds of polls and messages that is no sign of a lost watcher. */
const usualDelay = 250;

/** The same where all instances watch, and none waits for another. */
const usualRecheckDelay = 100;

/** Shortest time in milliseconds between two answers of the store to the fleet, whatever the limit is. */
const minimumPollGap = 500;

/** Times in milliseconds. */
export type ConfirmationTimes = {
	/** Longest time between the ends of two polls of the fleet. */
	pollGap: number;
	/** Age of the newest answer at which a few instances ask the store. */
	firstProbeAge: number;
	/** Age of the newest answer at which all instances ask the store. */
	probeAge: number;
	/** Time after a failed call in which an instance does not ask again for the age of an answer alone. */
	retryInterval: number;
};

/**
 * @param changeLimit - Time in milliseconds within which a change must be in force.
 * @param stabilityWindow - Time in milliseconds after a disturbance for which nothing is asked of an instance.
 */
export function confirmationTimes({changeLimit, stabilityWindow}: {changeLimit: number; stabilityWindow: number}): ConfirmationTimes {
	// After a change the watchers wait before they poll again.
	const usualAge = maximumChangeBatchDelay + heartbeatInterval + usualDelay;
	const pollGap = Math.max(minimumPollGap, changeLimit - readTime - announcementTime - usualAge);
	const firstProbeAge = pollGap + usualAge;
	return {
		pollGap, firstProbeAge, probeAge: firstProbeAge + announcementTime, retryInterval: Math.max(readTime, stabilityWindow - readTime),
	};
}

/**
 * Age in milliseconds of the newest answer at which an instance of a fleet in which all watch the store takes the others' polls
 * for lost or silent. They usually end in turn, and tell the others at their next heartbeats.
 *
 * @param pollGap - Longest time in milliseconds between the ends of two polls of the fleet.
 */
export function recheckAge(pollGap: number): number {
	return pollGap + maximumChangeBatchDelay + heartbeatInterval + usualRecheckDelay;
}
