/**
 * When the instances that watch the store poll it: in turn, so that one of them soon notices a connection that has gone
 * silent without a reset, and sends the others what it then reads.
 *
 * @module
 */

/** Longest time in milliseconds that one poll waits. */
const maximumPollWait = 10_000;

/** Shortest time in milliseconds between the ends of two polls of the fleet, whatever the time limits are. */
const minimumPollGap = 500;

/** Time in milliseconds that an instance needs after a failed poll to wait, connect, read the table and tell its peers. */
const rereadTime = 250;

/** Limits in milliseconds that decide how soon a silent connection must be noticed. */
export type PropagationLimits = {
	/** Time after a disturbance for which nothing is asked of an instance. It runs beside the other limits and does not add to them. */
	stabilityWindow: number;
	/** Time within which an acknowledged configuration must be in force. */
	propagationLimit: number;
	/** Time within which an acknowledged evacuation must be in force, also right after a disturbance. */
	evacuationLimit?: number | undefined;
	/** Time after which an engine that has left must get no request. */
	drainLimit?: number | undefined;
	/** Time without a response after which a call to the store fails. */
	responseTimeout: number;
	/** Longest delay before the first poll after a change. */
	changeBatchDelay: number;
};

/**
 * Longest time in milliseconds between the ends of two polls of the fleet. The timeout of a silent poll fits in beside it, and
 * where the window excuses nothing, that of one more silent call.
 */
export function maximumPollGap({stabilityWindow, propagationLimit, evacuationLimit = Number.POSITIVE_INFINITY, drainLimit = propagationLimit, responseTimeout, changeBatchDelay}: PropagationLimits): number {
	const noticeTime = Math.min(Math.max(stabilityWindow, Math.min(propagationLimit, drainLimit)), evacuationLimit - responseTimeout);
	return Math.max(minimumPollGap, noticeTime - responseTimeout - rereadTime - changeBatchDelay);
}

/** One poll of one watcher. */
export type PollTurn = {
	ip: string;
	/** IP addresses of the other instances that watch the store and reach it. */
	otherWatchers: readonly string[];
	/** In milliseconds. */
	maximumGap: number;
	/** Whether the polls of all watchers have just ended with a change, so that they start anew together. */
	isAfterChange: boolean;
	/** Whether it is the first poll of the watch, which may begin before the other watchers are known. */
	isFirst: boolean;
};

/** Time in milliseconds that a poll waits for a change. */
export function pollWait({ip, otherWatchers, maximumGap, isAfterChange, isFirst}: PollTurn): number {
	const watcherCount = otherWatchers.length + 1;
	const cycle = Math.min(maximumPollWait, maximumGap * watcherCount);
	const turn = 1 + otherWatchers.filter(other => other < ip).length;
	const wait = isAfterChange ? cycle * turn / watcherCount : cycle;
	return Math.round(isFirst ? Math.min(maximumGap, wait) : wait);
}
