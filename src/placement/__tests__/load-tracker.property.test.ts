/**
 * Reports of placements, first events and ends arrive in any order, more than once or not at all. Whatever arrives, no
 * load may be negative, and none may be left after the last placement has expired. `FUZZ_RUNS` sets the number of runs,
 * `FUZZ_SEED` the seed.
 *
 * @module
 */
import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {LoadTracker} from '../load-tracker.js';

const parameters = {numRuns: Number(process.env.FUZZ_RUNS ?? 200), seed: Number(process.env.FUZZ_SEED ?? 20_261_204)};

/** Time in milliseconds by which every placement has expired. */
const lastExpiry = 20_000;

const engineIds = ['e1', 'e2', 'e3'];
const key = fc.nat({max: 8}).map(sequence => `front-${sequence % 2}~1/${sequence}`);
const report = fc.record({
	at: fc.nat({max: 10_000}),
	kind: fc.constantFrom('placed', 'placed', 'started', 'ended', 'peer-lost', 'engine-lost', 'expired'),
	key,
	startDelay: fc.nat({max: 500}),
	lifetime: fc.nat({max: 10_000}),
	engines: fc.uniqueArray(fc.constantFrom(...engineIds), {minLength: 1, maxLength: 3}),
	prefillTime: fc.nat({max: 3000}),
});

test('no load is left after the last expiry, whatever reports arrive in whatever order', t => {
	fc.assert(fc.property(fc.array(report, {maxLength: 60}), reports => {
		const tracker = new LoadTracker();
		for (const one of reports.toSorted((first, second) => first.at - second.at)) {
			const now = one.at;
			switch (one.kind) {
				case 'placed': {
					tracker.add({
						key: one.key, eventGapTarget: 250, weight: 1, startsAt: now + one.startDelay, expiresAt: now + one.lifetime,
						assignments: one.engines.map((engineId, index) => ({
							engineId, prefillTime: one.prefillTime, kvCacheTokens: 100, runsDecode: index === 0,
						})),
					}, now);
					break;
				}

				case 'started': {
					tracker.completePrefill(one.key, now);
					break;
				}

				case 'ended': {
					tracker.remove(one.key, now);
					break;
				}

				case 'peer-lost': {
					tracker.removeAllOf(one.key.slice(0, one.key.indexOf('/') + 1), now);
					break;
				}

				case 'engine-lost': {
					tracker.removeEngine(one.engines[0]!);
					break;
				}

				case 'expired': {
					tracker.removeExpired(now);
					break;
				}
			}

			for (const engineId of engineIds) {
				const {prefillBacklog, longestPrefill, running, kvCacheTokens} = tracker.snapshot(engineId, now);
				t.true(prefillBacklog >= 0 && longestPrefill >= 0 && running >= 0 && kvCacheTokens >= 0);
			}
		}

		tracker.removeExpired(lastExpiry);
		t.is(tracker.size, 0);
		for (const engineId of engineIds) {
			// A prefill that never completed may leave its share of the queue until it is over.
			const {longestPrefill, running, kvCacheTokens} = tracker.snapshot(engineId, lastExpiry);
			t.deepEqual([longestPrefill, running, kvCacheTokens], [0, 0, 0]);
			t.is(tracker.snapshot(engineId, lastExpiry + 1).prefillBacklog, 0);
		}
	}), parameters);
});
