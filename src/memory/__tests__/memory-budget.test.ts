import test from 'ava';
import {MemoryBudget, type MemoryReservation, type MemorySource} from '../memory-budget.js';

const limits = {ceiling: 100, sources: {'unread-answers': 50}, ownerShares: {'request-heads': 0.75}};

type Step = {name: string; owner: string; bytes: number; source?: MemorySource; isPinned?: boolean};
type Case = {title: string; steps: readonly Step[]; refused: readonly string[]; givenUp: readonly string[]};

const cases: readonly Case[] = [
	{
		title: 'what fits is kept', refused: [], givenUp: [],
		steps: [{name: 'a', owner: 'one', bytes: 60}, {name: 'b', owner: 'two', bytes: 40}],
	},
	{
		title: 'an owner that uses most is refused', refused: ['b'], givenUp: [],
		steps: [{name: 'a', owner: 'one', bytes: 60}, {name: 'b', owner: 'one', bytes: 60}],
	},
	{
		title: 'the owner that uses most gives way to one that uses less, with its largest reservation', refused: [], givenUp: ['a2'],
		steps: [{name: 'a1', owner: 'one', bytes: 30}, {name: 'a2', owner: 'one', bytes: 40}, {name: 'b', owner: 'two', bytes: 30}, {name: 'c', owner: 'three', bytes: 20}],
	},
	{
		title: 'an owner that uses less does not give way', refused: ['b2'], givenUp: [],
		steps: [{name: 'a', owner: 'one', bytes: 40}, {name: 'b', owner: 'two', bytes: 50}, {name: 'b2', owner: 'two', bytes: 50}],
	},
	{
		title: 'a larger reservation gives way to a smaller one of its owner', refused: [], givenUp: ['a'],
		steps: [{name: 'a', owner: 'one', bytes: 90}, {name: 'b', owner: 'one', bytes: 20}],
	},
	{
		title: 'what has begun does not give way', refused: ['b'], givenUp: [],
		steps: [{
			name: 'a', owner: 'one', bytes: 90, isPinned: true,
		}, {name: 'b', owner: 'two', bytes: 20}],
	},
	{
		title: 'a source at its limit takes nothing from others', refused: ['c'], givenUp: [],
		steps: [
			{
				name: 'a', owner: 'one', bytes: 45, source: 'request-bodies',
			},
			{
				name: 'b', owner: 'two', bytes: 40, source: 'unread-answers',
			},
			{
				name: 'c', owner: 'two', bytes: 40, source: 'unread-answers',
			},
		],
	},
	{
		title: 'more than the ceiling is refused, and nobody gives way in vain', refused: ['b'], givenUp: [],
		steps: [{name: 'a', owner: 'one', bytes: 60}, {name: 'b', owner: 'two', bytes: 101}],
	},
	{
		title: 'nobody gives way in vain where others keep what is missing', refused: ['c'], givenUp: [],
		steps: [{
			name: 'a', owner: 'one', bytes: 50, isPinned: true,
		}, {name: 'b', owner: 'one', bytes: 40}, {name: 'c', owner: 'two', bytes: 60}],
	},
	{
		title: 'an owner leaves a share of a source to others', refused: ['b'], givenUp: [],
		steps: [
			{
				name: 'a', owner: 'one', bytes: 70, source: 'request-heads', isPinned: true,
			},
			{
				name: 'b', owner: 'one', bytes: 10, source: 'request-heads',
			},
			{
				name: 'c', owner: 'two', bytes: 25, source: 'request-heads',
			},
		],
	},
	{
		title: 'an owner at its share of a source takes nothing from others', refused: ['c'], givenUp: [],
		steps: [
			{
				name: 'a', owner: 'one', bytes: 20, source: 'request-heads',
			},
			{
				name: 'b', owner: 'two', bytes: 60, source: 'request-heads', isPinned: true,
			},
			{
				name: 'c', owner: 'two', bytes: 20, source: 'request-heads',
			},
		],
	},
];

for (const {title, steps, refused, givenUp} of cases) {
	test(`memory budget: ${title}`, t => {
		const budget = new MemoryBudget(limits);
		const actual = {refused: [] as string[], givenUp: [] as string[]};
		for (const {name, owner, bytes, source = 'request-bodies', isPinned = false} of steps) {
			const reservation = budget.reserve({
				source, owner, bytes, giveUp() {
					actual.givenUp.push(name);
				},
			});
			if (reservation === undefined) {
				actual.refused.push(name);
			} else if (isPinned) {
				reservation.pin();
			}
		}

		t.deepEqual(actual, {refused, givenUp});
		t.true(budget.total <= budget.ceiling);
	});
}

test('a reservation grows and shrinks, and returns its bytes once', t => {
	const budget = new MemoryBudget(limits);
	const reservation = budget.reserve({source: 'relayed-bytes', owner: 'one', bytes: 10})!;
	t.true(reservation.resize(90));
	t.false(reservation.resize(110));
	t.is(budget.usedBy('relayed-bytes'), 90);
	t.true(reservation.resize(20));
	reservation.release();
	reservation.release();
	t.is(budget.total, 0);
	t.false(reservation.resize(10), 'a released reservation cannot grow');
	t.deepEqual(budget.counts, {givenUp: 0, refused: 2});
});

// Guards against a budget that counts what was freed by a callback twice, or grants bytes to what it has just given up.
test('what is given up may release the reservation that asked', t => {
	const budget = new MemoryBudget(limits);
	budget.reserve({
		source: 'request-bodies', owner: 'one', bytes: 90, giveUp() {
			asking?.release();
		},
	});
	const asking: MemoryReservation | undefined = budget.reserve({source: 'request-bodies', owner: 'two', bytes: 5});
	t.false(asking!.resize(30));
	t.is(budget.total, 0);
});
