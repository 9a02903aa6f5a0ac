import fakeTimers from '@sinonjs/fake-timers';
import test, {type ExecutionContext} from 'ava';
import {EventLog} from '../../telemetry/log.js';
import {divideLimit, EngineRateLimits} from '../engine-rate-limits.js';

/** The platform's rule: no window of so many seconds holds more than this. */
const windowLength = 4;

function allowedInWindow(limit: number): number {
	return (1.5 * limit * windowLength) + 5;
}

function instancesOf(count: number): string[] {
	return Array.from({length: count}, (_, index) => `10.0.${Math.floor(index / 250)}.${index % 250}`);
}

function createLimits(ownIp: string, users: () => readonly string[]) {
	return new EngineRateLimits({ownIp, users, log: new EventLog({write: () => undefined})});
}

function installClock(t: ExecutionContext) {
	const clock = fakeTimers.install({toFake: ['performance']});
	t.teardown(() => {
		clock.uninstall();
	});
	return clock;
}

for (const count of [1, 2, 8, 71, 350]) {
	for (const limit of [0.5, 1.3, 1.8, 20]) {
		test(`the shares of ${count} instances stay within a limit of ${limit} a second`, t => {
			const {owners, burst} = divideLimit('e', limit, instancesOf(count));

			t.true((owners.length * burst) + (limit * windowLength) <= allowedInWindow(limit));
			t.true(owners.length * burst >= 1);
		});
	}
}

// Guards against instances that each take the limit for their own, and against bursts of many of them at once.
for (const count of [1, 3, 8, 195]) {
	for (const limit of [0.5, 1.8, 12]) {
		test.serial(`${count} instances that always have requests send an engine at most its limit of ${limit} a second, and about as much`, t => {
			const clock = installClock(t);
			const users = instancesOf(count);
			const all = users.map(ip => createLimits(ip, () => users));
			for (const one of all) {
				one.recordResponse('e', limit, performance.now());
			}

			const sentAt: number[] = [];
			while (performance.now() < 30_000) {
				clock.tick(50);
				for (const one of all) {
					if (one.timeUntilRoom('e', performance.now()) === 0) {
						one.recordRequest('e', performance.now());
						sentAt.push(performance.now() / 1000);
					}
				}
			}

			const mostInWindow = Math.max(...sentAt.map((end, index) => index + 1 - sentAt.findIndex(at => at > end - windowLength)));
			t.true(mostInWindow <= allowedInWindow(limit), `${mostInWindow} requests in ${windowLength} s`);
			t.true(sentAt.length >= limit * 30 * 0.7, `${sentAt.length} requests in 30 s`);
		});
	}
}

// Guards against a share that is used twice when an instance dies and another one takes it over.
test.serial('an instance that takes a share over begins without a request to send', t => {
	const clock = installClock(t);
	const users = instancesOf(30);
	const {owners} = divideLimit('e', 1.8, users);
	let live: readonly string[] = users;
	const remaining = users.filter(ip => ip !== owners[0]);
	const heir = divideLimit('e', 1.8, remaining).owners.find(ip => !owners.includes(ip))!;
	const limits = createLimits(heir, () => live);
	limits.recordResponse('e', 1.8, performance.now());
	clock.tick(9000);
	t.is(limits.timeUntilRoom('e', performance.now()), Number.POSITIVE_INFINITY);
	live = remaining;

	t.true(limits.timeUntilRoom('e', performance.now()) > 1000);
});

const statements: Array<{name: string; steps: Array<{after: number; limit: number | undefined; from?: 'peer'}>; expected: number | undefined}> = [
	{name: 'a response without a limit lifts it', steps: [{after: 0, limit: 2}, {after: 1000, limit: undefined}], expected: undefined},
	{name: 'a response without a limit that may have been sent before it was stated does not lift it', steps: [{after: 0, limit: 2}, {after: 100, limit: undefined}], expected: 2},
	{name: 'a later limit replaces an earlier one', steps: [{after: 0, limit: 2}, {after: 1000, limit: 3}], expected: 3},
	{name: 'a limit of a peer counts', steps: [{after: 0, limit: 2, from: 'peer'}], expected: 2},
	{name: 'a peer reports that the limit was lifted', steps: [{after: 0, limit: 2}, {after: 100, limit: undefined, from: 'peer'}], expected: undefined},
	{name: 'an engine that accepts nothing is asked now and then', steps: [{after: 0, limit: 0}], expected: 0.1},
];

for (const {name, steps, expected} of statements) {
	test.serial(name, t => {
		const clock = installClock(t);
		const limits = createLimits('10.0.0.1', () => ['10.0.0.1']);
		for (const {after, limit, from} of steps) {
			clock.tick(after);
			if (from === 'peer') {
				limits.recordReport('e', limit, performance.now());
			} else {
				limits.recordResponse('e', limit, performance.now());
			}
		}

		t.deepEqual(limits.limits, expected === undefined ? [] : [{engineId: 'e', limit: expected}]);
	});
}

// Guards against an engine that is never used again where the message that its limit was lifted was lost.
test.serial('instances without a share ask the engine again once the limit has not been stated for long', t => {
	const clock = installClock(t);
	const users = instancesOf(30);
	const other = users.find(ip => !divideLimit('e', 2, users).owners.includes(ip))!;
	const limits = createLimits(other, () => users);
	limits.recordReport('e', 2, performance.now());
	clock.tick(10_500);
	t.true(limits.timeUntilRoom('e', performance.now()) > 0);
	clock.tick(60_000);
	t.is(limits.timeUntilRoom('e', performance.now()), 0);
	t.true(limits.recordResponse('e', undefined, performance.now()));
	t.false(limits.isLimited('e'));
});

test.serial('a limit is reported when it is stated or changes, and otherwise once a second', t => {
	const clock = installClock(t);
	const limits = createLimits('10.0.0.1', () => ['10.0.0.1']);
	const reports = [2, 2, 2, 3, undefined].map(limit => {
		clock.tick(600);
		return limits.recordResponse('e', limit, performance.now());
	});

	t.deepEqual(reports, [true, false, true, true, true]);
});

// Guards against a share that never grows to a request, because each new statement begins it anew.
test.serial('an engine whose limit changes with each response is still used', t => {
	const clock = installClock(t);
	const limits = createLimits('10.0.0.1', () => ['10.0.0.1']);
	let sent = 0;
	for (let step = 0; step < 100; step++) {
		clock.tick(100);
		limits.recordResponse('e', 2 + (step % 2 / 100), performance.now());
		if (limits.timeUntilRoom('e', performance.now()) === 0) {
			limits.recordRequest('e', performance.now());
			sent += 1;
		}
	}

	t.true(sent >= 16, `${sent} requests in 10 s`);
});
