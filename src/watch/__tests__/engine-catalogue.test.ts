import fakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type {EngineRecord} from '../../serving/model.js';
import {EventLog} from '../../telemetry/log.js';
import {EngineCatalogue} from '../engine-catalogue.js';
import type {RowChange} from '../row-source.js';

function decode(id: string, value: string): EngineRecord {
	if (value === 'odd') {
		throw new TypeError('no address');
	}

	const [state, startedAt] = value.split(' ');
	return {
		id, service: 'llm', host: '127.0.0.1', port: 1, address: '127.0.0.1:1', failureDomain: 'a', slots: 1, state: state === 'draining' ? 'draining' : 'ready',
		startedAt: Number(startedAt ?? 0),
	};
}

function catalogue() {
	const changes: Array<[string, boolean]> = [];
	const engines = new EngineCatalogue({
		log: new EventLog({write: () => undefined}), decode,
		onChange(id, record) {
			changes.push([id, record !== undefined]);
		},
	});
	const ready = () => engines.ready('llm').map(({id}) => id);
	return {engines, changes, ready};
}

function rows(entries: Record<string, string | undefined>): RowChange[] {
	return Object.entries(entries).map(([key, value]) => ({key, value, removed: value === undefined}));
}

test('engines that drain, are gone or cannot be read get no new work; the others do', t => {
	const {engines, ready} = catalogue();
	engines.onSnapshot(rows({
		a: 'ready', b: 'ready', c: 'ready', d: 'odd',
	}), false);
	t.deepEqual(ready(), ['a', 'b', 'c']);

	engines.onChanges(rows({a: 'draining', b: undefined, c: 'odd'}));

	t.deepEqual(ready(), []);
});

test('an engine that is missing from a whole table gets no new work', t => {
	const {engines, ready} = catalogue();
	engines.onSnapshot(rows({a: 'ready', b: 'ready'}), false);
	engines.onSnapshot(rows({b: 'ready'}), false);

	t.deepEqual(ready(), ['b']);
});

test('an engine that starts again under its id is told of', t => {
	const {engines, changes} = catalogue();
	engines.onSnapshot(rows({a: 'ready 1'}), false);
	engines.onChanges(rows({a: 'ready 1'}));
	t.is(changes.length, 1);
	engines.onChanges(rows({a: 'ready 2'}));
	t.is(changes.length, 2);
});

test.serial('entries that lapsed in an outage are kept for two seconds after it', t => {
	const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout']});
	t.teardown(() => {
		clock.uninstall();
	});
	const {engines, ready} = catalogue();
	engines.onSnapshot(rows({a: 'ready', b: 'ready'}), false);
	engines.onStoreUnavailable('no answer');
	clock.tick(5000);
	engines.onSnapshot([], true);
	t.deepEqual(ready(), ['a', 'b']);

	clock.tick(1000);
	engines.onChanges(rows({a: 'ready'}));
	clock.tick(1100);
	t.deepEqual(ready(), ['a']);
	engines.onChanges(rows({a: undefined}));
	t.deepEqual(ready(), [], 'the outage is over');
});

test.serial('an outage that a peer tells of keeps entries as well', t => {
	const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout']});
	t.teardown(() => {
		clock.uninstall();
	});
	const {engines, ready} = catalogue();
	engines.onSnapshot(rows({a: 'ready'}), false);
	engines.onPeerOutage();
	t.false(engines.isRecoveringFromOutage, 'it is not told on, or two instances would tell each other for ever');
	engines.onChanges(rows({a: undefined}));
	t.deepEqual(ready(), ['a']);
	clock.tick(2100);
	t.deepEqual(ready(), []);
});
