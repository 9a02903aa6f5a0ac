import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {CarobquayError} from '../../errors/errors.js';
import type {FaultSettings} from '../../platform/memory/faults.js';
import {idempotencyItemKey, type Deferred} from '../item.js';
import {
	answerOf, DeferredBench, keepTime, leaseTime, type DeferredInstance,
} from './support.js';

/** Time in milliseconds in which the lease of a dead owner expires and its requests are taken over. */
const takeover = 2 * leaseTime;

function installClock(): Clock {
	return fakeTimers.install({
		toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'], now: Date.UTC(2026, 2, 1),
	});
}

function pauseClock(t: ExecutionContext): Clock {
	const clock = installClock();
	t.teardown(() => {
		clock.uninstall();
	});
	return clock;
}

/** Waits for a promise while the clock goes on. */
async function within<Result>(clock: Clock, duration: number, promise: Promise<Result>): Promise<Result> {
	const settled = Promise.allSettled([promise]);
	await clock.tickAsync(duration);
	await settled;
	return promise;
}

/** Whether a request ended with its own whole answer. */
async function isAnsweredWhole({objects}: DeferredBench, {id, ending}: Deferred): Promise<boolean> {
	const answer = ending?.outcome === 'answered' ? await objects.get(ending.answerKey) : undefined;
	return answer !== undefined && Buffer.from(answer).toString('utf8') === answerOf(id, Buffer.from(`bundle of ${id}`));
}

test.serial('scenario: a bundle review whose owner dies twice is answered whole by the third', async t => {
	const clock = pauseClock(t);
	const bench = new DeferredBench();
	const owners = ['first', 'second', 'third'].map(name => bench.instance(name));
	await clock.tickAsync(leaseTime);
	t.is(await within(clock, 100, owners[0]!.accept('review')), 'review');
	for (const death of [1, 2]) {
		await clock.tickAsync(1000); // eslint-disable-line no-await-in-loop
		const owner = owners.find((_, index) => ['first', 'second', 'third'][index] === bench.items()[0]!.owner)!;
		t.is(bench.items()[0]!.attempt, death);
		t.is(bench.items()[0]!.state, 'running');
		owner.die();
		while (bench.items()[0]!.attempt === death) {
			await clock.tickAsync(100); // eslint-disable-line no-await-in-loop
			t.true(Date.now() < Date.UTC(2026, 2, 1) + (5 * takeover));
		}
	}

	await clock.tickAsync(10_000);
	const [item] = bench.items();
	t.like(item, {state: 'ended', attempt: 3});
	t.true(await isAnsweredWhole(bench, item!));
});

const endings: Array<{
	name: string; options?: Partial<Deferred>; failure?: CarobquayError; dies?: boolean; pause?: number; outage?: Partial<FaultSettings>;
	ending: Record<string, unknown>; runs: number;
}> = [
	{name: 'no fault', ending: {outcome: 'answered'}, runs: 1},
	{
		name: 'its owner dies', dies: true, ending: {outcome: 'answered'}, runs: 2,
	},
	{
		name: 'its owner dies and it is non-idempotent', dies: true, options: {nonIdempotent: true}, ending: {outcome: 'failed', code: '4008', ran: 'unknown'}, runs: 1,
	},
	{
		name: 'its owner is paused past its lease and comes back', pause: 3 * leaseTime, ending: {outcome: 'answered'}, runs: 2,
	},
	{
		name: 'engines refuse it until its deadline', failure: new CarobquayError('3002', {message: 'full'}), ending: {outcome: 'failed', code: '4001', ran: 'no'}, runs: 300,
	},
	{
		name: 'it fits no engine', failure: new CarobquayError('3003', {message: 'too long'}), ending: {outcome: 'failed', code: '3003', ran: 'no'}, runs: 1,
	},
	{
		name: 'its deadline passes while its owner is dead', dies: true, options: {deadline: Date.UTC(2026, 2, 1) + leaseTime + 8000},
		ending: {outcome: 'failed', code: '4001', ran: 'unknown'}, runs: 1,
	},
	{
		name: 'the table is down for a minute', outage: {down: true}, ending: {outcome: 'answered'}, runs: 1,
	},
];

