/**
 * Transactions whose lost answer is settled by reading back.
 *
 * Each transaction also writes a marker under the id of its change, on the condition that the marker is absent.
 * A marker that is present tells how the change ended; where it is absent, a fence takes its place, so that
 * the transaction can no longer commit, however late it takes effect. docs/design/settled-write.md gives the reasons.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {match, P} from 'ts-pattern';
import {decodeTime, ulid} from 'ulid';
import {z} from 'zod';
import {CarobquayError} from '../errors/errors.js';
import {Backoff, type BackoffOptions, sleep} from './backoff.js';
import {
	type TableItem, type TableService, type Transaction, type TransactionResult,
} from './table.js';

/** Prefix of the keys of markers. */
const markerPrefix = 'change/';

/** Time in milliseconds for which a lost answer is pursued. */
const defaultSettleTimeout = 10_000;

/** Time in milliseconds for which a marker is kept. */
const defaultRetention = 600_000;

/** Part of the retention after which an absent marker proves nothing; the rest covers clocks that differ. */
const provingShare = 0.5;

/** Old markers that each transaction deletes along with its own writes. */
const deletionsPerTransaction = 4;

const markerValue = z.object({state: z.enum(['committed', 'fenced'])});

/** How a change ended: `fenced` means that it did not commit and never will. */
export type ChangeState = 'committed' | 'fenced' | 'unknown';

/** How a settled write ended. */
export type SettledOutcome
	/** `versions` is absent where the answer was lost; read the items to get their versions. */
	= | {outcome: 'committed'; changeId: string; versions?: Readonly<Record<string, number>>}
	/** A condition did not hold. */
		| {outcome: 'conflict'; changeId: string; conflicts: readonly TableItem[]}
	/** The answer was lost, and the write did not and will not commit. */
		| {outcome: 'fenced'; changeId: string}
	/** The table did not take the write: 5001 or 5003. */
		| {outcome: 'refused'; changeId: string; error: CarobquayError}
	/** Still not known when the time was over; `settle` may be asked later. */
		| {outcome: 'unknown'; changeId: string};

export type SettledWriterOptions = {
	/**
	 * Time in milliseconds for which a lost answer is pursued.
	 * @default 10_000
	 */
	settleTimeout?: number;
	/**
	 * Time in milliseconds for which markers are kept. No write may take effect later than this after it was sent.
	 * @default 600_000
	 */
	retention?: number;
	/**
	 * Waits between two attempts to read back.
	 * @default exponential with full jitter, 50 to 1000 ms
	 */
	backoff?: BackoffOptions;
};

/** Runs transactions and settles those whose answer is lost; never sends one twice. */
export class SettledWriter {
	readonly #table: TableService;
	readonly #settleTimeout: number;
	readonly #retention: number;
	readonly #backoff: BackoffOptions;
	/** Ids of this writer's markers, oldest first. */
	readonly #kept: string[] = [];

	constructor(table: TableService, {
		settleTimeout = defaultSettleTimeout, retention = defaultRetention, backoff = {},
	}: SettledWriterOptions = {}) {
		this.#table = table;
		this.#settleTimeout = settleTimeout;
		this.#retention = retention;
		this.#backoff = backoff;
	}

	/**
	 * Runs a transaction once.
	 *
	 * @param changeId - A ULID of this moment, never used before.
	 * @param signal - Ends the wait for the first answer; the outcome is settled all the same.
	 * @throws Whatever the table throws besides 5001, 5002 and 5003.
	 */
	async run(transaction: Transaction, {changeId = ulid(), signal}: {changeId?: string; signal?: AbortSignal} = {}): Promise<SettledOutcome> {
		const expired = this.#expiredMarkers();
		let result: TransactionResult;
		try {
			result = await this.#table.transact(withMarker(transaction, changeId, expired), signal);
		} catch (error) {
			return this.#afterError(error, changeId, expired);
		}

		if (!result.committed) {
			this.#kept.unshift(...expired);
			return conflictOutcome(changeId, result.conflicts);
		}

		this.#kept.push(changeId);
		return {outcome: 'committed', changeId, versions: withoutMarkers(result.versions)};
	}

