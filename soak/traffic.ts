/**
 * What callers of a run send and how engines answer it.
 *
 * @module
 */

import {type CallKind, kindsWithLarge} from './callers.js';

/** Requests and answers of one run; times in milliseconds. */
export type Traffic = {
	/** Kinds of request by their share. */
	kinds: readonly CallKind[];
	/** Events of each stream, and the time between two. */
	events: number;
	pace: number;
	/** How long callers wait. */
	deadline: number;
	/** Timeout of the routes at first. */
	requestTimeout: number;
	/** Share of the rate that the run is given. */
	rateShare: number;
};

export const usualTraffic: Traffic = {
	kinds: kindsWithLarge(25), events: 8, pace: 30, deadline: 5000, requestTimeout: 6000, rateShare: 1,
};

/** With planned work alone; streams take half of the grace period. */
export const plannedTraffic: Traffic = {
	kinds: kindsWithLarge(97), events: 44, pace: 100, deadline: 9000, requestTimeout: 10_000, rateShare: 0.3,
};
