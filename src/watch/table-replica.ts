/**
 * One table of the platform's store as this instance knows it, with a sum by which instances compare what they know.
 *
 * @module
 */
import type {RowChange} from './row-source.js';
import type {TableListener} from './table-watch.js';

/** What instances compare: equal sums mean the same rows. */
export type TableState = {
	/** Version of the store as of which the rows are known. */
	asOf: number;
	/** Sum over the rows; 0 for an empty table. */
	sum: number;
};

/** Changes from one state of a table to another. */
export type TableDelta = {
	/** Sum before the changes. */
	before: number;
	after: TableState;
	rows: readonly RowChange[];
};

/** Told of the rows, wherever they were learned. */
export type TableCopyOptions = {
	listener: TableListener;
	/** What matters of a row; rows that differ in nothing of it count as the same. */
	identify: (key: string, value: string) => string;
	/** Told of changes that this instance learned from the store itself. */
	onChanged: (delta: TableDelta) => void;
};

/** Hash of 32 bits (FNV-1a). */
function hashOf(text: string): number {
	let hash = 0x81_1C_9D_C5;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.codePointAt(index)!, 0x01_00_01_93); // eslint-disable-line no-bitwise
	}

	return hash >>> 0; // eslint-disable-line no-bitwise
}

/** Rows of one table. */
export class TableCopy implements TableListener {
	readonly #options: TableCopyOptions;
	readonly #rows = new Map<string, {value: string; hash: number}>();
	#asOf = 0;
	#sum = 0;

	constructor(options: TableCopyOptions) {
		this.#options = options;
	}

	get state(): TableState {
		return {asOf: this.#asOf, sum: this.#sum};
	}

	/** All rows, for another instance. */
	get rows(): RowChange[] {
		return [...this.#rows].map(([key, {value}]) => ({key, value, removed: false}));
	}

	replaced(rows: readonly RowChange[], regained: boolean, version: number): void {
		const before = this.#sum;
		const changes = this.#replace(rows, version);
		this.#options.listener.replaced(rows, regained, version);
		this.#tell(before, changes);
	}

	changed(rows: readonly RowChange[], version: number): void {
		const before = this.#sum;
		this.#apply(rows, version);
		this.#options.listener.changed(rows, version);
		this.#tell(before, rows);
	}

	lost(reason: string): void {
		this.#options.listener.lost(reason);
	}

	/** The rows are known as of a later version without any change. */
	confirm(version: number): void {
		this.#asOf = Math.max(this.#asOf, version);
	}

	/** Whether a peer's rows are newer than these. */
	isBehind({asOf, sum}: TableState): boolean {
		return sum !== this.#sum && asOf > this.#asOf;
	}

	/** Takes changes of a peer. @returns false where they do not follow from what is known here. */
	takeDelta({before, after, rows}: TableDelta): boolean {
		if (before !== this.#sum) {
			return false;
		}

		this.#apply(rows, after.asOf);
		this.#options.listener.changed(rows, after.asOf);
		return this.#sum === after.sum;
	}

	/** Takes all rows of a peer, unless what is known here is newer. */
	takeAll(rows: readonly RowChange[], state: TableState): void {
		if (this.isBehind(state)) {
			this.#replace(rows, state.asOf);
			this.#options.listener.replaced(rows, false, state.asOf);
		}
	}

	/** Puts rows in the place of all that are known. @returns the rows with those that are gone. */
	#replace(rows: readonly RowChange[], version: number): RowChange[] {
		const present = new Set(rows.map(({key}) => key));
		const removed = [...this.#rows.keys()].filter(key => !present.has(key)).map(key => ({key, value: undefined, removed: true}));
		const changes = [...rows, ...removed];
		this.#apply(changes, version);
		return changes;
	}

	#apply(rows: readonly RowChange[], version: number): void {
		for (const {key, value, removed} of rows) {
			const known = this.#rows.get(key);
			if (known) {
				this.#sum = (this.#sum - known.hash) >>> 0; // eslint-disable-line no-bitwise
				this.#rows.delete(key);
			}

			if (!removed && value !== undefined) {
				const hash = hashOf(`${key} ${this.#options.identify(key, value)}`);
				this.#rows.set(key, {value, hash});
				this.#sum = (this.#sum + hash) >>> 0; // eslint-disable-line no-bitwise
			}
		}

		this.#asOf = Math.max(this.#asOf, version);
	}

	#tell(before: number, rows: readonly RowChange[]): void {
		if (before !== this.#sum) {
			this.#options.onChanged({before, after: this.state, rows});
		}
	}
}
