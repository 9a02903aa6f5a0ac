import test from 'ava';
import fc from 'fast-check';
import {GroupCommit, type GroupCommitOptions} from '../group-commit.js';
import {type FaultSettings} from '../memory/faults.js';
import {MemoryTable} from '../memory/memory-table.js';
import {SettledWriter} from '../settled-write.js';
import {type Transaction} from '../table.js';
import {
	create, longAfter, pauseClock, put,
} from './support.js';

/** `before`: keys that are in the table already. */
type Circumstances = {faults?: Partial<FaultSettings>; options?: GroupCommitOptions; before?: string[]};

/** Submits transactions at once under a paused clock. */
async function commitAll(transactions: Transaction[], {faults = {}, options = {}, before = []}: Circumstances = {}) {
	const clock = pauseClock();
	try {
		const table = new MemoryTable();
		await table.transact({conditions: [], writes: before.map(key => put(key))});
		table.faults.set(faults);
		const group = new GroupCommit(new SettledWriter(table, {backoff: {random: () => 0.5}}), options);
		const running = transactions.map(async transaction => group.submit(transaction));
		await clock.tickAsync(longAfter);
		return {table, outcomes: await Promise.all(running), counts: group.counts};
	} finally {
		clock.uninstall();
	}
}

const keys = (count: number) => Array.from({length: count}, (_, index) => `claim/${index}`);

const cases: Array<{
	name: string; transactions: Transaction[]; before?: string[]; faults?: Partial<FaultSettings>; options?: GroupCommitOptions;
	outcomes: string[]; batches: number;
}> = [
	{
		name: 'independent transactions share a batch', transactions: keys(3).map(key => create(key)), outcomes: ['committed', 'committed', 'committed'], batches: 1,
	},
	{
		name: 'a conflict fails its own transaction alone', transactions: keys(3).map(key => create(key)), before: ['claim/1'], outcomes: ['committed', 'conflict', 'committed'], batches: 2,
	},
	{
		name: 'all conflicts are found in one batch', transactions: keys(3).map(key => create(key)), before: keys(3), outcomes: ['conflict', 'conflict', 'conflict'], batches: 1,
	},
	{
		name: 'of two that create one key the first wins', transactions: [create('claim/0'), create('claim/0')], outcomes: ['committed', 'conflict'], batches: 2,
	},
	{
		name: 'a condition that none writes is shared',
		transactions: keys(2).map(key => ({conditions: [{key: 'lease/absent', version: 0}], writes: [put(key)]})),
		outcomes: ['committed', 'committed'],
		batches: 1,
	},
	{
		name: 'the limit of items is kept',
		transactions: keys(5).map(key => create(key)),
		options: {maximumItems: 2},
		outcomes: ['committed', 'committed', 'committed', 'committed', 'committed'],
		batches: 3,
	},
	{
		name: 'a lost answer is settled for all', transactions: keys(2).map(key => create(key)), faults: {loseAnswers: 1}, outcomes: ['committed', 'committed'], batches: 1,
	},
	{
		name: 'a lost request is fenced and its halves go again', transactions: keys(2).map(key => create(key)), faults: {loseRequests: 1}, outcomes: ['committed', 'committed'], batches: 3,
	},
	{
		name: 'a lost request of one transaction is told', transactions: [create('claim/0')], faults: {loseRequests: 1}, outcomes: ['fenced'], batches: 1,
	},
	{
		name: 'an outage refuses all', transactions: keys(2).map(key => create(key)), faults: {down: true}, outcomes: ['refused', 'refused'], batches: 1,
	},
	{
		name: 'an answer that stays unknown is told to all', transactions: keys(2).map(key => create(key)), faults: {frozenUntil: longAfter * 2}, outcomes: ['unknown', 'unknown'], batches: 1,
	},
];

for (const {name, transactions, before, faults, options, outcomes, batches} of cases) {
	test.serial(`group commit: ${name}`, async t => {
		const seen = await commitAll(transactions, {faults, options, before});
		t.deepEqual(seen.outcomes.map(({outcome}) => outcome), outcomes);
		t.is(seen.counts.batches, batches);
	});
}

test.serial('group commit: each transaction gets its own versions and conflicts', async t => {
	const {table, outcomes: [first, second]} = await commitAll([create('a'), create('b')], {before: ['b']});
	const [a] = table.inspect('a');
	t.like(first, {outcome: 'committed', versions: {a: a!.version}});
	t.like(second, {outcome: 'conflict', conflicts: [{key: 'b', value: 1}]});
});

const transactions = fc.array(
	fc.record({key: fc.nat({max: 5}), onlyIfAbsent: fc.boolean()}),
	{minLength: 1, maxLength: 30},
);

const faultSettings = fc.record({
	loseAnswerProbability: fc.constantFrom(0, 0.3, 0.9, 1),
	lateEffect: fc.constantFrom(0, 300),
	loseRequests: fc.nat({max: 2}),
	slow: fc.constantFrom(0, 5, 2500),
});

test.serial('group commit: what is told agrees with the table, under lost answers', async t => {
	const seen = new Set<string>();
	await fc.assert(fc.asyncProperty(transactions, faultSettings, async (steps, faults) => {
		const {table, outcomes} = await commitAll(steps.map(({key, onlyIfAbsent}, index) => ({
			conditions: onlyIfAbsent ? [{key: `shared/${key}`, version: 0}] : [],
			writes: [put(`shared/${key}`, index), put(`own/${index}`)],
		})), {faults});
		for (const [index, {outcome}] of outcomes.entries()) {
			seen.add(outcome);
			const present = table.inspect('own/').some(item => item.key === `own/${index}`);
			if (outcome !== 'unknown' && present !== (outcome === 'committed')) {
				throw new Error(`transaction ${index} was told as ${outcome}`);
			}
		}
	}), {seed: 20_261_203, numRuns: 200});
	t.deepEqual([...seen].toSorted(), ['committed', 'conflict', 'fenced', 'unknown']);
});
