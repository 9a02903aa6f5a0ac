/**
 * Local replica of one table of the platform's metadata store, with a checksum by which instances compare their replicas.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {ExtendedRows} from './extended-rows.js';
import type {RowChange} from './row-source.js';
import {
	initialPosition, isLater, latestOf, type StorePosition,
} from './store-position.js';
import type {RowOrigin, TableListener} from './table-watch.js';

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
	/**
	 * Time in milliseconds after its write for which a row states something that ends by itself, which its fingerprint leaves out.
	 * @default 0 for all rows
	 */
	statedTime?: ((key: string, value: string) => number) | undefined;
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

/** Most removals that are remembered; of more, the oldest ones are forgotten. */
const maximumRemovals = 1000;

type KnownRow = {value: string; hash: number; version: number};

/** A row that was removed. */
type Removal = {
	/** Store version of the removal in the current era; 0 if it was in an earlier one. */
	version: number;
	/** Version of the removed row. An older copy of the store may hold it once more. */
	rowVersion: number;
};

/**
 * A row whose value cannot be read is kept with an empty one, which is also what peers receive, so that it is told from a row
 * that was removed and counts in the checksum everywhere.
 */
function withReadableValue(row: RowChange): RowChange {
	return row.removed ? row : {...row, value: row.value ?? ''};
}

/** Replica of one table. Within an era it never takes a row that is older than the one it has, or than its removal. */
export class TableReplica implements TableListener {
	readonly #options: TableReplicaOptions;
	readonly #rows = new Map<string, KnownRow>();
	readonly #removals = new Map<string, Removal>();
	readonly #extendedRows: ExtendedRows;
	#position = initialPosition;
	#lastPeerNewsAt = Number.NEGATIVE_INFINITY;
	#checksum = 0;

	constructor(options: TableReplicaOptions) {
		this.#options = options;
		this.#extendedRows = new ExtendedRows(options.statedTime ?? (() => 0));
	}

