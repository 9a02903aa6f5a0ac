/**
 * Points in the history of the platform's metadata store.
 *
 * @module
 */

/**
 * A point in the store's history. Within an era the version rises with each write. The era rises each time the store comes
 * back from an older copy, after which it gives out versions again.
 */
export type StorePosition = {era: number; version: number};

/** Position before the first read; the versions of a store that holds any row are above it. */
export const initialPosition: StorePosition = {era: 0, version: 0};

/** Whether one position is later than another. */
export function isLater(one: StorePosition, other: StorePosition): boolean {
	return one.era === other.era ? one.version > other.version : one.era > other.era;
}

/** The later of two positions. */
export function latestOf(one: StorePosition, other: StorePosition): StorePosition {
	return isLater(other, one) ? other : one;
}
