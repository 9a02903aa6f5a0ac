/**
 * The platform's transactional table service, as the rest of the system sees it.
 *
 * @module
 */

/** A stored item; its version rises with every write to its key. */
export type TableItem = {
	key: string;
	/** Rises by at least one with each write of this key, also across deletion. */
	version: number;
	/** Any JSON value. */
	value: unknown;
};

/** A condition of a transaction: the key's version must still be this one; 0 means absent. */
export type TableCondition = {key: string; version: number};

/** One write of a transaction. */
export type TableWrite
	= | {kind: 'put'; key: string; value: unknown}
		| {kind: 'delete'; key: string};

/** All conditions are checked and all writes made in one step, or none. */
export type Transaction = {
	conditions: readonly TableCondition[];
	writes: readonly TableWrite[];
};

/** How a transaction ended, where its answer arrived. */
export type TransactionResult
	= | {committed: true; versions: Readonly<Record<string, number>>}
		| {committed: false; conflicts: readonly TableItem[]};

/** Which part of the keys under a prefix to list. */
export type ListOptions = {
	/**
	 * Only keys after this one.
	 * @default ''
	 */
	after?: string;
	/**
	 * Greatest number of items.
	 * @default 1000
	 */
	limit?: number;
};

/**
 * The table service.
 *
 * Every method throws CarobquayError 5001 (not done), 5002 (done or not, unknown)
 * or 5003 (rate limit, not done).
 */
export interface TableService {
	/** Reads the keys in one consistent step; absent keys are left out. */
	read(keys: readonly string[], signal?: AbortSignal): Promise<TableItem[]>;
	/** Lists items by key order under a prefix. */
	list(prefix: string, options?: ListOptions, signal?: AbortSignal): Promise<TableItem[]>;
	/** Checks conditions and writes, all or nothing. A conflict names the items as they stand (version 0: absent). */
	transact(transaction: Transaction, signal?: AbortSignal): Promise<TransactionResult>;
}