	/**
	 * Finds out how a change ended, and fences it where it has not committed.
	 *
	 * @returns `unknown` where the table does not tell in time, or where the change is too old for its marker to be kept.
	 */
	async settle(changeId: string): Promise<ChangeState> {
		const backoff = new Backoff(this.#backoff);
		const deadline = performance.now() + this.#settleTimeout;
		for (;;) {
			const state = await this.#attemptToSettle(changeId); // eslint-disable-line no-await-in-loop
			const wait = backoff.next();
			if (state !== 'unknown' || !this.#provesAbsence(changeId) || performance.now() + wait >= deadline) {
				return state;
			}

			await sleep(wait); // eslint-disable-line no-await-in-loop
		}
	}

	/**
	 * Deletes markers that outlived their retention, such as those of instances that are gone.
	 *
	 * @returns Number of markers deleted.
	 * @throws {CarobquayError} 5001, 5002 or 5003.
	 */
	async sweep(limit = 100): Promise<number> {
		const markers = await this.#table.list(markerPrefix, {limit});
		const expired = markers.filter(({key}) => ageOf(key.slice(markerPrefix.length)) > this.#retention);
		if (expired.length > 0) {
			await this.#table.transact({conditions: [], writes: expired.map(({key}) => ({kind: 'delete', key}))});
		}

		return expired.length;
	}

	async #afterError(error: unknown, changeId: string, expired: readonly string[]): Promise<SettledOutcome> {
		// Deletions of markers are repeated at will: they change nothing the second time.
		this.#kept.unshift(...expired);
		if (!(error instanceof CarobquayError)) {
			throw error;
		}

		return match(error.code)
			.with('5001', '5003', () => ({outcome: 'refused', changeId, error} as const))
			.with('5002', async () => this.#settled(changeId))
			.otherwise(() => {
				throw error;
			});
	}

	async #settled(changeId: string): Promise<SettledOutcome> {
		const outcome = await this.settle(changeId);
		if (outcome !== 'unknown') {
			this.#kept.push(changeId);
		}

		return {outcome, changeId};
	}

	/** Reads the marker, then fences the change where there is none. */
	async #attemptToSettle(changeId: string): Promise<ChangeState> {
		const key = markerPrefix + changeId;
		try {
			const [marker] = await this.#table.read([key]);
			if (marker) {
				return stateOf(marker);
			}

			const fence = await this.#table.transact({
				conditions: [{key, version: 0}],
				writes: [{kind: 'put', key, value: {state: 'fenced'}}],
			});
			if (!fence.committed) {
				return stateOf(fence.conflicts.find(item => item.key === key));
			}

			// The process may have been paused until after the marker of a committed change was deleted.
			return this.#provesAbsence(changeId) ? 'fenced' : 'unknown';
		} catch (error) {
			return match(error)
				.with(P.instanceOf(CarobquayError), ({code}) => ['5001', '5002', '5003'].includes(code), () => 'unknown' as const)
				.otherwise(() => {
					throw error;
				});
		}
	}

	#provesAbsence(changeId: string): boolean {
		// An id from the future comes from a clock that differs too much.
		return Math.abs(ageOf(changeId)) < this.#retention * provingShare;
	}

	#expiredMarkers(): string[] {
		const young = this.#kept.findIndex(changeId => ageOf(changeId) <= this.#retention);
		const expired = young === -1 ? this.#kept.length : young;
		return this.#kept.splice(0, Math.min(expired, deletionsPerTransaction));
	}
}

function withMarker({conditions, writes}: Transaction, changeId: string, expired: readonly string[]): Transaction {
	const key = markerPrefix + changeId;
	return {
		conditions: [...conditions, {key, version: 0}],
		writes: [
			...writes,
			{kind: 'put', key, value: {state: 'committed'}},
			...expired.map(id => ({kind: 'delete', key: markerPrefix + id} as const)),
		],
	};
}

function withoutMarkers(versions: Readonly<Record<string, number>>): Record<string, number> {
	return Object.fromEntries(Object.entries(versions).filter(([key]) => !key.startsWith(markerPrefix)));
}

/** A marker among the conflicts means that the change was fenced, or ran before under the same id. */
function conflictOutcome(changeId: string, conflicts: readonly TableItem[]): SettledOutcome {
	const marker = conflicts.find(item => item.key === markerPrefix + changeId);
	return marker ? {outcome: stateOf(marker), changeId} : {outcome: 'conflict', changeId, conflicts};
}

function stateOf(marker: TableItem | undefined): ChangeState {
	const value = markerValue.safeParse(marker?.value);
	return value.success ? value.data.state : 'unknown';
}

/** Age of a change in milliseconds; its id holds the time of its start. */
function ageOf(changeId: string): number {
	return Date.now() - decodeTime(changeId);
}
