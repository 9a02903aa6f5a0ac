/**
 * What callers of a run send and how engines answer it.
 *
 * @module
 */

import type {IdForm} from '../platform/stand-in/events.js';
import {type CallKind, kindsWithLarge} from './callers.js';

/** Requests and answers of one run; times in milliseconds. */
export type Traffic = {
	/** Kinds of request by their share. */
	kinds: readonly CallKind[];
	/** Least and greatest number of events of a stream, and the time between two. */
	events: {least: number; greatest: number};
	pace: number;
	/** Form of the ids of events. */
	idForm: IdForm;
	/** How long callers wait. */
	deadline: number;
	/** Timeout of the routes at first. */
	requestTimeout: number;
};

export const usualTraffic: Traffic = {
	kinds: kindsWithLarge(25), events: {least: 8, greatest: 8}, pace: 30, idForm: 'consecutive', deadline: 5000, requestTimeout: 6000,
};

/** With planned work alone; streams take 1 to 7 s, which engines' profiles put at about a second. */
export const plannedTraffic: Traffic = {
	kinds: kindsWithLarge(97), events: {least: 12, greatest: 87}, pace: 80, idForm: 'consecutive', deadline: 12_000, requestTimeout: 11_000,
};
