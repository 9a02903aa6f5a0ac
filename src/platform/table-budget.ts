/**
 * The budget of one instance for reads and writes of the table, divided by purpose.
 *
 * @module
 */
import {match} from 'ts-pattern';
import {CarobquayError} from '../errors/errors.js';
import {sleep} from './backoff.js';
import {type CallKind} from './failure.js';
import {
	type ListOptions, type TableItem, type TableService, type Transaction, type TransactionResult,
} from './table.js';
import {TokenBucket} from './token-bucket.js';

/** Longest wait in milliseconds for the budget. */
const defaultMaximumWait = 1000;

/** Greatest added wait in milliseconds of a call in an outage. */
const defaultOutageJitter = 500;

/** Time in milliseconds of full rate that a budget may spend at once. */
const defaultBurst = 200;

/** Milliseconds in a second. */
const second = 1000;

/** What one purpose may use for itself. */
export type PurposeBudget = {
	/** Writes per second. */
	writes: number;
	/** Reads and listings per second. */
	reads: number;
};

export type TableBudgetOptions<Purpose extends string> = {
	/** The part of each purpose, which no other purpose can use up. */
	purposes: Readonly<Record<Purpose, PurposeBudget>>;
	/**
	 * What any purpose may use beyond its own part.
	 * @default none
	 */
	common?: PurposeBudget;
	/**
	 * Longest wait in milliseconds for the budget; a call that would wait longer is refused with 5003.
	 * @default 1000
	 */
	maximumWait?: number;
	/**
	 * Greatest added wait in milliseconds of a call in an outage, so that instances do not return all at once.
	 * @default 500
	 */
	outageJitter?: number;
	/**
	 * Time in milliseconds of full rate that may be spent at once.
	 * @default 200
	 */
	burst?: number;
	/**
	 * Returns a number from 0 to 1, 1 excluded.
	 * @default Math.random
	 */
	random?: () => number;
};

/** Use of the table for one purpose since the start; for metrics. */
export type PurposeUse = {
	/** Calls sent. */
	calls: number;
	/** Calls that waited for the budget. */
	delayed: number;
	/** Calls that the budget refused. */
	refused: number;
	/** Calls that the table failed, by error number. */
	failed: Record<string, number>;
};

type Buckets = Record<CallKind, TokenBucket>;

/** Token buckets for each purpose, shared by all users of the table in one instance. */
export class TableBudget<Purpose extends string> {
	readonly #buckets = new Map<string, Buckets>();
	readonly #common: Buckets | undefined;
	readonly #use = new Map<string, Record<CallKind, PurposeUse>>();
	readonly #maximumWait: number;
	readonly #outageJitter: number;
	readonly #random: () => number;
	#outage = false;

	constructor({
		purposes, common, maximumWait = defaultMaximumWait, outageJitter = defaultOutageJitter, burst = defaultBurst, random = Math.random,
	}: TableBudgetOptions<Purpose>) {
		for (const [purpose, budget] of Object.entries<PurposeBudget>(purposes)) {
			this.#buckets.set(purpose, openBuckets(budget, burst));
			this.#use.set(purpose, {read: noUse(), write: noUse()});
		}

		this.#common = common && openBuckets(common, burst);
		this.#maximumWait = maximumWait;
		this.#outageJitter = outageJitter;
		this.#random = random;
	}

	/** Whether the last call that the table answered or failed found it unavailable. */
	get outage(): boolean {
		return this.#outage;
	}

