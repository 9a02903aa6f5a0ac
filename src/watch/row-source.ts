/**
 * Read access to tables of the platform's metadata store.
 *
 * @module
 */

/** One row of a snapshot, or one change of a row. */
export type RowChange = {
	key: string;
	/** Encoded value; undefined if the row was removed or its value cannot be read. */
	value: string | undefined;
	removed: boolean;
	/** Store version of the row's last change; undefined where it is not known. */
	version?: number;
};

/** Rows with the store version at which they are valid. */
export type VersionedRows = {
	rows: readonly RowChange[];
	version: number;
	/** Era of the store that answered; undefined if the answer does not state it. */
	era?: number;
};

/** Reads one table per call. */
export interface RowSource {
	/** Time in milliseconds without a response after which a call fails, on top of the wait of a poll. */
	readonly responseTimeout: number;
	/** All rows of a table. @throws {StoreError} */
	read(table: string, signal?: AbortSignal): Promise<VersionedRows>;
	/**
	 * Long poll for rows changed after a version; resolves at the first change or when the wait is over.
	 *
	 * @param wait - Longest wait in milliseconds.
	 * @throws {HistoryLostError} If the store no longer retains the changes since that version.
	 * @throws {StoreError}
	 */
	pollChanges(table: string, version: number, wait: number, signal?: AbortSignal): Promise<VersionedRows>;
	/** Closes connections that no call uses, as they may have gone silent; sources without connections leave it out. */
	closeIdleConnections?(): void;
}

/** A store call failed or timed out; a write may have been applied nevertheless. */
export class StoreError extends Error {
	constructor(call: string, reason: string) {
		super(`metadata store call ${call} failed: ${reason}`);
		this.name = 'StoreError';
	}
}

/** The store no longer retains the change history that a poll asked for. */
export class HistoryLostError extends StoreError {
	constructor(call: string) {
		super(call, 'the requested change history is no longer retained');
		this.name = 'HistoryLostError';
	}
}
