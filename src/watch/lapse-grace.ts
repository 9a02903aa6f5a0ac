/**
 * How long an engine whose entry is missing after an outage of the store is still used.
 *
 * Handles outages of the store: running engines write entries that have expired again within a grace period. An engine that
 * has left looks the same, and must get no request later than the drain limit after the store's acknowledgement.
 *
 * @module
 */
import {longestWatchDelay, maximumChangeBatchDelay} from './table-watch.js';

/** Time in milliseconds after a store outage within which engines write expired entries again; specified by the platform. */
export const rewriteTime = 2000;

/** Time in milliseconds from the choice of an engine until the request has reached it. Most connections take a few milliseconds; relays are asked after 100 ms. */
const sendTime = 200;

/** How an entry was found to be missing: by the first read after an outage, by a later change of the store, or by what a peer sent. */
export type MissingEntry = 'first-read' | 'change' | 'peer';

/**
 * Longest time in milliseconds for which the removal of an entry may have been acknowledged before it was noticed. The store
 * acknowledged nothing while it was away. A peer does not tell when the store was last away for it.
 */
function noticeDelay(found: MissingEntry, timeSinceStoreAway: number): number {
	return found === 'change' ? maximumChangeBatchDelay : Math.min(longestWatchDelay, found === 'peer' ? Number.POSITIVE_INFINITY : timeSinceStoreAway);
}

/** Time in milliseconds for which the engine is used from now on. @param graceLeft - What is left of the grace period after the outage. */
export function lapseGrace({found, graceLeft, drainLimit, timeSinceStoreAway}: {
	found: MissingEntry; graceLeft: number; drainLimit: number; timeSinceStoreAway: number;
}): number {
	return Math.max(0, Math.min(graceLeft, drainLimit - sendTime - noticeDelay(found, timeSinceStoreAway)));
}
