import test from 'ava';
import {PromptLengthEstimator} from '../prompt-length-estimator.js';

for (const bytesPerToken of [1.5, 3.9, 6]) {
	test(`a model with ${bytesPerToken} bytes per token is learnt, and its cautious estimate is not exceeded`, t => {
		const lengths = new PromptLengthEstimator();
		for (let round = 0; round < 300; round++) {
			const tokens = 1000 + (round * 100);
			lengths.observe('model', Math.round(tokens * bytesPerToken * (round % 2 === 0 ? 0.95 : 1.05)), tokens);
		}

		const actual = 100_000;
		const bytes = actual * bytesPerToken;
		t.true(Math.abs(lengths.expectedTokens('model', bytes) - actual) / actual < 0.03);
		t.true(lengths.conservativeTokens('model', bytes * 1.05) > actual * 1.05);
		t.true(lengths.meanRelativeError('model') < 0.08);
		t.true(lengths.conservativeTokens('model', bytes) < actual * 1.3);
	});
}
