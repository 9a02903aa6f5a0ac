import fakeTimers from '@sinonjs/fake-timers';
import test, {type ExecutionContext} from 'ava';
import {
	HistoryLostError, type RowChange, type VersionedRows, type RowSource, StoreError,
} from '../row-source.js';
import {TableWatch} from '../table-watch.js';

const row: RowChange = {key: 'a', value: '1', removed: false};

/** Answers of a store, one for each call; the last one stands for all that follow. */
type Script = {read: Array<VersionedRows | Error>; feed: Array<VersionedRows | Error>};

function watching(t: ExecutionContext, script: Script, isHelped = false) {
	const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
	const calls: string[] = [];
	const told: string[] = [];
	const next = (name: 'read' | 'feed') => {
		calls.push(name);
		const answer = script[name].length > 1 ? script[name].shift()! : script[name][0]!;
		if (answer instanceof Error) {
			throw answer;
		}

		return answer;
	};

	const wait = async (time: number) => new Promise<void>(resolve => {
		setTimeout(resolve, time);
	});
	const source: RowSource = {
		async read() {
			await wait(5);
			return next('read');
		},
		async pollChanges(_table, _version, time) {
			await wait(time);
			return next('feed');
		},
	};
	const watch = new TableWatch({
		source, table: 'x', maximumPollWait: () => 1000, canPeersReachStore: () => isHelped, random: () => 0,
		listener: {
			onSnapshot(rows, regained) {
				told.push(`replaced ${rows.length}${regained ? ' regained' : ''}`);
			},
			onChanges(rows) {
				told.push(`changed ${rows.length}`);
			},
			onStoreUnavailable() {
				told.push('lost');
			},
		},
	});
	t.teardown(() => {
		watch.close();
		clock.uninstall();
	});
	void watch.run();
	return {
		clock, calls, told, watch,
	};
}

const whole: VersionedRows = {rows: [row], version: 5};
const nothing: VersionedRows = {rows: [], version: 6};

test.serial('reads the table once and then follows its feed', async t => {
	const {clock, calls, told} = watching(t, {read: [whole], feed: [nothing, {rows: [row], version: 7}, nothing]});
	await clock.tickAsync(4500);

	t.deepEqual(told, ['replaced 1', 'changed 1']);
	t.is(calls.filter(call => call === 'read').length, 1);
});

test.serial('reads the table again where the store has forgotten its history', async t => {
	const {clock, told} = watching(t, {read: [whole], feed: [new HistoryLostError('feed'), nothing]});
	await clock.tickAsync(1500);

	t.deepEqual(told, ['replaced 1', 'replaced 1']);
});

test.serial('an outage is told once, and so is its end; calls become rare meanwhile', async t => {
	const down = new StoreError('read', 'status 503');
	const {clock, told, calls} = watching(t, {read: [whole, ...Array.from({length: 8}, () => down), whole], feed: [down, nothing]});
	await clock.tickAsync(12_000);

	t.deepEqual(told, ['replaced 1', 'lost', 'replaced 1 regained']);
	t.true(calls.length < 24, `${calls.length} calls in 12 s`);
});

test.serial('while others reach the store, a store that turns this instance away is asked less often', async t => {
	const down = new StoreError('read', 'status 503');
	const alone = watching(t, {read: [down], feed: [down]});
	await alone.clock.tickAsync(20_000);
	alone.watch.close();
	alone.clock.uninstall();
	const helped = watching(t, {read: [down], feed: [down]}, true);
	await helped.clock.tickAsync(20_000);

	t.true(helped.calls.length * 2 < alone.calls.length, `${helped.calls.length} and ${alone.calls.length} calls`);
});

test.serial('an instance that does not follow makes no call, but for a refresh', async t => {
	const {clock, calls, watch} = watching(t, {read: [whole], feed: [nothing]});
	await clock.tickAsync(100);
	watch.setActive(false);
	await clock.tickAsync(5000);
	const before = calls.length;
	await clock.tickAsync(20_000);
	t.is(calls.length, before);

	watch.refresh();
	await clock.tickAsync(100);
	t.is(calls.length, before + 1);
	watch.setActive(true);
	await clock.tickAsync(1500);
	t.true(calls.length > before + 1);
});
