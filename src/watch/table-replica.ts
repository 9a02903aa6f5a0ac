/**
 * Local replica of one table of the platform's metadata store, with a checksum by which instances compare their replicas.
 *
 * @module
 */
import type {RowChange} from './row-source.js';
import {
	initialPosition, isLater, latestOf, type StorePosition,
} from './store-position.js';
import type {TableListener} from './table-watch.js';

/** What instances compare: the position as of which the rows are known, and a checksum that is equal where the rows are the same. */
export type TableDigest = StorePosition & {
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
	#position = initialPosition;
	#checksum = 0;

	constructor(options: TableReplicaOptions) {
		this.#options = options;
	}

	get digest(): TableDigest {
		return {...this.#position, checksum: this.#checksum};
	}

	/** All rows, for another instance. */
	get rows(): RowChange[] {
		return [...this.#rows].map(([key, {value}]) => ({key, value, removed: false}));
	}

	onSnapshot(rows: readonly RowChange[], isAfterOutage: boolean, position: StorePosition): void {
		const before = this.digest;
		const changes = this.#replaceRows(rows, position);
		this.#options.listener.onSnapshot(rows, isAfterOutage, position);
		this.#reportChange(before, changes);
	}

	onChanges(rows: readonly RowChange[], position: StorePosition): void {
		const before = this.digest;
		this.#applyChanges(rows, position);
		this.#options.listener.onChanges(rows, position);
		this.#reportChange(before, rows);
	}

	onStoreUnavailable(reason: string): void {
		this.#options.listener.onStoreUnavailable(reason);
	}

	/** The rows are unchanged as of a later position of the same era; of another era, rows are always read. */
	onPositionConfirmed(position: StorePosition): void {
		if (position.era === this.#position.era) {
			this.#position = latestOf(this.#position, position);
		}
	}

	/** Whether a peer's rows are newer than these: of a later era, or other rows of a later version. */
	isBehind({checksum, ...position}: TableDigest): boolean {
		return position.era > this.#position.era || (checksum !== this.#checksum && isLater(position, this.#position));
	}

	/** Applies a peer's changes. @returns false if they were made to other rows than these, or do not lead to the peer's checksum. */
	applyDelta({baseChecksum, digest, rows}: TableDelta): boolean {
		if (baseChecksum !== this.#checksum || digest.era !== this.#position.era) {
			return false;
		}

		this.#applyChanges(rows, digest);
		this.#options.listener.onChanges(rows, digest);
		return this.#checksum === digest.checksum;
	}

	/** Replaces all rows by a peer's, unless the rows here are newer. */
	applySnapshot(rows: readonly RowChange[], digest: TableDigest): void {
		if (this.isBehind(digest)) {
			const isNewEra = this.#position !== initialPosition && digest.era > this.#position.era;
			this.#replaceRows(rows, digest);
			this.#options.listener.onSnapshot(rows, isNewEra, digest);
		}
	}

	/** Replaces all rows. @returns the new rows and the removals of rows that are no longer present. */
	#replaceRows(rows: readonly RowChange[], position: StorePosition): RowChange[] {
		const present = new Set(rows.map(({key}) => key));
		const removed = [...this.#rows.keys()].filter(key => !present.has(key)).map(key => ({key, value: undefined, removed: true}));
		const changes = [...rows, ...removed];
		this.#applyChanges(changes, position);
		return changes;
	}

	#applyChanges(rows: readonly RowChange[], {era, version}: StorePosition): void {
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

		this.#position = latestOf(this.#position, {era, version});
	}

	/** Reports changes from the store, and a new era even without changes, so that peers read before they trust their rows. */
	#reportChange(before: TableDigest, rows: readonly RowChange[]): void {
		if (before.checksum !== this.#checksum || before.era !== this.#position.era) {
			this.#options.onStoreChange({baseChecksum: before.checksum, digest: this.digest, rows});
		}
	}
}
