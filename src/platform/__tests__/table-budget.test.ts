import test from 'ava';
import {MemoryTable} from '../memory/memory-table.js';
import {BudgetedTable, TableBudget} from '../table-budget.js';
import {pauseClockFor, put, told} from './support.js';

const purposes = {claim: {writes: 10, reads: 20}, ledger: {writes: 5, reads: 5}};
const transaction = {conditions: [], writes: [put('a')]};

function open(t: {teardown: (callback: () => void) => void}, options: {common?: {writes: number; reads: number}; outageJitter?: number} = {}) {
	const clock = pauseClockFor(t);
	const table = new MemoryTable();
	const budget = new TableBudget({purposes, random: () => 0.5, ...options});
	return {
		clock, table, budget, claim: new BudgetedTable(table, budget, 'claim'), ledger: new BudgetedTable(table, budget, 'ledger'),
	};
}

/** All calls come at once; a budget of 10 writes per second holds 2 at the start and makes a call wait for 1 s at most. */
const cases: Array<{name: string; calls: number; common?: {writes: number; reads: number}; sentAtOnce: number; sent: number; refused: number}> = [
	{
		name: 'within the burst', calls: 2, sentAtOnce: 2, sent: 2, refused: 0,
	},
	{
		name: 'beyond the burst waits', calls: 8, sentAtOnce: 2, sent: 8, refused: 0,
	},
	{
		name: 'beyond the longest wait is refused', calls: 20, sentAtOnce: 2, sent: 12, refused: 8,
	},
	{
		name: 'the common part is borrowed', calls: 20, common: {writes: 20, reads: 0}, sentAtOnce: 6, sent: 16, refused: 4,
	},
];

for (const {name, calls, common, sentAtOnce, sent, refused} of cases) {
	test.serial(`budget, ${name}: ${sentAtOnce} at once, ${sent} in the end`, async t => {
		const {clock, table, budget, claim, ledger} = open(t, {common});
		const results = Promise.all(Array.from({length: calls}, async () => told(claim.transact(transaction))));
		await clock.tickAsync(0);
		t.is(table.counts.total('transact'), sentAtOnce);
		t.is(await told(ledger.transact(transaction)), 'done', 'another purpose keeps its own part');
		await clock.tickAsync(5000);
		const codes = await results;
		t.is(codes.filter(code => code === 'done').length, sent);
		t.is(codes.filter(code => code === '5003 no').length, refused);
		t.like(budget.use('claim').write, {calls: sent, refused, delayed: sent - sentAtOnce});
		t.is(budget.use('ledger').write.calls, 1);
	});
}

test.serial('in an outage calls wait with jitter, and the return starts with an empty budget', async t => {
	const {clock, table, budget, claim} = open(t, {outageJitter: 400});
	table.faults.set({down: true});
	t.is(await told(claim.transact(transaction)), '5001 no');
	t.true(budget.outage);

	const second = told(claim.transact(transaction));
	await clock.tickAsync(199);
	t.is(table.counts.total('transact'), 1);
	await clock.tickAsync(1);
	t.is(await second, '5001 no');

	await clock.tickAsync(10_000);
	table.faults.clear();
	const first = told(claim.transact(transaction));
	await clock.tickAsync(200);
	t.is(await first, 'done');
	t.false(budget.outage);
	const burst = Promise.all(Array.from({length: 5}, async () => told(claim.transact(transaction))));
	await clock.tickAsync(0);
	t.is(table.counts.total('transact'), 3, 'nothing was saved up');
	await clock.tickAsync(1000);
	t.deepEqual(await burst, Array.from({length: 5}, () => 'done'));
	t.deepEqual(budget.use('claim').write.failed, {5001: 2});
});

test.serial('a caller that leaves while waiting is told that nothing was done', async t => {
	const {clock, table, claim} = open(t);
	const leaving = new AbortController();
	const results = Promise.all(Array.from({length: 4}, async () => told(claim.transact(transaction, leaving.signal))));
	await clock.tickAsync(0);
	leaving.abort();
	await clock.tickAsync(1000);
	t.deepEqual(await results, ['done', 'done', '5001 no', '5001 no']);
	t.is(table.counts.total('transact'), 2);
});

test.serial('a caller that leaves during its call does not count as an outage', async t => {
	const {clock, table, budget, claim} = open(t);
	table.faults.set({slow: 100});
	const leaving = new AbortController();
	const result = told(claim.transact(transaction, leaving.signal));
	await clock.tickAsync(50);
	leaving.abort();
	t.is(await result, '5002 unknown');
	t.false(budget.outage);
});
