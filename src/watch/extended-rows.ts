/**
 * Finds rows that extend something which ends by itself, such as the time for which an engine is cold.
 *
 * The fingerprint of such a row stays as it is, so that the checksums of replicas do not show the extension. A row that is
 * read once more, or written again with the time that is left, extends nothing.
 *
 * @module
 */
import type {RowChange} from './row-source.js';

/** Time in milliseconds by which an end must be later than the one told: the time from a write to its reading varies as much, and rows that count down would be told otherwise. */
const extensionMargin = 100;

/** A write of a row, by its version where the store states one, and the latest end that was told of it. */
type ToldRow = {write: number | string; until: number};

/** Ends that the rows read from the store have stated. */
export class ExtendedRows {
	readonly #statedTime: (key: string, value: string) => number;
	readonly #told = new Map<string, ToldRow>();

	/** @param statedTime - Time in milliseconds after its write for which a row states something. */
	constructor(statedTime: (key: string, value: string) => number) {
		this.#statedTime = statedTime;
	}

	/** Records rows that this instance has read from the store. @returns those that peers have to be told of. @param now - Monotonic time in milliseconds. */
	record(rows: readonly RowChange[], now: number): RowChange[] {
		return rows.filter(({key, value, removed, version}) => {
			if (removed || value === undefined) {
				this.#told.delete(key);
				return false;
			}

			const told = this.#told.get(key);
			const write = version ?? value;
			const until = now + this.#statedTime(key, value);
			if (!(until > now) || told?.write === write) {
				return false;
			}

			const isExtended = told === undefined || until > told.until + extensionMargin;
			this.#told.set(key, {write, until: isExtended ? until : told.until});
			return isExtended;
		});
	}
}