for (const {
	name, options, failure, dies, pause, outage, ending, runs,
} of endings) {
	test.serial(`a deferred request, ${name}: ${Object.values(ending).join(', ')}`, async t => {
		const clock = pauseClock(t);
		const bench = new DeferredBench();
		bench.failure = failure;
		const [owner, other] = [bench.instance('owner'), bench.instance('other')];
		await clock.tickAsync(leaseTime);
		await within(clock, 1000, owner.accept('review', options));
		bench.table.faults.set(outage ?? {});
		if (dies) {
			owner.die();
		}

		owner.pause(pause ?? 0);
		await clock.tickAsync(60_000);
		bench.table.faults.clear();
		await clock.tickAsync(300_000);
		const [item] = bench.items();
		t.like(item, {state: 'ended', ending});
		t.true(bench.runs.get('review')! <= runs);
		t.is(item!.ending?.outcome === 'answered', await isAnsweredWhole(bench, item!));
		const ends = [...owner.events, ...other.events].filter(event => event.startsWith('ended'));
		t.is(ends.length, 1, 'ended by one owner');
	});
}

const lateWrites: Array<{write: string; frozenAfter: number; isTold: boolean}> = [
	{write: 'acceptance', frozenAfter: 0, isTold: false},
	{write: 'ending', frozenAfter: 4000, isTold: true},
];

for (const {write, frozenAfter, isTold} of lateWrites) {
	test.serial(`the table is frozen and the ${write} takes effect after all attempts to settle it: ended once`, async t => {
		const clock = pauseClock(t);
		const bench = new DeferredBench();
		const owner = bench.instance('owner');
		await clock.tickAsync(leaseTime);
		setTimeout(() => {
			bench.table.faults.set({frozenUntil: performance.now() + 30_000});
		}, frozenAfter);
		await clock.tickAsync(frozenAfter === 0 ? 1 : 0);
		const accepted = new Set<string>();
		await within(clock, 120_000, acceptInto(accepted, owner, {id: 'review', nonIdempotent: false}));
		t.is(accepted.size === 1, isTold);
		t.true(await isAnsweredWhole(bench, bench.items()[0]!));
		t.is(owner.events.filter(event => event.startsWith('ended')).length, 1);
	});
}

test.serial('an idempotency key gives one request, wherever it is asked for, and is refused for another body', async t => {
	const clock = pauseClock(t);
	const bench = new DeferredBench();
	const [first, other] = [bench.instance('first'), bench.instance('other')];
	await clock.tickAsync(leaseTime);
	const options = {idempotencyItem: idempotencyItemKey('advokaat', 'key')};
	const body = Buffer.from('bundle');
	const accept = async ({task}: DeferredInstance, id: string, bytes: Uint8Array) => task.accept({
		id, customer: 'advokaat', requestClass: 'review', nonIdempotent: false, admittedAt: 0, deadline: Date.now() + 60_000, ...options,
	}, bytes);
	const ids = await within(clock, 1000, Promise.all([accept(first, 'a', body), accept(other, 'b', body)]));
	t.is(new Set(ids).size, 1);
	t.is(await within(clock, 1000, accept(other, 'c', body)), ids[0]);
	const error = await t.throwsAsync(within(clock, 1000, accept(first, 'd', Buffer.from('another'))), {instanceOf: CarobquayError});
	t.is(error?.code, '1011');
	t.is(bench.items().length, 1);
});

test.serial('an ended request is kept for its time and found by its own customer alone', async t => {
	const clock = pauseClock(t);
	const bench = new DeferredBench();
	const owner = bench.instance('owner');
	await clock.tickAsync(leaseTime);
	await within(clock, 10_000, owner.accept('review'));
	const found = await within(clock, 10, owner.task.read('review', 'advokaat'));
	t.is(found?.state, 'ended');
	t.is(await within(clock, 10, owner.task.read('review', 'other')), undefined);
	await clock.tickAsync(keepTime - 30_000);
	t.is(bench.items().length, 1);
	await clock.tickAsync(30_000 + leaseTime);
	t.deepEqual(bench.items(), []);
	t.deepEqual(await bench.objects.list('deferred-'), []);
});

test.serial('nothing is accepted without a lease, nor while the table or the object store is down', async t => {
	const clock = pauseClock(t);
	const bench = new DeferredBench();
	bench.table.faults.set({down: true});
	const owner = bench.instance('owner');
	await clock.tickAsync(100);
	await t.throwsAsync(within(clock, 1000, owner.accept('a')), {message: /holds no lease/v});
	bench.table.faults.clear();
	await clock.tickAsync(leaseTime);
	bench.objects.faults.set({down: true});
	await t.throwsAsync(within(clock, 1000, owner.accept('b')), {instanceOf: CarobquayError});
	bench.objects.faults.clear();
	bench.table.faults.set({down: true});
	await t.throwsAsync(within(clock, 1000, owner.accept('c')), {instanceOf: CarobquayError});
	t.deepEqual(bench.items(), []);
});

