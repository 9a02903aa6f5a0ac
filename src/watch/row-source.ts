/**
 * Rows of the platform's store, as the watches of this folder read them.
 *
 * @module
 */

/** One row as read, or what became of it since. */
export type RowChange = {
	key: string;
	/** Encoded value; undefined where the row was removed or cannot be read. */
	value: string | undefined;
	removed: boolean;
};

/** Rows together with the version of the store at which they held. */
export type VersionedRows = {
	rows: readonly RowChange[];
	version: number;
};

/** Reads of one table at a time. */
export interface RowSource {
	/** All rows of a table. @throws {StoreError} */
	read(table: string, signal?: AbortSignal): Promise<VersionedRows>;
	/**
	 * Rows changed after a version, as soon as there is one or the wait is over.
	 *
	 * @param wait - In milliseconds.
	 * @throws {HistoryLostError} Where the store no longer knows what changed since.
	 * @throws {StoreError}
	 */
	pollChanges(table: string, version: number, wait: number, signal?: AbortSignal): Promise<VersionedRows>;
}

/** A call of the store failed or had no answer in time; a write may have been done. */
export class StoreError extends Error {
	constructor(call: string, reason: string) {
		super(`${call} at the platform's store failed: ${reason}`);
		this.name = 'StoreError';
	}
}

/** The store has dropped the history that a feed asked for. */
export class HistoryLostError extends StoreError {
	constructor(call: string) {
		super(call, 'the history asked for is no longer kept');
		this.name = 'HistoryLostError';
	}
}
