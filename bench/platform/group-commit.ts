/**
 * Measures table writes per second and added waits of group commit, under a paused clock.
 *
 * Run with `npx tsx bench/platform/group-commit.ts`.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import fakeTimers from '@sinonjs/fake-timers';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {GroupCommit, type TransactionRunner} from '../../src/platform/group-commit.js';
import {type FaultSettings} from '../../src/platform/memory/faults.js';
import {MemoryTable} from '../../src/platform/memory/memory-table.js';
import {type SettledOutcome, SettledWriter} from '../../src/platform/settled-write.js';
import {BudgetedTable, TableBudget} from '../../src/platform/table-budget.js';
import {type TableService, type Transaction} from '../../src/platform/table.js';

/** Seed of arrivals, collisions and faults. */
const seed = 7;

/** Entry instances of the fleet. */
const instanceCount = 9;

/** Requests per second of the whole fleet. */
const requestsPerSecond = 3300;

/** Time in milliseconds from a request's claim to its outcome. */
const requestDuration = 200;

/** Measured time in milliseconds, and the time after it in which all writes end. */
const measuredTime = 10_000;
const trailingTime = 20_000;

/** Step of the clock in milliseconds. */
const step = 1;

const second = 1000;

type Trial = {
	name: string;
	/** Time in milliseconds that a batch waits; 0 writes each transaction alone. */
	window: number;
	/** Share of requests whose claim collides with an earlier one. */
	collisions?: number;
	faults?: Partial<FaultSettings>;
	/**
	 * Writes per second that each instance allows itself.
	 * @default no limit
	 */
	budget?: number;
	/** Time in milliseconds of an outage that begins after 2 s. */
	outage?: number;
};

type Tally = {outcomes: Map<string, number>; waits: number[]};

class Fleet {
	readonly table = new MemoryTable({seed});
	readonly tally: Tally = {outcomes: new Map(), waits: []};
	readonly #generator = xoroshiro128plus(seed);
	readonly #runners: TransactionRunner[];
	readonly #collisions: number;
	#requests = 0;

	constructor({window, budget, collisions = 0}: Trial) {
		this.#collisions = collisions;
		this.#runners = Array.from({length: instanceCount}, () => {
			const table = budget === undefined ? this.table : this.#withBudget(budget);
			const writer = new SettledWriter(table, {backoff: {random: () => this.#random()}});
			if (window === 0) {
				return writer;
			}

			const group = new GroupCommit(writer, {window});
			return {run: async (transaction: Transaction) => group.submit(transaction)};
		});
	}

	/** Starts the requests of one step of the clock. */
	arrive(): void {
		let expected = requestsPerSecond * step / second;
		while (expected > this.#random()) {
			expected--;
			void this.#serve();
		}
	}

	/** Claims a request and, once it has ended, writes its outcome. */
	async #serve(): Promise<void> {
		this.#requests++;
		const runner = this.#runners[Math.floor(this.#random() * instanceCount)]!;
		const collides = this.#random() < this.#collisions;
		const key = `claim/${collides ? Math.floor(this.#requests / 2) : this.#requests}`;
		const claim = await this.#timed(runner, {conditions: [{key, version: 0}], writes: [{kind: 'put', key, value: {state: 'running'}}]});
		const version = claim.outcome === 'committed' ? claim.versions?.[key] : undefined;
		if (version === undefined) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, requestDuration);
		});
		await this.#timed(runner, {conditions: [{key, version}], writes: [{kind: 'put', key, value: {state: 'done'}}]});
	}

	async #timed(runner: TransactionRunner, transaction: Transaction): Promise<SettledOutcome> {
		const startedAt = performance.now();
		const outcome = await runner.run(transaction);
		this.tally.waits.push(performance.now() - startedAt);
		this.tally.outcomes.set(outcome.outcome, (this.tally.outcomes.get(outcome.outcome) ?? 0) + 1);
		return outcome;
	}

	#withBudget(writes: number): TableService {
		const budget = new TableBudget({purposes: {claim: {writes, reads: 200}}, random: () => this.#random()});
		return new BudgetedTable(this.table, budget, 'claim');
	}

	#random(): number {
		return uniformFloat64(this.#generator);
	}
}

function quantile(sorted: number[], share: number): string {
	return (sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN).toFixed(0);
}

async function measure(trial: Trial): Promise<string> {
	const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'], now: Date.now()});
	try {
		const fleet = new Fleet(trial);
		fleet.table.faults.set({slow: 5, ...trial.faults});
		let atEnd = 0;
		for (let elapsed = 0; elapsed < measuredTime; elapsed += step) {
			fleet.table.faults.set({down: trial.outage !== undefined && elapsed >= 2000 && elapsed < 2000 + trial.outage});
			fleet.arrive();
			await clock.tickAsync(step); // eslint-disable-line no-await-in-loop
			atEnd = fleet.table.counts.total('transact');
		}

		await clock.tickAsync(trailingTime);
		const waits = fleet.tally.waits.toSorted((first, other) => first - other);
		const outcomes = [...fleet.tally.outcomes].map(([outcome, count]) => `${outcome}=${count}`).toSorted();
		return [
			`trial="${trial.name}"`,
			`logical_writes_per_second=${(waits.length / measuredTime * second).toFixed(0)}`,
			`table_writes_per_second=${(atEnd / measuredTime * second).toFixed(0)}`,
			`wait_p50_ms=${quantile(waits, 0.5)}`,
			`wait_p99_ms=${quantile(waits, 0.99)}`,
			`wait_max_ms=${quantile(waits, 1)}`,
			...outcomes,
		].join(' ');
	} finally {
		clock.uninstall();
	}
}

const trials: Trial[] = [
	{name: 'each alone', window: 0},
	{name: 'window 25 ms', window: 25},
	{name: 'window 50 ms', window: 50},
	{name: 'window 25 ms, budget of 30 per instance', window: 25, budget: 30},
	{name: 'window 50 ms, budget of 30 per instance', window: 50, budget: 30},
	{name: 'window 50 ms, budget of 10 per instance', window: 50, budget: 10},
	{name: 'window 100 ms', window: 100},
	{name: 'window 50 ms, 1% collisions', window: 50, collisions: 0.01},
	{name: 'window 50 ms, table answers after 300 ms', window: 50, faults: {slow: 300}},
	{name: 'window 50 ms, 2% of answers lost', window: 50, faults: {loseAnswerProbability: 0.02}},
	{
		name: 'window 50 ms, 2% of answers lost and late by 500 ms', window: 50, faults: {loseAnswerProbability: 0.02, lateEffect: 500},
	},
	{name: 'window 50 ms, outage of 2 s', window: 50, outage: 2000},
];

for (const trial of trials) {
	process.stdout.write(`${await measure(trial)}\n`); // eslint-disable-line no-await-in-loop
}
