import test from 'ava';
import fc from 'fast-check';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {ulid} from 'ulid';
import {type FaultSettings} from '../memory/faults.js';
import {MemoryTable, type MemoryTableOptions} from '../memory/memory-table.js';
import {
	type ChangeState, type SettledOutcome, SettledWriter, type SettledWriterOptions,
} from '../settled-write.js';
import {type Transaction, type TransactionResult} from '../table.js';
import {
	create, longAfter, pauseClock, pauseClockFor, put,
} from './support.js';

/** Runs one write under a paused clock. */
async function runUnderFault(fault: Partial<FaultSettings>) {
	const clock = pauseClock();
	try {
		const table = new MemoryTable();
		const writer = new SettledWriter(table);
		table.faults.set(fault);
		const running = writer.run(create('a'));
		await clock.tickAsync(longAfter * 2);
		return {outcome: await running, present: table.inspect('a').length > 0, writes: table.counts.total('transact', 'a')};
	} finally {
		clock.uninstall();
	}
}

const cases: Array<{name: string; fault: Partial<FaultSettings>; outcome: SettledOutcome['outcome']; present: boolean}> = [
	{
		name: 'no fault', fault: {}, outcome: 'committed', present: true,
	},
	{
		name: 'answer lost after the effect', fault: {loseAnswers: 1}, outcome: 'committed', present: true,
	},
	{
		name: 'request lost before the effect', fault: {loseRequests: 1}, outcome: 'fenced', present: false,
	},
	{
		name: 'effect 5 s after the answer was lost', fault: {loseAnswers: 1, lateEffect: 5000}, outcome: 'fenced', present: false,
	},
	{
		name: 'the answers of the write and of the first fence lost, both late', fault: {loseAnswers: 2, lateEffect: 100}, outcome: 'fenced', present: false,
	},
	{
		name: 'the request and the answer of the fence lost', fault: {loseRequests: 1, loseAnswers: 1}, outcome: 'fenced', present: false,
	},
	{
		name: 'frozen for 5 s', fault: {frozenUntil: 5000}, outcome: 'committed', present: true,
	},
	{
		name: 'down', fault: {down: true}, outcome: 'refused', present: false,
	},
	{
		name: 'over the rate', fault: {rateLimited: true}, outcome: 'refused', present: false,
	},
	{
		name: 'frozen beyond the time to settle', fault: {frozenUntil: 30_000}, outcome: 'unknown', present: true,
	},
];

for (const {name, fault, outcome, present} of cases) {
	test.serial(`settled write, ${name}: ${outcome}, sent once`, async t => {
		const seen = await runUnderFault(fault);
		t.is(seen.outcome.outcome, outcome);
		t.is(seen.present, present);
		t.is(seen.writes, 1);
	});
}

test.serial('an unknown change is settled later by its id, by another writer too', async t => {
	const clock = pauseClockFor(t);
	const table = new MemoryTable();
	table.faults.set({frozenUntil: 30_000});
	const running = new SettledWriter(table).run(create('a'));
	await clock.tickAsync(20_000);
	const {outcome, changeId} = await running;
	t.is(outcome, 'unknown');

	await clock.tickAsync(20_000);
	t.is(await new SettledWriter(table).settle(changeId), 'committed');
	for (const id of [ulid(Date.now() - 400_000), ulid(Date.now() + 400_000)]) {
		t.is(await new SettledWriter(table).settle(id), 'unknown', 'an absent marker proves nothing'); // eslint-disable-line no-await-in-loop
	}
});

test.serial('markers are deleted after their retention, by later writes and by a sweep', async t => {
	const clock = pauseClockFor(t);
	const table = new MemoryTable();
	const writer = new SettledWriter(table, {retention: 1000});
	for (const key of ['a', 'b', 'c', 'd', 'e', 'f']) {
		await writer.run(create(key)); // eslint-disable-line no-await-in-loop
	}

	t.is(await writer.sweep(), 0);
	await clock.tickAsync(1001);
	await writer.run(create('g'));
	t.is(table.inspect('change/').length, 3);
	t.is(await writer.sweep(), 2);
	t.is(table.inspect('change/').length, 1);
});

/** A table whose client is paused for 11 minutes before its second transaction, the fence. */
class PausedClient extends MemoryTable {
	#transactions = 0;

	override async transact(transaction: Transaction): Promise<TransactionResult> {
		this.#transactions++;
		if (this.#transactions === 2) {
			await new Promise(resolve => {
				setTimeout(resolve, 660_000);
			});
		}

		return super.transact(transaction);
	}
}

