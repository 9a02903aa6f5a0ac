/**
 * What the tests of the platform share.
 *
 * @module
 */
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {CarobquayError} from '../../errors/errors.js';
import {type Transaction} from '../table.js';

/** Time in milliseconds in which every call and late effect under a paused clock has ended. */
export const longAfter = 60_000;

export const put = (key: string, value: unknown = 1) => ({kind: 'put', key, value} as const);

/** Writes a key on the condition that it is absent. */
export const create = (key: string): Transaction => ({conditions: [{key, version: 0}], writes: [put(key)]});

/** Pauses the clock of the runtime until it is uninstalled. */
export function pauseClock(): Clock {
	return fakeTimers.install({toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'], now: 1_000_000_000_000});
}

/** Pauses the clock of the runtime until the test ends. */
export function pauseClockFor(t: {teardown: (callback: () => void) => void}): Clock {
	const clock = pauseClock();
	t.teardown(() => {
		clock.uninstall();
	});
	return clock;
}

/** "done", or the number of a call's error and whether the call ran. */
export async function told(call: Promise<unknown>): Promise<string> {
	try {
		await call;
		return 'done';
	} catch (error) {
		return error instanceof CarobquayError ? `${error.code} ${error.ran}` : String(error);
	}
}
