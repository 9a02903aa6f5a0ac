import test from 'ava';
import {EngineHealth} from '../engine-health.js';

/** Cooldown in milliseconds of a rejection, and that of a first failure. */
const rejection = 300;
const firstFailure = 1000;

const cases: Array<{name: string; before: (health: EngineHealth) => void; cooldown: number}> = [
	{name: 'no earlier event', before: () => undefined, cooldown: firstFailure},
	{
		name: 'a rejection, which is no failure',
		before(health) {
			health.startCooldown('e', rejection, 0);
		},
		cooldown: firstFailure,
	},
	{
		name: 'a failure that a peer reports',
		before(health) {
			health.startCooldown('e', firstFailure, 0);
		},
		cooldown: 2 * firstFailure,
	},
	{
		name: 'a failure of its own',
		before(health) {
			health.recordFailure('e', 0);
		},
		cooldown: 2 * firstFailure,
	},
];

for (const {name, before, cooldown} of cases) {
	test(`an engine that fails after ${name} cools down for ${cooldown} ms`, t => {
		const health = new EngineHealth();
		before(health);
		t.is(health.recordFailure('e', 100), cooldown);
	});
}

test('a rejection ends no cooldown that lasts longer', t => {
	const health = new EngineHealth();
	health.recordFailure('e', 0);
	health.startCooldown('e', rejection, 100);
	t.true(health.isCoolingDown('e', firstFailure - 1));
	t.false(health.isCoolingDown('e', firstFailure));
});