	get digest(): TableDigest {
		return {...this.#position, checksum: this.#checksum};
	}

	/** Monotonic time in milliseconds at which a peer last told of a later position of the store than was known here. */
	get lastPeerNewsAt(): number {
		return this.#lastPeerNewsAt;
	}

	/** All rows, for another instance. */
	get rows(): RowChange[] {
		return [...this.#rows].map(([key, {value, version}]) => ({
			key, value, removed: false, version,
		}));
	}

	onSnapshot(rows: readonly RowChange[], isAfterOutage: boolean, position: StorePosition): void {
		const before = this.digest;
		const changes = this.#replaceRows(rows, position);
		this.#options.listener.onSnapshot(this.rows, isAfterOutage, position);
		this.#reportChange(before, changes);
	}

	onChanges(rows: readonly RowChange[], position: StorePosition): void {
		const before = this.digest;
		const changes = this.#applyChanges(rows, position);
		this.#options.listener.onChanges(changes, position);
		this.#reportChange(before, changes);
	}

	onStoreUnavailable(reason: string): void {
		this.#options.listener.onStoreUnavailable(reason);
	}

	onOutageCovered(): void {
		this.#options.listener.onOutageCovered?.();
	}

	/** The rows are unchanged as of a later position of the same era; of another era, rows are always read. */
	onPositionConfirmed(position: StorePosition, origin: RowOrigin = 'store'): void {
		if (position.era === this.#position.era) {
			if (origin === 'peer' && isLater(position, this.#position)) {
				this.#lastPeerNewsAt = performance.now();
			}

			this.#position = latestOf(this.#position, position);
		}
	}

	/** Whether a peer's rows are newer than these: of a later era, or other rows of a later version. */
	isBehind({checksum, ...position}: TableDigest): boolean {
		return position.era > this.#position.era || (checksum !== this.#checksum && isLater(position, this.#position));
	}

	/** Applies a peer's changes. @returns false if they were made to other rows than these, or do not lead to the peer's checksum; the replica is then still behind. */
	applyDelta({baseChecksum, digest, rows}: TableDelta): boolean {
		if (baseChecksum !== this.#checksum || digest.era !== this.#position.era) {
			return false;
		}

		const changes = this.#applyChanges(rows.map(row => ({version: digest.version, ...row})), this.#position);
		this.#options.listener.onChanges(changes, digest, 'peer');
		if (this.#checksum !== digest.checksum) {
			return false;
		}

		this.#position = latestOf(this.#position, {era: digest.era, version: digest.version});
		this.#lastPeerNewsAt = performance.now();
		return true;
	}

	/** Takes a peer's rows that are later writes of rows here and leave their fingerprints, and so the checksum, as they are. */
	applyRewrites({digest, rows}: TableDelta): void {
		const isCurrent = digest.checksum === this.#checksum && digest.era === this.#position.era;
		const rewrites = isCurrent ? rows.map(row => ({version: digest.version, ...row})).filter(row => this.#isRewrite(row)) : [];
		if (rewrites.length > 0) {
			this.#options.listener.onChanges(this.#applyChanges(rewrites, this.#position), digest, 'peer');
		}
	}

	/** Replaces all rows by a peer's, unless the rows here are newer. */
	applySnapshot(rows: readonly RowChange[], digest: TableDigest): void {
		if (this.isBehind(digest)) {
			const isNewEra = this.#position !== initialPosition && digest.era > this.#position.era;
			this.#replaceRows(rows, digest);
			this.#lastPeerNewsAt = performance.now();
			this.#options.listener.onSnapshot(this.rows, isNewEra, digest, 'peer');
		}
	}

	/** Replaces all rows that are not newer. @returns the changes that were made. */
	#replaceRows(rows: readonly RowChange[], position: StorePosition): RowChange[] {
		const present = new Set(rows.map(({key}) => key));
		const removed = [...this.#rows.keys()].filter(key => !present.has(key)).map(key => ({
			key, value: undefined, removed: true, version: position.version,
		}));
		return this.#applyChanges([...rows, ...removed], position);
	}

	/** Applies the changes that are not older than what is known. @returns these. */
	#applyChanges(rows: readonly RowChange[], position: StorePosition): RowChange[] {
		if (position.era > this.#position.era) {
			this.#forgetVersions();
		}

		const changes = rows.filter(row => this.#isCurrent(row, position)).map(row => withReadableValue(row));
		for (const row of changes) {
			this.#applyChange(row, row.version ?? position.version);
		}

		this.#position = latestOf(this.#position, position);
		return changes;
	}

	/** Versions of a new era cannot be compared with those known; only the row that was removed is told from one written again. */
	#forgetVersions(): void {
		for (const row of this.#rows.values()) {
			row.version = 0;
		}

		for (const removal of this.#removals.values()) {
			removal.version = 0;
		}
	}

	/** Whether a change is not older than what is known of its row, and is not the removed row itself, from a copy of the store. */
	#isCurrent({key, removed, version}: RowChange, position: StorePosition): boolean {
		const known = this.#rows.get(key)?.version ?? this.#removals.get(key)?.version ?? 0;
		return (version ?? position.version) >= known && (removed || version === undefined || version !== this.#removals.get(key)?.rowVersion);
	}

	#isRewrite({key, value, version = 0}: RowChange): boolean {
		const known = this.#rows.get(key);
		return known !== undefined && value !== undefined && version > known.version && this.#hash(key, value) === known.hash;
	}

	#hash(key: string, value: string): number {
		return fnv1a(`${key} ${this.#options.fingerprint(key, value)}`);
	}

	#applyChange({key, value = '', removed}: RowChange, version: number): void {
		const previous = this.#rows.get(key);
		if (previous) {
			this.#checksum = (this.#checksum - previous.hash) >>> 0; // eslint-disable-line no-bitwise
			this.#rows.delete(key);
		}

		if (removed) {
			this.#rememberRemoval(key, {version, rowVersion: previous?.version ?? this.#removals.get(key)?.rowVersion ?? 0});
			return;
		}

		this.#removals.delete(key);
		const hash = this.#hash(key, value);
		this.#rows.set(key, {value, hash, version});
		this.#checksum = (this.#checksum + hash) >>> 0; // eslint-disable-line no-bitwise
	}

	#rememberRemoval(key: string, removal: Removal): void {
		this.#removals.delete(key);
		this.#removals.set(key, removal);
		const [oldest] = this.#removals.keys();
		if (this.#removals.size > maximumRemovals && oldest !== undefined) {
			this.#removals.delete(oldest);
		}
	}

	/**
	 * Reports changes from the store, and a new era even without changes, so that peers read before they trust their rows. Where
	 * the checksum stays the same, only rows with a later end concern the peers.
	 */
	#reportChange(before: TableDigest, rows: readonly RowChange[]): void {
		const extended = this.#extendedRows.record(rows, performance.now());
		const isChanged = before.checksum !== this.#checksum || before.era !== this.#position.era;
		if (isChanged || extended.length > 0) {
			this.#options.onStoreChange({baseChecksum: before.checksum, digest: this.digest, rows: isChanged ? rows : extended});
		}
	}
}
