/**
 * Positions of engines and instances in an order that is the same at every instance, so that all of them fill the
 * same engines first.
 *
 * @module
 */
import {createHash} from 'node:crypto';

/** Bytes of the hash that give the position. */
const positionBytes = 6;

/** Maximum number of cached positions; the cache is cleared when it is full. */
const maximumCachedPositions = 2000;

const cachedPositions = new Map<string, number>();

/** Position of an id in the common order, from 0 to 1. */
export function hashPosition(id: string): number {
	let position = cachedPositions.get(id);
	if (position === undefined) {
		if (cachedPositions.size >= maximumCachedPositions) {
			cachedPositions.clear();
		}

		position = createHash('sha256').update(id).digest().readUIntBE(0, positionBytes) / (2 ** (positionBytes * 8));
		cachedPositions.set(id, position);
	}

	return position;
}
