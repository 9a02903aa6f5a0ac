/**
 * In-memory twin of the platform's table service.
 *
 * @module
 */
import {type CallKind, PlatformFailure, toTableError} from '../failure.js';
import {
	type ListOptions, type TableItem, type TableService, type Transaction, type TransactionResult,
} from '../table.js';
import {TokenBucket} from '../token-bucket.js';
import {CallCounts, purposeOfKey} from './call-counts.js';
import {type FaultOptions, PlatformFaults} from './faults.js';
import {SortedKeys} from './sorted-keys.js';

/** Calls or items per second. */
const defaultWritesPerSecond = 300;
const defaultReadsPerSecond = 2000;

/** What one unit of the rates pays for. */
export type RateUnit = 'call' | 'item';

export type MemoryTableOptions = FaultOptions & {
	/**
	 * Transactions per second.
	 * @default 300
	 */
	writesPerSecond?: number;
	/**
	 * Reads and listings per second.
	 * @default 2000
	 */
	readsPerSecond?: number;
	/**
	 * Whether the rates count calls or the items that calls touch.
	 * @default 'call'
	 */
	rateUnit?: RateUnit;
};

/** A transactional table whose versions come from one counter, so they rise across deletion. */
export class MemoryTable implements TableService {
	readonly faults: PlatformFaults;
	readonly counts = new CallCounts();
	readonly #items = new Map<string, TableItem>();
	readonly #keys = new SortedKeys();
	readonly #writes: TokenBucket;
	readonly #reads: TokenBucket;
	readonly #rateUnit: RateUnit;
	#revision = 0;

	constructor({
		writesPerSecond = defaultWritesPerSecond, readsPerSecond = defaultReadsPerSecond, rateUnit = 'call', ...faults
	}: MemoryTableOptions = {}) {
		this.faults = new PlatformFaults(faults);
		this.#writes = new TokenBucket({rate: writesPerSecond});
		this.#reads = new TokenBucket({rate: readsPerSecond});
		this.#rateUnit = rateUnit;
	}

	async read(keys: readonly string[], signal?: AbortSignal): Promise<TableItem[]> {
		this.counts.add('read', purposeOfKey(keys[0]));
		return this.#call('read', () => {
			this.#spend(this.#reads, keys.length);
			return keys.map(key => this.#items.get(key)).filter(item => item !== undefined).map(item => structuredClone(item));
		}, signal);
	}

	async list(prefix: string, options?: ListOptions, signal?: AbortSignal): Promise<TableItem[]> {
		this.counts.add('list', purposeOfKey(prefix));
		return this.#call('read', () => {
			const keys = this.#keys.list(prefix, options);
			this.#spend(this.#reads, keys.length);
			return keys.map(key => structuredClone(this.#items.get(key)!));
		}, signal);
	}

	async transact(transaction: Transaction, signal?: AbortSignal): Promise<TransactionResult> {
		this.counts.add('transact', purposeOfKey(transaction.writes[0]?.key ?? transaction.conditions[0]?.key));
		// The caller may change its values while the call waits.
		const copy = structuredClone(transaction);
		return this.#call('write', () => {
			this.#spend(this.#writes, copy.writes.length);
			return this.#apply(copy);
		}, signal);
	}

	/** Items as they stand, without faults, rates or counts; for tests. */
	inspect(prefix = ''): TableItem[] {
		return this.#keys.list(prefix, {limit: Number.POSITIVE_INFINITY}).map(key => structuredClone(this.#items.get(key)!));
	}

	async #call<Result>(kind: CallKind, effect: () => Result, signal: AbortSignal | undefined): Promise<Result> {
		try {
			return await this.faults.call({kind, effect, signal});
		} catch (error) {
			throw toTableError(error, kind);
		}
	}

	#spend(bucket: TokenBucket, items: number): void {
		const cost = this.#rateUnit === 'call' ? 1 : Math.max(1, items);
		if (!bucket.tryTake(cost)) {
			throw new PlatformFailure('rate-limited', `over the rate of ${bucket.rate} per second`);
		}
	}

	#apply({conditions, writes}: Transaction): TransactionResult {
		const conflicts = conditions
			.filter(({key, version}) => (this.#items.get(key)?.version ?? 0) !== version)
			.map(({key}) => structuredClone(this.#items.get(key)) ?? {key, version: 0, value: null});
		if (conflicts.length > 0) {
			return {committed: false, conflicts};
		}

		this.#revision++;
		const versions: Record<string, number> = {};
		for (const write of writes) {
			if (write.kind === 'put') {
				this.#items.set(write.key, {key: write.key, version: this.#revision, value: write.value});
				this.#keys.add(write.key);
				versions[write.key] = this.#revision;
			} else {
				this.#items.delete(write.key);
				this.#keys.delete(write.key);
				versions[write.key] = 0;
			}
		}

		return {committed: true, versions};
	}
}
