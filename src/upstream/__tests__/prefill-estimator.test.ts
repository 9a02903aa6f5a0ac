import test from 'ava';
import {PrefillEstimator} from '../prefill-estimator.js';

test('prefill times of observed prompt lengths are learnt, and lengths between them are estimated from them', t => {
	const estimator = new PrefillEstimator();
	for (let round = 0; round < 200; round++) {
		estimator.observePrefill(2000, 0, 20);
		estimator.observePrefill(200_000, 0, 6000);
	}

	t.true(Math.abs(estimator.prefillTime(2000) - 20) < 2);
	t.true(Math.abs(estimator.prefillTime(200_000) - 6000) < 300);
	t.true(estimator.prefillTime(20_000) > estimator.prefillTime(2000));
	t.is(estimator.prefillTime(2000, 2000), 0);
});

test('a single observation that contains a long queueing time hardly changes the estimate', t => {
	const estimator = new PrefillEstimator();
	for (let round = 0; round < 50; round++) {
		estimator.observePrefill(2000, 0, 100);
	}

	estimator.observePrefill(2000, 0, 60_000);
	t.true(estimator.prefillTime(2000) < 110);
});

const interleavingCases: Array<{name: string; hasProgressed: boolean; isExpected: (blockingFraction: number) => boolean}> = [
	{name: 'interleaves other work with a prefill', hasProgressed: true, isExpected: fraction => fraction < 0.1},
	{name: 'finishes a prefill before other work', hasProgressed: false, isExpected: fraction => fraction > 0.9},
];

for (const {name, hasProgressed, isExpected} of interleavingCases) {
	test(`an engine that ${name} is recognized`, t => {
		const estimator = new PrefillEstimator();
		for (let round = 0; round < 40; round++) {
			estimator.observeInterleaving(hasProgressed);
		}

		t.true(isExpected(estimator.blockingFraction));
	});
}

test('the fixed overhead of a very short prompt does not count as the prefill speed of long ones', t => {
	const initialEstimator = new PrefillEstimator();
	const estimator = new PrefillEstimator();
	estimator.observePrefill(18, 0, 100);
	t.true(estimator.prefillTime(40_000) <= initialEstimator.prefillTime(40_000) + 100, `expected ${estimator.prefillTime(40_000)} ms`);
});