type Disturbance = {at: number; instance: number; kind: 'die' | 'pause'; length: number};
type Scenario = {
	seed: number;
	faults: Partial<FaultSettings>;
	duration: number;
	requests: Array<{at: number; instance: number; nonIdempotent: boolean}>;
	disturbances: Disturbance[];
};

const scenarios: fc.Arbitrary<Scenario> = fc.record({
	seed: fc.integer({min: 1, max: 1_000_000}),
	faults: fc.record({loseAnswerProbability: fc.constantFrom(0, 0.2, 0.5), slow: fc.constantFrom(0, 20, 1500), lateEffect: fc.constantFrom(0, 400)}),
	duration: fc.constantFrom(500, 8000, 40_000),
	requests: fc.array(fc.record({at: fc.nat({max: 40}), instance: fc.nat({max: 2}), nonIdempotent: fc.boolean()}), {minLength: 1, maxLength: 4}),
	disturbances: fc.array(fc.record({
		at: fc.nat({max: 80}), instance: fc.nat({max: 2}), kind: fc.constantFrom('die' as const, 'pause' as const), length: fc.constantFrom(3000, 15_000, 40_000),
	}), {maxLength: 5}),
});

/** Notes a request whose caller was told of its acceptance. */
async function acceptInto(accepted: Set<string>, instance: DeferredInstance, {id, nonIdempotent}: {id: string; nonIdempotent: boolean}): Promise<void> {
	try {
		accepted.add(await instance.accept(id, {nonIdempotent}));
	} catch (error) {
		if (!(error instanceof CarobquayError)) {
			throw error;
		}
	}
}

/** Runs a scenario second by second; the last instance never dies. */
async function runScenario(clock: Clock, {seed, faults, duration, requests, disturbances}: Scenario) {
	const bench = new DeferredBench(seed);
	bench.duration = duration;
	const instances = ['first', 'second', 'third'].map(name => bench.instance(name));
	await clock.tickAsync(leaseTime);
	bench.table.faults.set(faults);
	const accepted = new Set<string>();
	const ended = new Map<string, string>();
	for (let time = 0; time < 500; time++) {
		for (const [index, {at, instance, nonIdempotent}] of requests.entries()) {
			if (at === time) {
				void acceptInto(accepted, instances[instance]!, {id: `review-${index}`, nonIdempotent});
			}
		}

		for (const {at, instance, kind, length} of disturbances) {
			if (at === time && kind === 'pause') {
				instances[instance]!.pause(length);
			} else if (at === time && instance < 2) {
				instances[instance]!.die();
			}
		}

		if (time === 120) {
			bench.table.faults.clear();
		}

		await clock.tickAsync(1000); // eslint-disable-line no-await-in-loop
		checkEndings(bench, ended);
	}

	return {bench, accepted};
}

/** An ending, once written, never changes. */
function checkEndings(bench: DeferredBench, ended: Map<string, string>): void {
	for (const item of bench.items().filter(({state}) => state === 'ended')) {
		const ending = JSON.stringify(item);
		if ((ended.get(item.id) ?? ending) !== ending) {
			throw new Error(`${item.id} ended twice`);
		}

		ended.set(item.id, ending);
	}
}

test.serial('whatever dies, pauses or is lost, an accepted request never vanishes, ends once and is answered whole', async t => {
	const seen = new Map<string, number>();
	await fc.assert(fc.asyncProperty(scenarios, async scenario => {
		const clock = installClock();
		try {
			const {bench, accepted} = await runScenario(clock, scenario);
			const items = new Map(bench.items().map(item => [item.id, item]));
			for (const id of accepted) {
				if (!items.has(id)) {
					throw new Error(`${id} vanished`);
				}
			}

			for (const item of items.values()) {
				const outcome = item.ending?.outcome === 'failed' ? item.ending.code : item.state;
				seen.set(outcome, (seen.get(outcome) ?? 0) + 1);
				const isWhole = await isAnsweredWhole(bench, item); // eslint-disable-line no-await-in-loop
				if (item.ending === undefined || (item.ending.outcome === 'answered' && !isWhole)) {
					throw new Error(`${item.id} did not end whole: ${JSON.stringify(item)}`);
				}

				if (item.nonIdempotent && bench.runs.get(item.id)! > 1) {
					throw new Error(`${item.id} ran ${bench.runs.get(item.id)} times`);
				}
			}
		} finally {
			clock.uninstall();
		}
	}), {seed: 20_261_203, numRuns: 100});
	t.log(Object.fromEntries(seen));
	t.true(seen.has('ended') && seen.has('4008'));
});
