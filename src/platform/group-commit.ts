/**
 * Batches small independent transactions of one instance into one table transaction per short window.
 *
 * docs/design/group-commit.md gives the reasons and figures.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {match} from 'ts-pattern';
import {type SettledOutcome} from './settled-write.js';
import {type TableItem, type Transaction} from './table.js';

/** Time in milliseconds that the first transaction of a batch waits for others. */
const defaultWindow = 50;

/** Greatest number of written items in a batch. */
const defaultMaximumItems = 100;

/** Batches of one instance under way at once. */
const defaultMaximumInFlight = 4;

/** Time in milliseconds after which a transaction is no longer tried again. */
const defaultTimeout = 5000;

/** Runs one transaction whose outcome is settled; SettledWriter does. */
export interface TransactionRunner {
	run(transaction: Transaction): Promise<SettledOutcome>;
}

export type GroupCommitOptions = {
	/**
	 * Time in milliseconds that the first transaction of a batch waits for others.
	 * @default 50
	 */
	window?: number;
	/**
	 * Greatest number of written items in a batch; a larger transaction goes alone.
	 * @default 100
	 */
	maximumItems?: number;
	/**
	 * Greatest number of batches under way at once.
	 * @default 4
	 */
	maximumInFlight?: number;
	/**
	 * Time in milliseconds after which a transaction that surely did not commit is no longer tried again.
	 * @default 5000
	 */
	timeout?: number;
};

/** Counts since the start; for metrics. */
export type GroupCommitCounts = {
	/** Transactions submitted. */
	submitted: number;
	/** Batches sent, each one table transaction. */
	batches: number;
	/** Times that a transaction was put into a further batch after another one's conflict or a fence. */
	retried: number;
};

type Member = {
	transaction: Transaction;
	/** Monotonic time in milliseconds. */
	deadline: number;
	/** Members of a batch that failed as a whole keep apart from those with another number. */
	part: number;
	settle: (outcome: SettledOutcome) => void;
	fail: (error: unknown) => void;
};

/** Collects transactions and commits them in batches; one's conflict does not fail the others. */
export class GroupCommit {
	readonly #runner: TransactionRunner;
	readonly #window: number;
	readonly #maximumItems: number;
	readonly #maximumInFlight: number;
	readonly #timeout: number;
	readonly #counts: GroupCommitCounts = {submitted: 0, batches: 0, retried: 0};
	#queue: Member[] = [];
	#scheduled = false;
	/** Whether transactions wait that have waited their window. */
	#overdue = false;
	#inFlight = 0;
	#parts = 0;

	constructor(runner: TransactionRunner, {
		window = defaultWindow, maximumItems = defaultMaximumItems, maximumInFlight = defaultMaximumInFlight, timeout = defaultTimeout,
	}: GroupCommitOptions = {}) {
		this.#runner = runner;
		this.#window = window;
		this.#maximumItems = maximumItems;
		this.#maximumInFlight = maximumInFlight;
		this.#timeout = timeout;
	}

