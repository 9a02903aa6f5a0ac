/**
 * An order of engines that is the same at every instance, so that all of them fill the same engines first.
 *
 * @module
 */
import {createHash} from 'node:crypto';

/** Bytes of the hash that place an engine. */
const positionBytes = 6;

/** Ids kept; more are worked out again. */
const maximumKept = 2000;

const kept = new Map<string, number>();

/** Place of an engine in the common order, from 0 to 1. */
export function hashPosition(id: string): number {
	let position = kept.get(id);
	if (position === undefined) {
		if (kept.size >= maximumKept) {
			kept.clear();
		}

		position = createHash('sha256').update(id).digest().readUIntBE(0, positionBytes) / (2 ** (positionBytes * 8));
		kept.set(id, position);
	}

	return position;
}
