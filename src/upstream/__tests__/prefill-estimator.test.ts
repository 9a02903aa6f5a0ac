import test from 'ava';
import {PrefillEstimator} from '../prefill-estimator.js';

test('prefill times of observed lengths are learnt, and those between follow', t => {
	const rate = new PrefillEstimator();
	for (let round = 0; round < 200; round++) {
		rate.observePrefill(2000, 0, 20);
		rate.observePrefill(200_000, 0, 6000);
	}

	t.true(Math.abs(rate.prefillTime(2000) - 20) < 2);
	t.true(Math.abs(rate.prefillTime(200_000) - 6000) < 300);
	t.true(rate.prefillTime(20_000) > rate.prefillTime(2000));
	t.is(rate.prefillTime(2000, 2000), 0);
});

test('one observation that contains a long wait moves the estimate little', t => {
	const rate = new PrefillEstimator();
	for (let round = 0; round < 50; round++) {
		rate.observePrefill(2000, 0, 100);
	}

	rate.observePrefill(2000, 0, 60_000);
	t.true(rate.prefillTime(2000) < 110);
});

const interleavingCases: Array<{name: string; progressed: boolean; expected: (blocking: number) => boolean}> = [
	{name: 'interleaves', progressed: true, expected: blocking => blocking < 0.1},
	{name: 'finishes what it has begun', progressed: false, expected: blocking => blocking > 0.9},
];

for (const {name, progressed, expected} of interleavingCases) {
	test(`an engine that ${name} is recognised`, t => {
		const rate = new PrefillEstimator();
		for (let round = 0; round < 40; round++) {
			rate.observeInterleaving(progressed);
		}

		t.true(expected(rate.blockingFraction));
	});
}

test('the fixed delay of a very short prompt is not taken for the speed of long ones', t => {
	const untaught = new PrefillEstimator();
	const rate = new PrefillEstimator();
	rate.observePrefill(18, 0, 100);
	t.true(rate.prefillTime(40_000) <= untaught.prefillTime(40_000) + 100, `expected ${rate.prefillTime(40_000)} ms`);
});
