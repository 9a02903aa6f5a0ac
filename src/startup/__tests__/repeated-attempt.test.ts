/**
 * Attempts at the start of a process that are repeated.
 *
 * @module
 */
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {repeatUntilSuccess} from '../repeated-attempt.js';

const cases = [
	{
		name: 'the first attempt', failures: [], result: 'done', reported: [],
	},
	{
		name: 'an attempt after others', failures: ['a', 'a', 'b', 'a'], result: 'done', reported: ['a', 'b', 'a'],
	},
	{
		name: 'no attempt within the limit', failures: Array.from({length: 1000}, () => 'a'), result: 'a', reported: ['a'],
	},
	{
		name: 'no attempt, for a reason that stays', failures: ['final', 'a'], result: 'final', reported: [],
	},
	{
		name: 'no attempt before the end of the wait', failures: Array.from({length: 1000}, () => 'a'), result: 'stopped', abortAfter: 5000, reported: ['a'],
	},
] as const;

for (const {name, failures, result, reported, ...rest} of cases) {
	test.serial(`success of ${name}: each new failure is reported once`, async t => {
		const clock = FakeTimers.install();
		t.teardown(() => {
			clock.uninstall();
		});
		const seen: string[] = [];
		const stop = new AbortController();
		let attempts = 0;
		const running = repeatUntilSuccess({
			async attempt() {
				const failure = failures[attempts];
				attempts += 1;
				if (failure !== undefined) {
					throw new Error(failure);
				}

				return 'done';
			},
			isTemporary: error => error instanceof Error && error.message !== 'final', timeLimit: 30_000, signal: stop.signal, onFailure(error) {
				seen.push(error instanceof Error ? error.message : '');
			},
		}).catch((error: unknown) => error instanceof Error ? error.message : '');
		if ('abortAfter' in rest) {
			setTimeout(() => {
				stop.abort(new Error('stopped'));
			}, rest.abortAfter);
		}

		await clock.tickAsync(40_000);
		t.is(await running, result);
		t.deepEqual(seen, [...reported]);
		t.true(attempts < 200, 'the waits grow');
	});
}
