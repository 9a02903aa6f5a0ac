import test from 'ava';
import fc from 'fast-check';
import {planDivision} from '../division.js';
import {rendezvousOrder, allocateEnginesToTiers, type PrefillDemandByTier} from '../tiers.js';

const cases: Array<{name: string; engines: number; work: PrefillDemandByTier; expected: (sizes: PrefillDemandByTier) => boolean}> = [
	{
		name: 'no work at all', engines: 15, work: {short: 0, medium: 0, long: 0}, expected: ({short, long}) => short >= 4 && long >= 1,
	},
	{
		name: 'long work only', engines: 15, work: {short: 0, medium: 0, long: 100_000}, expected: ({short, long}) => short >= 1 && long >= 13,
	},
	{
		name: 'short work only', engines: 20, work: {short: 10_000, medium: 0, long: 0}, expected: ({short, long}) => short >= 17 && long >= 1,
	},
];

for (const {name, engines, work, expected} of cases) {
	test(`sizes of the tiers: ${name}`, t => {
		t.true(expected(allocateEnginesToTiers(engines, work)));
	});
}

test('sizes always add up, and short and long work always keep an engine', t => {
	const work = fc.double({min: 0, max: 1e7, noNaN: true});
	t.notThrows(() => {
		fc.assert(fc.property(fc.integer({min: 2, max: 600}), work, work, work, (engines, short, medium, long) => {
			const sizes = allocateEnginesToTiers(engines, {short, medium, long});
			return sizes.short + sizes.medium + sizes.long === engines && sizes.short >= 1 && sizes.long >= 1 && sizes.medium >= 0;
		}));
	});
});

test('an engine that leaves moves no other in the order', t => {
	const names = Array.from({length: 30}, (_, index) => `engine-${index}`);
	const order = rendezvousOrder('pool', names);
	t.deepEqual(rendezvousOrder('pool', names.toReversed().filter(name => name !== 'engine-7')), order.filter(name => name !== 'engine-7'));
});

test('every message is in exactly one part, and all parts fit', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 60_000}), {minLength: 3, maxLength: 200}), messageTokens => {
			const capacity = 200_000;
			const plan = planDivision({messageTokens, capacity, answerTokens: 1000});
			if (!plan) {
				return true;
			}

			const repeated = plan.sharedPrefix.tokens + plan.finalMessage.tokens;
			const boundaries = [1, ...plan.parts.map(({end}) => end)];
			return plan.parts.every(({first, tokens}, index) => first === boundaries[index] && tokens + repeated + plan.partAnswerTokens <= capacity)
				&& boundaries.at(-1) === messageTokens.length - 1;
		}));
	});
});

test('a message larger than an engine cannot be divided', t => {
	t.is(planDivision({messageTokens: [10, 300_000, 10], capacity: 200_000, answerTokens: 100}), undefined);
});
