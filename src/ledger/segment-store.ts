/**
 * Segments in the object store, each written once.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {ObjectStore} from '../platform/object-store.js';
import type {Segment} from './segment.js';

/** How a put ended: `present` means that another segment holds the key. */
export type SegmentPut = 'written' | 'present';

/** Writes segments and never over another. */
export class SegmentStore {
	readonly #objects: ObjectStore;

	constructor(objects: ObjectStore) {
		this.#objects = objects;
	}

	/**
	 * Writes a segment; may be repeated with the same bytes where the answer was lost.
	 *
	 * @throws {CarobquayError} 5004.
	 */
	async put({key, bytes}: Segment): Promise<SegmentPut> {
		if (await this.#objects.put(key, bytes, {onlyIfAbsent: true})) {
			return 'written';
		}

		const present = await this.#objects.get(key) ?? new Uint8Array();
		return Buffer.compare(present, bytes) === 0 ? 'written' : 'present';
	}
}