test.serial('a writer that was paused until the marker was deleted does not tell the change as fenced', async t => {
	const clock = pauseClockFor(t);
	const table = new PausedClient();
	table.faults.set({loseAnswers: 1, lateEffect: 100});
	const running = new SettledWriter(table).run(create('a'));
	await clock.tickAsync(601_000);
	t.is(await new SettledWriter(table).sweep(), 1);
	await clock.tickAsync(longAfter * 2);
	const {outcome} = await running;
	t.is(outcome, 'unknown');
	t.is(table.inspect('a').length, 1);
});

/** `inquiry`: time in milliseconds after which another writer asks how the change ended. */
type Step = {gap: number; kind: 'create' | 'increment'; inquiry: number};
type Scenario = {options: MemoryTableOptions; faults: Partial<FaultSettings>; outage: {from: number; length: number}; steps: Step[]};

const scenarios: fc.Arbitrary<Scenario> = fc.record({
	options: fc.record({seed: fc.integer({min: 1, max: 1_000_000}), writesPerSecond: fc.constantFrom(5, 300)}),
	faults: fc.record({
		loseAnswerProbability: fc.constantFrom(0, 0.3, 0.9),
		lateEffect: fc.constantFrom(0, 10, 400, 5000),
		slow: fc.constantFrom(0, 5, 1900, 2500),
		loseRequests: fc.nat({max: 3}),
	}),
	outage: fc.record({from: fc.nat({max: 1000}), length: fc.constantFrom(0, 500, 15_000)}),
	steps: fc.array(fc.record({gap: fc.nat({max: 300}), kind: fc.constantFrom('create' as const, 'increment' as const), inquiry: fc.constantFrom(0, 3, 500, 6000)}), {minLength: 1, maxLength: 12}),
});

/** Writes a step's own item, and counts it in a shared item where the step says so. */
function transactionOf({kind}: Step, index: number, table: MemoryTable): Transaction {
	const own = put(`step/${index}`, 1);
	if (kind === 'create') {
		return {conditions: [], writes: [own]};
	}

	const [counter] = table.inspect('counter');
	return {conditions: [{key: 'counter', version: counter?.version ?? 0}], writes: [own, put('counter', Number(counter?.value ?? 0) + 1)]};
}

async function inquire(writer: SettledWriter, changeId: string, wait: number): Promise<ChangeState> {
	await new Promise(resolve => {
		setTimeout(resolve, wait);
	});
	return writer.settle(changeId);
}

async function runScenario({options, faults, outage, steps}: Scenario) {
	const clock = pauseClock();
	try {
		const table = new MemoryTable(options);
		const generator = xoroshiro128plus(1);
		const writer = new SettledWriter(table, {backoff: {random: () => uniformFloat64(generator)}});
		table.faults.set(faults);
		setTimeout(() => {
			table.faults.set({down: true});
		}, outage.from);
		setTimeout(() => {
			table.faults.set({down: false});
		}, outage.from + outage.length);
		const other = new SettledWriter(table, {backoff: {random: () => uniformFloat64(generator)}});
		const running: Array<Promise<SettledOutcome>> = [];
		const inquiries: Array<Promise<ChangeState>> = [];
		for (const [index, step] of steps.entries()) {
			const changeId = ulid();
			running.push(writer.run(transactionOf(step, index, table), {changeId}));
			inquiries.push(inquire(other, changeId, step.inquiry));
			await clock.tickAsync(step.gap); // eslint-disable-line no-await-in-loop
		}

		await clock.tickAsync(longAfter);
		return {outcomes: await Promise.all(running), inquired: await Promise.all(inquiries), table};
	} finally {
		clock.uninstall();
	}
}

test.serial('what is told as committed is in the table in the end, and what is told as not committed never is', async t => {
	const seen = new Map<string, number>();
	await fc.assert(fc.asyncProperty(scenarios, async scenario => {
		const {outcomes, inquired, table} = await runScenario(scenario);
		const present = new Set(table.inspect('step/').map(item => item.key));
		for (const [index, {outcome}] of outcomes.entries()) {
			seen.set(outcome, (seen.get(outcome) ?? 0) + 1);
			if (outcome !== 'unknown' && present.has(`step/${index}`) !== (outcome === 'committed')) {
				throw new Error(`step ${index} was told as ${outcome}`);
			}

			if (inquired[index] !== 'unknown' && present.has(`step/${index}`) !== (inquired[index] === 'committed')) {
				throw new Error(`step ${index} was told to another writer as ${inquired[index]}`);
			}
		}

		const increments = scenario.steps.filter((step, index) => step.kind === 'increment' && present.has(`step/${index}`));
		const [counter] = table.inspect('counter');
		if (Number(counter?.value ?? 0) !== increments.length) {
			throw new Error('an increment was lost or doubled');
		}
	}), {seed: 20_261_203, numRuns: 300});
	t.log(Object.fromEntries(seen));
	t.deepEqual([...seen.keys()].toSorted(), ['committed', 'conflict', 'fenced', 'refused', 'unknown']);
});
