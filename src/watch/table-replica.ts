/**
 * One table of the platform's store as this instance knows it, with a sum by which instances compare what they know.
 *
 * @module
 */
import type {RowChange} from './row-source.js';
import type {TableListener} from './table-watch.js';

/** What instances compare: equal sums mean the same rows. */
export type TableDigest = {
	/** Version of the store as of which the rows are known. */
	version: number;
	/** Sum over the rows; 0 for an empty table. */
	checksum: number;
};

/** Changes from one state of a table to another. */
export type TableDelta = {
	/** Sum before the changes. */
	baseChecksum: number;
	digest: TableDigest;
	rows: readonly RowChange[];
};

/** Told of the rows, wherever they were learned. */
export type TableReplicaOptions = {
	listener: TableListener;
	/** What matters of a row; rows that differ in nothing of it count as the same. */
	fingerprint: (key: string, value: string) => string;
	/** Told of changes that this instance learned from the store itself. */
	onStoreChange: (delta: TableDelta) => void;
};

/** Hash of 32 bits (FNV-1a). */
function fnv1a(text: string): number {
	let hash = 0x81_1C_9D_C5;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.codePointAt(index)!, 0x01_00_01_93); // eslint-disable-line no-bitwise
	}

	return hash >>> 0; // eslint-disable-line no-bitwise
}

/** Rows of one table. */
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

	onSnapshot(rows: readonly RowChange[], regained: boolean, version: number): void {
		const before = this.#checksum;
		const changes = this.#replaceRows(rows, version);
		this.#options.listener.onSnapshot(rows, regained, version);
		this.#reportChange(before, changes);
	}

	onChanges(rows: readonly RowChange[], version: number): void {
		const before = this.#checksum;
		this.#applyChanges(rows, version);
		this.#options.listener.onChanges(rows, version);
		this.#reportChange(before, rows);
	}

	onStoreUnavailable(reason: string): void {
		this.#options.listener.onStoreUnavailable(reason);
	}

	/** The rows are known as of a later version without any change. */
	onVersionConfirmed(version: number): void {
		this.#version = Math.max(this.#version, version);
	}

	/** Whether a peer's rows are newer than these. */
	isBehind({version: asOf, checksum: sum}: TableDigest): boolean {
		return sum !== this.#checksum && asOf > this.#version;
	}

	/** Takes changes of a peer. @returns false where they do not follow from what is known here. */
	applyDelta({baseChecksum: before, digest: after, rows}: TableDelta): boolean {
		if (before !== this.#checksum) {
			return false;
		}

		this.#applyChanges(rows, after.version);
		this.#options.listener.onChanges(rows, after.version);
		return this.#checksum === after.checksum;
	}

	/** Takes all rows of a peer, unless what is known here is newer. */
	applySnapshot(rows: readonly RowChange[], state: TableDigest): void {
		if (this.isBehind(state)) {
			this.#replaceRows(rows, state.version);
			this.#options.listener.onSnapshot(rows, false, state.version);
		}
	}

	/** Puts rows in the place of all that are known. @returns the rows with those that are gone. */
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

	#reportChange(before: number, rows: readonly RowChange[]): void {
		if (before !== this.#checksum) {
			this.#options.onStoreChange({baseChecksum: before, digest: this.digest, rows});
		}
	}
}
