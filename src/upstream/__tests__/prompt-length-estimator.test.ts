import test from 'ava';
import {PromptLengthEstimator} from '../prompt-length-estimator.js';

for (const bytesPerToken of [1.5, 3.9, 6]) {
	test(`a ratio of ${bytesPerToken} bytes per token is learnt, and the conservative estimate is not exceeded`, t => {
		const estimator = new PromptLengthEstimator();
		for (let round = 0; round < 300; round++) {
			const tokens = 1000 + (round * 100);
			estimator.observe('model', Math.round(tokens * bytesPerToken * (round % 2 === 0 ? 0.95 : 1.05)), tokens);
		}

		const actual = 100_000;
		const bytes = actual * bytesPerToken;
		t.true(Math.abs(estimator.expectedTokens('model', bytes) - actual) / actual < 0.03);
		t.true(estimator.conservativeTokens('model', bytes * 1.05) > actual * 1.05);
		t.true(estimator.meanRelativeError('model') < 0.08);
		t.true(estimator.conservativeTokens('model', bytes) < actual * 1.3);
	});
}
