/**
 * Local replica of one table of the platform's metadata store, with a checksum by which instances compare their replicas.
 *
 * @module
 */
import type {RowChange} from './row-source.js';
import type {TableListener} from './table-watch.js';

/** What instances compare: equal checksums mean the same rows. */
export type TableDigest = {
	/** Store version as of which the rows are known. */
	version: number;
	/** Sum of the hashes of the rows, as an unsigned 32-bit integer; 0 for an empty table. */
	checksum: number;
};

/** Changes that lead from one state of a table to the next. */
export type TableDelta = {
	/** Checksum before the changes. */
	baseChecksum: number;
	/** Digest after the changes. */
	digest: TableDigest;
	rows: readonly RowChange[];
};

/** Options of a `TableReplica`. */
export type TableReplicaOptions = {
	/** Receives the rows, whether they come from the store or from a peer. */
	listener: TableListener;
	/** Returns the part of a row that matters; rows with equal fingerprints count as the same. */
	fingerprint: (key: string, value: string) => string;
	/** Called with changes that this instance received from the store itself. */
	onStoreChange: (delta: TableDelta) => void;
};

/** 32-bit FNV-1a hash. */
function fnv1a(text: string): number {
	let hash = 0x81_1C_9D_C5;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.codePointAt(index)!, 0x01_00_01_93); // eslint-disable-line no-bitwise
	}

	return hash >>> 0; // eslint-disable-line no-bitwise
}

/** Replica of one table. */
export class TableReplica implements TableListener {
	readonly #options: TableReplicaOptions;
	readonly #rows = new Map<string, {value: string; hash: number}>();
	#version = 0;
	#checksum = 0;

	constructor(options: TableReplicaOptions) {
		this.#options = options;
	}

	get digest(): TableDigest {
		return {version: this.#version, checksum: this.#checksum};
	}

	/** All rows, for another instance. */
	get rows(): RowChange[] {
		return [...this.#rows].map(([key, {value}]) => ({key, value, removed: false}));
	}

	onSnapshot(rows: readonly RowChange[], isAfterOutage: boolean, version: number): void {
		const baseChecksum = this.#checksum;
		const changes = this.#replaceRows(rows, version);
		this.#options.listener.onSnapshot(rows, isAfterOutage, version);
		this.#reportChange(baseChecksum, changes);
	}

	onChanges(rows: readonly RowChange[], version: number): void {
		const baseChecksum = this.#checksum;
		this.#applyChanges(rows, version);
		this.#options.listener.onChanges(rows, version);
		this.#reportChange(baseChecksum, rows);
	}

	onStoreUnavailable(reason: string): void {
		this.#options.listener.onStoreUnavailable(reason);
	}

	/** The rows are unchanged as of a later version. */
	onVersionConfirmed(version: number): void {
		this.#version = Math.max(this.#version, version);
	}

	/** Whether a peer's rows are newer than these. */
	isBehind({version, checksum}: TableDigest): boolean {
		return checksum !== this.#checksum && version > this.#version;
	}

	/** Applies a peer's changes. @returns false if they were made to other rows than these, or do not lead to the peer's checksum. */
	applyDelta({baseChecksum, digest, rows}: TableDelta): boolean {
		if (baseChecksum !== this.#checksum) {
			return false;
		}

		this.#applyChanges(rows, digest.version);
		this.#options.listener.onChanges(rows, digest.version);
		return this.#checksum === digest.checksum;
	}

	/** Replaces all rows by a peer's, unless the rows here are newer. */
	applySnapshot(rows: readonly RowChange[], digest: TableDigest): void {
		if (this.isBehind(digest)) {
			this.#replaceRows(rows, digest.version);
			this.#options.listener.onSnapshot(rows, false, digest.version);
		}
	}

	/** Replaces all rows. @returns the new rows and the removals of rows that are no longer present. */
	#replaceRows(rows: readonly RowChange[], version: number): RowChange[] {
		const present = new Set(rows.map(({key}) => key));
		const removed = [...this.#rows.keys()].filter(key => !present.has(key)).map(key => ({key, value: undefined, removed: true}));
		const changes = [...rows, ...removed];
		this.#applyChanges(changes, version);
		return changes;
	}

	#applyChanges(rows: readonly RowChange[], version: number): void {
		for (const {key, value, removed} of rows) {
			const previous = this.#rows.get(key);
			if (previous) {
				this.#checksum = (this.#checksum - previous.hash) >>> 0; // eslint-disable-line no-bitwise
				this.#rows.delete(key);
			}

			if (!removed && value !== undefined) {
				const hash = fnv1a(`${key} ${this.#options.fingerprint(key, value)}`);
				this.#rows.set(key, {value, hash});
				this.#checksum = (this.#checksum + hash) >>> 0; // eslint-disable-line no-bitwise
			}
		}

		this.#version = Math.max(this.#version, version);
	}

	#reportChange(baseChecksum: number, rows: readonly RowChange[]): void {
		if (baseChecksum !== this.#checksum) {
			this.#options.onStoreChange({baseChecksum, digest: this.digest, rows});
		}
	}
}
