/**
 * The users' heaviest loads on modelled engines, with bounds from their targets.
 *
 * @module
 */
import test from 'ava';
import {
	alternatingBursts, type Deployment, deployments, drawLoad, type Phase,
} from '../../../bench/placement/load.js';
import {simulate} from '../../../bench/placement/simulation.js';

/** Length of a run in milliseconds: one day of the deployments. */
const duration = 34_000;

/** The targets are means over days, and so are the figures here. */
const seeds = [1, 3, 5, 7];

const calm: readonly Phase[] = [{from: 0, factors: [1, 1, 1]}];
const shortBurst: readonly Phase[] = [{from: 0, factors: [1, 1, 1]}, {from: 5000, factors: [2.5, 0.5, 0.05]}, {from: 15_000, factors: [1, 1, 1]}];
const longBurst: readonly Phase[] = [{from: 0, factors: [1, 1, 1]}, {from: 5000, factors: [0.35, 1.3, 2.9]}, {from: 15_000, factors: [1, 1, 1]}];

/** Bounds are the users' targets for the grown deployments, 0.51 and 0.67, and what a calm fleet owes its callers. */
const cases: Array<{name: string; deployment: Deployment; phases: readonly Phase[]; share: number; least: number; short: number}> = [
	{
		name: 'a calm load', deployment: deployments['veli-randevu'], phases: calm, share: 1, least: 0.95, short: 0.95,
	},
	{
		name: 'a burst of short prompts', deployment: deployments['veli-randevu'], phases: shortBurst, share: 1, least: 0.9, short: 0.9,
	},
	{
		name: 'a burst of long prompts beside short ones', deployment: deployments.kohtulugu, phases: longBurst, share: 1, least: 0.9, short: 0.9,
	},
	{
		name: 'bursts by turns on the grown fleet', deployment: deployments['kohtulugu-grown'], phases: alternatingBursts, share: 1, least: 0.67, short: 0.67,
	},
	{
		name: 'bursts by turns beyond the fleet\'s capacity', deployment: deployments['veli-randevu-grown'], phases: alternatingBursts, share: 1.4, least: 0.67, short: 0.51,
	},
];

for (const {name, deployment, phases, share, least, short} of cases) {
	test(`placement under ${name} (${deployment.name})`, t => {
		const results = seeds.map(seed => simulate({deployment, load: drawLoad(deployment, phases, {duration, share, seed})}));

		const worth = mean(results.map(result => result.worth));
		const shortWorth = mean(results.map(result => result.kinds.short?.worth ?? 0));
		t.true(worth >= least, `worth ${worth.toFixed(3)}, asked ${least}`);
		t.true(shortWorth >= short, `short prompts ${shortWorth.toFixed(3)}, asked ${short}`);
	});
}

test('the largest prompts, over one engine\'s memory, are served', t => {
	const deployment = deployments['kohtulugu-grown'];
	const kind = deployment.kinds[2]!;
	const load = Array.from({length: 8}, (_, id) => ({
		id, at: id * 4000, kind, tokens: 600_000, answerTokens: 800, hint: 800,
	}));

	const result = simulate({deployment, load});

	t.is(result.kinds[kind.name]?.onTime, 8);
});

function mean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
}
