import fakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {hashPosition} from '../../placement/hash-position.js';
import type {EngineRecord} from '../../serving/model.js';
import {EventLog} from '../../telemetry/log.js';
import {confirmationTimes} from '../confirmation-times.js';
import {EngineCatalogue} from '../engine-catalogue.js';
import {type RowChange, type RowSource, StoreError} from '../row-source.js';
import type {PeerStatus} from '../store-watcher-selection.js';
import {TableReplica} from '../table-replica.js';
import {TableReplication} from '../table-replication.js';
import {TableWatch} from '../table-watch.js';

const log = new EventLog({write: () => undefined});

const changeLimit = 3000;
const responseTimeout = 1000;

/** Addresses of a large fleet in the order in which they are elected; the last one follows. */
const addresses = Array.from({length: 40}, (_, index) => `10.0.0.${index + 1}`).toSorted((one, other) => hashPosition(one) - hashPosition(other));
const ip = addresses.at(-1)!;

function decode(id: string): EngineRecord {
	return {
		id, service: 'llm', host: '127.0.0.1', port: 1, address: '127.0.0.1:1', failureDomain: 'a', slots: 1, state: 'ready', startedAt: 1,
	};
}

/** Store that answers or refuses all calls. */
class RefusingSource implements RowSource {
	readonly responseTimeout = responseTimeout;
	isRefusing = false;
	rows: readonly RowChange[] = [{key: 'a', value: '1', removed: false}, {key: 'b', value: '1', removed: false}];

	async read() {
		if (this.isRefusing) {
			throw new StoreError('read', 'status 503');
		}

		return {rows: this.rows, version: 5, era: 1};
	}

	async pollChanges(_table: string, version: number, wait: number) {
		await new Promise<void>(resolve => {
			setTimeout(resolve, wait);
		});
		if (this.isRefusing) {
			throw new StoreError('poll', 'status 503');
		}

		return {rows: [], version, era: 1};
	}
}

const cases: Array<{name: string; hearsPeers: boolean; expected: string[]}> = [
	{name: 'while peers get answers', hearsPeers: true, expected: ['b']},
	{name: 'while nobody gets answers', hearsPeers: false, expected: ['a', 'b']},
];

// Guards against an outage that never ends for an instance that asked the store once, in vain: it would use each engine that leaves for longer.
for (const {name, hearsPeers, expected} of cases) {
	test.serial(`an engine whose entry is removed long after the store has refused this instance ${name}`, async t => {
		const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance']});
		const source = new RefusingSource();
		const catalogue = new EngineCatalogue({
			log, decode, drainLimit: changeLimit, onChange: () => undefined,
		});
		const tables = ['configuration', 'engines'].map(table => {
			const replica = new TableReplica({fingerprint: (_key, value) => value, listener: catalogue, onStoreChange: () => undefined});
			const watch = new TableWatch({
				source, table, log, listener: replica, pollWait: () => 1000, watcherCount: () => 1, canPeersReachStore: () => true, random: () => 0,
			});
			return {name: table, replica, watch};
		});
		let confirmedAt = 0;
		const peers = (): PeerStatus[] => addresses.slice(0, -1).map((address, index) => ({
			ip: address, lastMessageAt: performance.now(), isStoreWatcher: index < 5, canReachStore: index < 5, confirmedAt: [confirmedAt, confirmedAt],
		}));
		const replication = new TableReplication({
			tables: [tables[0]!, tables[1]!], ip, log, peers, changeLimit, confirmationTimes: confirmationTimes({changeLimit, stabilityWindow: 4000}),
			async fetchSnapshot() {
				throw new StoreError('fetch', 'not in this test');
			},
			onStoreReached: () => undefined, onPeerOutage: () => undefined, onEra: () => undefined, isRecoveringFromOutage: () => false, random: () => 1,
		});
		t.teardown(() => {
			replication.close();
			catalogue.close();
			clock.uninstall();
		});
		replication.start();
		await clock.tickAsync(500);
		t.deepEqual(catalogue.ready('llm').map(({id}) => id), ['a', 'b']);

		source.isRefusing = true;
		await clock.tickAsync(4000);
		const refreshing = setInterval(() => {
			confirmedAt = hearsPeers ? performance.now() : 0;
		}, 100);
		t.teardown(() => {
			clearInterval(refreshing);
		});
		await clock.tickAsync(5000);
		catalogue.onChanges([{key: 'a', value: undefined, removed: true}], {era: 1, version: 9}, 'peer');
		t.deepEqual(catalogue.ready('llm').map(({id}) => id), expected);
	});
}