	get counts(): Readonly<GroupCommitCounts> {
		return {...this.#counts};
	}

	/** Transactions that wait for a batch. */
	get waiting(): number {
		return this.#queue.length;
	}

	/**
	 * Commits a transaction with others.
	 *
	 * Transactions of which one writes a key that the other touches go into different batches, in the order of submission,
	 * but a later batch may overtake an earlier one on its way: only conditions order them surely.
	 *
	 * @returns The transaction's own outcome; `changeId` is that of its last batch.
	 */
	async submit(transaction: Transaction): Promise<SettledOutcome> {
		this.#counts.submitted++;
		return new Promise((resolve, reject) => {
			this.#queue.push({
				transaction, deadline: performance.now() + this.#timeout, part: 0, settle: resolve, fail: reject,
			});
			this.#schedule();
		});
	}

	#schedule(): void {
		if (this.#queue.length > 0 && !this.#scheduled) {
			this.#scheduled = true;
			setTimeout(() => {
				this.#scheduled = false;
				this.#flush();
			}, this.#window);
		}
	}

	/** Sends what waits, as far as batches may be under way. */
	#flush(): void {
		while (this.#queue.length > 0 && this.#inFlight < this.#maximumInFlight) {
			const {members, rest} = takeBatch(this.#queue, this.#maximumItems);
			this.#queue = rest;
			void this.#send(members);
		}

		this.#overdue = this.#queue.length > 0;
	}

	async #send(members: readonly Member[]): Promise<void> {
		this.#inFlight++;
		this.#counts.batches++;
		try {
			this.#finish(members, await this.#runner.run(joinTransactions(members)));
		} catch (error) {
			for (const member of members) {
				member.fail(error);
			}
		} finally {
			this.#inFlight--;
			this.#goOn();
		}
	}

	/** After a batch: sends what already waited its window, or lets the rest wait for it. */
	#goOn(): void {
		if (this.#overdue) {
			this.#flush();
		} else {
			this.#schedule();
		}
	}

	#finish(members: readonly Member[], outcome: SettledOutcome): void {
		match(outcome)
			.with({outcome: 'committed'}, committed => {
				for (const member of members) {
					member.settle(ownVersions(member, committed));
				}
			})
			.with({outcome: 'conflict'}, conflict => {
				this.#finishConflict(members, conflict);
			})
			.with({outcome: 'fenced'}, fenced => {
				this.#finishFenced(members, fenced);
			})
			.with({outcome: 'refused'}, {outcome: 'unknown'}, same => {
				for (const member of members) {
					member.settle(same);
				}
			})
			.exhaustive();
	}

	/** Settles the members whose own conditions failed; the others did nothing wrong and go again. */
	#finishConflict(members: readonly Member[], conflict: Extract<SettledOutcome, {outcome: 'conflict'}>): void {
		const innocent: Member[] = [];
		for (const member of members) {
			const conflicts = ownConflicts(member, conflict.conflicts);
			if (conflicts.length > 0) {
				member.settle({...conflict, conflicts});
			} else {
				innocent.push(member);
			}
		}

		if (innocent.length === members.length) {
			// The answer names no condition of this batch; smaller batches find whose it is.
			this.#retryHalves(members, conflict);
		} else {
			this.#retry(innocent, conflict);
		}
	}

	/** A batch may have been lost because of one member, so that its halves go apart. */
	#finishFenced(members: readonly Member[], fenced: SettledOutcome): void {
		this.#retryHalves(members, fenced);
	}

	#retryHalves(members: readonly Member[], outcome: SettledOutcome): void {
		if (members.length === 1) {
			members[0]!.settle(outcome);
			return;
		}

		const middle = Math.ceil(members.length / 2);
		for (const half of [members.slice(0, middle), members.slice(middle)]) {
			this.#parts++;
			const part = this.#parts;
			this.#retry(half.map(member => ({...member, part})), outcome);
		}
	}

	/** Puts members that surely did not commit before all that wait; those whose time is over end as `outcome` tells. */
	#retry(members: readonly Member[], outcome: SettledOutcome): void {
		const now = performance.now();
		const again = members.filter(member => member.deadline > now);
		for (const member of members.filter(({deadline}) => deadline <= now)) {
			member.settle(outcome.outcome === 'conflict' ? {outcome: 'fenced', changeId: outcome.changeId} : outcome);
		}

		this.#counts.retried += again.length;
		this.#queue.unshift(...again);
		// They have waited their window already.
		this.#overdue ||= again.length > 0;
	}
}

/** Takes transactions from the front that can share one batch. */
function takeBatch(queue: readonly Member[], maximumItems: number): {members: Member[]; rest: Member[]} {
	const members: Member[] = [];
	const rest: Member[] = [];
	const keys = new BatchKeys();
	const part = queue[0]?.part;
	let items = 0;
	for (const [index, member] of queue.entries()) {
		const size = member.transaction.writes.length;
		if (members.length > 0 && items + size > maximumItems) {
			rest.push(...queue.slice(index));
			break;
		}

		if (member.part === part && keys.allow(member.transaction)) {
			members.push(member);
			items += size;
		} else {
			rest.push(member);
		}

		// Keys of a transaction that is passed over stay closed, so that later ones on them keep their order.
		keys.add(member.transaction);
	}

	return {members, rest};
}

/** The keys of a batch's transactions; those that one writes no other may touch. */
class BatchKeys {
	readonly #written = new Set<string>();
	readonly #touched = new Set<string>();

	allow({conditions, writes}: Transaction): boolean {
		return writes.every(({key}) => !this.#touched.has(key)) && conditions.every(({key}) => !this.#written.has(key));
	}

	add({conditions, writes}: Transaction): void {
		for (const {key} of conditions) {
			this.#touched.add(key);
		}

		for (const {key} of writes) {
			this.#touched.add(key);
			this.#written.add(key);
		}
	}
}

function joinTransactions(members: readonly Member[]): Transaction {
	return {
		conditions: members.flatMap(({transaction}) => transaction.conditions),
		writes: members.flatMap(({transaction}) => transaction.writes),
	};
}

function ownVersions({transaction}: Member, committed: Extract<SettledOutcome, {outcome: 'committed'}>): SettledOutcome {
	const {versions} = committed;
	return versions
		? {...committed, versions: Object.fromEntries(transaction.writes.map(({key}) => [key, versions[key] ?? 0]))}
		: committed;
}

function ownConflicts({transaction}: Member, conflicts: readonly TableItem[]): TableItem[] {
	return conflicts.filter(item => transaction.conditions.some(({key, version}) => key === item.key && version !== item.version));
}
