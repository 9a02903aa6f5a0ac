import test from 'ava';
import fc from 'fast-check';
import {planDivision} from '../division.js';
import {
	allocateEnginesToTiers, type EngineCountByTier, type PrefillDemandByTier, rendezvousOrder,
} from '../tiers.js';

const cases: Array<{name: string; engineCount: number; demand: PrefillDemandByTier; isExpected: (allocation: EngineCountByTier) => boolean}> = [
	{
		name: 'no demand', engineCount: 15, demand: {short: 0, medium: 0, long: 0}, isExpected: ({short, long}) => short >= 4 && long >= 1,
	},
	{
		name: 'only long prompts', engineCount: 15, demand: {short: 0, medium: 0, long: 100_000}, isExpected: ({short, long}) => short >= 1 && long >= 13,
	},
	{
		name: 'only short prompts', engineCount: 20, demand: {short: 10_000, medium: 0, long: 0}, isExpected: ({short, long}) => short >= 17 && long >= 1,
	},
];

for (const {name, engineCount, demand, isExpected} of cases) {
	test(`engines are allocated to tiers: ${name}`, t => {
		t.true(isExpected(allocateEnginesToTiers(engineCount, demand)));
	});
}

test('the engine counts of the tiers add up, and the short and the long tier keep at least one engine', t => {
	const demand = fc.double({min: 0, max: 1e7, noNaN: true});
	t.notThrows(() => {
		fc.assert(fc.property(fc.integer({min: 2, max: 600}), demand, demand, demand, (engineCount, short, medium, long) => {
			const allocation = allocateEnginesToTiers(engineCount, {short, medium, long});
			return allocation.short + allocation.medium + allocation.long === engineCount && allocation.short >= 1 && allocation.long >= 1 && allocation.medium >= 0;
		}));
	});
});

test('removing an engine does not change the order of the others', t => {
	const names = Array.from({length: 30}, (_, index) => `engine-${index}`);
	const order = rendezvousOrder('pool', names);
	t.deepEqual(rendezvousOrder('pool', names.toReversed().filter(name => name !== 'engine-7')), order.filter(name => name !== 'engine-7'));
});

test('every message between the first and the last is in exactly one part, and all parts fit', t => {
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

test('a prompt with a message larger than an engine cannot be divided', t => {
	t.is(planDivision({messageTokens: [10, 300_000, 10], capacity: 200_000, answerTokens: 100}), undefined);
});
