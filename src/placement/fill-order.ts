/**
 * Order in which an instance fills engines.
 *
 * Handles many instances that place prompts at the same time: news of a placement takes some ms, in which the others still
 * see the engine as it was, so that an order which all of them share lets too many prompts meet at the engine that is next.
 *
 * @module
 */
import {hashPosition} from './hash-position.js';

/** Most instances of a failure domain that share one order: few ones rarely place at the same moment. */
export const maximumCommonOrderInstances = 12;

/** How an instance orders engines: by an order that all share, by one of its own, or by both, where it is one of many. */
export type FillOrder = 'common' | 'own' | 'spread';

/**
 * Share of the own order in a spread one. In the model of `bench:placement` (18 engines, news after 25 ms) 0.7 serves 0.93
 * to 0.95 of the worth at full load and the common order 0.88; the rest keeps short prompts apart from long ones.
 */
const ownShare = 0.7;

/** Requests that others may have placed at an engine beside those that an instance of many knows of. */
export const unheardRequests = 1;

/** Position of an engine in the order of an instance, from 0 to 1. @param origin - Name of the instance's process. */
export function fillPosition(engineId: string, origin: string, order: FillOrder): number {
	if (order === 'common') {
		return hashPosition(engineId);
	}

	const own = hashPosition(`${origin} ${engineId}`);
	return order === 'own' ? own : (hashPosition(engineId) * (1 - ownShare)) + (own * ownShare);
}