	/** Use of the table for one purpose. */
	use(purpose: Purpose): Readonly<Record<CallKind, PurposeUse>> {
		return structuredClone(this.#useOf(purpose));
	}

	/**
	 * Makes a call once the budget of its purpose allows.
	 *
	 * @throws {CarobquayError} 5003 where the wait would be too long, 5001 where the caller left while waiting; else what the call throws.
	 */
	async spend<Result>(purpose: Purpose, kind: CallKind, call: () => Promise<Result>, signal?: AbortSignal): Promise<Result> {
		const use = this.#useOf(purpose)[kind];
		await this.#wait(purpose, kind, signal);
		use.calls++;
		try {
			const result = await call();
			this.#answered();
			return result;
		} catch (error) {
			this.#failed(error, use, signal);
			throw error;
		}
	}

	async #wait(purpose: Purpose, kind: CallKind, signal: AbortSignal | undefined): Promise<void> {
		const jitter = this.#outage ? this.#random() * this.#outageJitter : 0;
		const wait = jitter + this.#reserve(purpose, kind);
		if (wait === 0) {
			return;
		}

		this.#useOf(purpose)[kind].delayed++;
		await sleep(wait);
		if (signal?.aborted) {
			throw new CarobquayError('5001', {message: `the caller left while its ${kind} for "${purpose}" waited for the budget`});
		}
	}

	/** Takes a token, now or ahead of its refill; returns the wait in milliseconds. */
	#reserve(purpose: Purpose, kind: CallKind): number {
		const own = this.#bucketsOf(purpose)[kind];
		// Calls that already wait for the purpose's own tokens go before later ones that could borrow.
		if (own.tryTake() || this.#common?.[kind].tryTake()) {
			return 0;
		}

		const wait = own.delayOf();
		if (wait > this.#maximumWait) {
			this.#useOf(purpose)[kind].refused++;
			throw new CarobquayError('5003', {
				message: `the ${kind} budget of ${own.rate} per second for "${purpose}" is used up for ${Math.ceil(wait)} ms`,
				retryAfter: Math.ceil(wait),
			});
		}

		return own.reserve();
	}

	#answered(): void {
		if (this.#outage) {
			this.#outage = false;
			// What was saved up in the outage must not become one burst.
			for (const {read, write} of [...this.#buckets.values(), ...(this.#common ? [this.#common] : [])]) {
				read.drain();
				write.drain();
			}
		}
	}

	#failed(error: unknown, use: PurposeUse, signal: AbortSignal | undefined): void {
		const code = error instanceof CarobquayError ? error.code : '5900';
		use.failed[code] = (use.failed[code] ?? 0) + 1;
		if (signal?.aborted) {
			// The caller left; that tells nothing about the table.
			return;
		}

		match(code)
			.with('5001', '5002', () => {
				this.#outage = true;
			})
			// The table is there and refuses because of its own rate.
			.with('5003', () => {
				this.#answered();
			})
			.otherwise(() => undefined);
	}

	#bucketsOf(purpose: Purpose): Buckets {
		return this.#buckets.get(purpose)!;
	}

	#useOf(purpose: Purpose): Record<CallKind, PurposeUse> {
		return this.#use.get(purpose)!;
	}
}

/** The table within the budget of one purpose. */
export class BudgetedTable<Purpose extends string> implements TableService {
	readonly #table: TableService;
	readonly #budget: TableBudget<Purpose>;
	readonly #purpose: Purpose;

	constructor(table: TableService, budget: TableBudget<Purpose>, purpose: Purpose) {
		this.#table = table;
		this.#budget = budget;
		this.#purpose = purpose;
	}

	async read(keys: readonly string[], signal?: AbortSignal): Promise<TableItem[]> {
		return this.#budget.spend(this.#purpose, 'read', async () => this.#table.read(keys, signal), signal);
	}

	async list(prefix: string, options?: ListOptions, signal?: AbortSignal): Promise<TableItem[]> {
		return this.#budget.spend(this.#purpose, 'read', async () => this.#table.list(prefix, options, signal), signal);
	}

	async transact(transaction: Transaction, signal?: AbortSignal): Promise<TransactionResult> {
		return this.#budget.spend(this.#purpose, 'write', async () => this.#table.transact(transaction, signal), signal);
	}
}

function openBuckets({reads, writes}: PurposeBudget, burst: number): Buckets {
	return {read: openBucket(reads, burst), write: openBucket(writes, burst)};
}

function openBucket(rate: number, burst: number): TokenBucket {
	// A bucket smaller than one token would never let a call through.
	return new TokenBucket({rate, burst: Math.max(1, rate * burst / second)});
}

function noUse(): PurposeUse {
	return {
		calls: 0, delayed: 0, refused: 0, failed: {},
	};
}
