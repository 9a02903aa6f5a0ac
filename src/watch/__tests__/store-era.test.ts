import fakeTimers from '@sinonjs/fake-timers';
import test, {type ExecutionContext} from 'ava';
import type {TableSnapshot} from '../../peers/table-transfer.js';
import {EventLog} from '../../telemetry/log.js';
import {
	type RowChange, type RowSource, StoreError, type VersionedRows,
} from '../row-source.js';
import type {StorePosition} from '../store-position.js';
import type {PeerStatus} from '../store-watcher-selection.js';
import {TableReplica} from '../table-replica.js';
import {confirmationTimes} from '../confirmation-times.js';
import {type ReplicationStatus, TableReplication} from '../table-replication.js';
import {TableWatch} from '../table-watch.js';

const log = new EventLog({write: () => undefined});

function row(key: string, value: string): RowChange {
	return {key, value, removed: false};
}

function at(era: number, version: number): StorePosition {
	return {era, version};
}

const responseTimeout = 1000;

/** Store whose answers a test sets; a poll ends at the next answer or after its wait. */
class ScriptedSource implements RowSource {
	readonly responseTimeout = responseTimeout;
	readonly calls: string[] = [];
	snapshot: VersionedRows = {rows: [row('a', '1')], version: 100, era: 1};
	pollAnswer: VersionedRows | undefined;

	async read(): Promise<VersionedRows> {
		this.calls.push('read');
		return this.snapshot;
	}

	async pollChanges(_table: string, version: number, wait: number, signal?: AbortSignal): Promise<VersionedRows> {
		this.calls.push('poll');
		await new Promise<void>((resolve, reject) => {
			setTimeout(resolve, wait);
			signal?.addEventListener('abort', () => {
				reject(new StoreError('poll', 'aborted by this instance'));
			});
		});
		return this.pollAnswer ?? {rows: [], version, era: this.snapshot.era};
	}
}

/** One instance: a replica whose rows come from a scripted store, or from peers where it watches none. */
function createInstance(t: ExecutionContext, source = new ScriptedSource()) {
	const snapshots: Array<{values: Array<string | undefined>; isAfterOutage: boolean}> = [];
	const replica = new TableReplica({
		fingerprint: (_key, value) => value,
		listener: {
			onSnapshot(rows, isAfterOutage) {
				snapshots.push({values: rows.map(({value}) => value), isAfterOutage});
			},
			onChanges: () => undefined,
			onStoreUnavailable: () => undefined,
		},
		onStoreChange: () => undefined,
	});
	const watch = new TableWatch({
		source, table: 'x', log, listener: replica, pollWait: () => 1000, watcherCount: () => 1, canPeersReachStore: () => false, random: () => 0,
	});
	t.teardown(() => {
		watch.close();
	});
	return {
		replica, watch, source, snapshots,
	};
}

function installClock(t: ExecutionContext) {
	const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance']});
	t.teardown(() => {
		clock.uninstall();
	});
	return clock;
}

function statusOf(replica: TableReplica): ReplicationStatus {
	return {
		isStoreWatcher: true, canReachStore: true, isRecoveringFromOutage: false, digests: [replica.digest, replica.digest], deltas: [],
	};
}

// Guards against positions of two eras that are compared by their versions alone.
test('rows that were read after the store went back replace rows of a larger version at instances that hear of them from peers', t => {
	const reader = createInstance(t).replica;
	const follower = createInstance(t).replica;
	const starter = createInstance(t).replica;
	for (const replica of [reader, follower]) {
		replica.onSnapshot([row('config', '10')], false, at(1, 100));
	}

	reader.onSnapshot([row('config', '12')], true, at(2, 70));
	starter.onSnapshot([row('config', '12')], false, at(2, 70));

	t.true(follower.isBehind(reader.digest));
	t.false(starter.isBehind(follower.digest));
	follower.applySnapshot(reader.rows, reader.digest);
	t.deepEqual(follower.digest, reader.digest);
});

test('rows of a later era are fetched even if they look the same, because their versions differ', t => {
	const reader = createInstance(t).replica;
	const follower = createInstance(t).replica;
	reader.onSnapshot([row('a', '1')], true, at(2, 70));
	follower.onSnapshot([row('a', '1')], false, at(1, 100));

	follower.onPositionConfirmed(reader.digest);
	t.is(follower.digest.era, 1);
	t.true(follower.isBehind(reader.digest));
});

const pollAnswers: Array<{name: string; answer: VersionedRows}> = [
	{name: 'of a later era whose versions have passed the poll', answer: {rows: [row('b', '2')], version: 130, era: 2}},
	{name: 'of a later era without changes', answer: {rows: [], version: 110, era: 2}},
	{name: 'of a smaller version without an era', answer: {rows: [], version: 70}},
];

// Guards against a poll that goes on after the store went back, and misses what was written under versions given out again.
for (const {name, answer} of pollAnswers) {
	test.serial(`the answer to a poll ${name} leads to a read of all rows`, async t => {
		const clock = installClock(t);
		const {watch, source, snapshots, replica} = createInstance(t);
		void watch.run();
		await clock.tickAsync(500);
		source.snapshot = {rows: [row('a', '3')], version: 75, era: 2};
		source.pollAnswer = answer;
		await clock.tickAsync(600);

		t.is(source.calls.filter(call => call === 'read').length, 2);
		t.deepEqual(snapshots, [{values: ['1'], isAfterOutage: false}, {values: ['3'], isAfterOutage: true}]);
		t.deepEqual(replica.rows.map(({value}) => value), ['3']);
	});
}

test.serial('an instance whose store goes back again and again reads less and less often', async t => {
	const clock = installClock(t);
	const {watch, source} = createInstance(t);
	void watch.run();
	await clock.tickAsync(100);
	source.pollAnswer = {rows: [], version: 1, era: 1};
	watch.refresh();
	await clock.tickAsync(10_000);

	t.true(source.calls.length < 20, `${source.calls.length} calls in 10 s`);
});

// Guards against an instance that trusts what it had although a peer has heard that the store went back.
test.serial('an instance that hears of a later era from a peer reads the store, once for each era', async t => {
	const clock = installClock(t);
	const {watch, source} = createInstance(t);
	void watch.run();
	await clock.tickAsync(100);
	source.snapshot = {rows: [row('a', '3')], version: 75, era: 2};
	for (let message = 0; message < 5; message++) {
		watch.onPeerEra(2);
		await clock.tickAsync(10); // eslint-disable-line no-await-in-loop
	}

	t.is(source.calls.filter(call => call === 'read').length, 2);
});

const limits = {changeLimit: 3000, confirmationTimes: confirmationTimes({changeLimit: 3000, stabilityWindow: 4000}), onStoreReached: () => undefined};

function createReplication(t: ExecutionContext, fetchSnapshot: (ip: string) => TableSnapshot) {
	const [one, other] = [createInstance(t), createInstance(t)];
	const eras: number[] = [];
	const replication = new TableReplication({
		tables: [{name: 'one', ...one}, {name: 'other', ...other}],
		ip: '10.0.0.1', log, peers: (): PeerStatus[] => [], fetchSnapshot: async ip => fetchSnapshot(ip),
		onPeerOutage: () => undefined, isRecoveringFromOutage: () => false, ...limits, random: () => 0,
		onEra(era) {
			eras.push(era);
		},
	});
	t.teardown(() => {
		replication.close();
	});
	return {replication, replica: one.replica, eras};
}

test.serial('an instance that is cut off from the store takes the rows of the latest era that its peers have', async t => {
	const clock = installClock(t);
	const peers = new Map<string, TableReplica>(([['10.0.0.2', 1, 120, '10'], ['10.0.0.3', 2, 70, '12'], ['10.0.0.4', 1, 130, '10b']] as const).map(([ip, era, version, value]) => {
		const {replica} = createInstance(t);
		replica.onSnapshot([row('config', value)], false, at(era, version));
		return [ip, replica] as const;
	}));
	const {replication, replica, eras} = createReplication(t, ip => ({digest: peers.get(ip)!.digest, rows: peers.get(ip)!.rows}));
	replica.onSnapshot([row('config', '9')], false, at(1, 100));
	for (let round = 0; round < 2; round++) {
		for (const [ip, peer] of peers) {
			replication.receive(ip, statusOf(peer));
			await clock.tickAsync(200); // eslint-disable-line no-await-in-loop
		}
	}

	t.deepEqual(replica.rows.map(({value}) => value), ['12']);
	t.is(replica.digest.era, 2);
	t.deepEqual(eras, [1, 2]);
});

test.serial('an instance that has not read anything takes the first era that it hears of', async t => {
	const clock = installClock(t);
	const {replica: peer} = createInstance(t);
	peer.onSnapshot([row('config', '12')], false, at(4, 70));
	const {replication, replica, eras} = createReplication(t, () => ({digest: peer.digest, rows: peer.rows}));
	replication.receive('10.0.0.2', statusOf(peer));
	await clock.tickAsync(200);

	t.deepEqual(replica.digest, peer.digest);
	t.deepEqual(eras, [4]);
});

// Guards against a table that counts as read from the store because peers that cannot read it either hold the same rows.
const confirmations: Array<{name: string; digest: StorePosition; isConfirmed: boolean}> = [
	{name: 'with the same position', digest: at(1, 100), isConfirmed: false},
	{name: 'with a later position', digest: at(1, 101), isConfirmed: true},
	{name: 'with an earlier position', digest: at(1, 99), isConfirmed: false},
	{name: 'with a position of another era', digest: at(2, 200), isConfirmed: false},
];

for (const {name, digest, isConfirmed} of confirmations) {
	test.serial(`a peer that holds the same rows ${name} ${isConfirmed ? 'confirms' : 'does not confirm'} the table`, t => {
		const clock = installClock(t);
		const [one, other] = [createInstance(t), createInstance(t)];
		const replication = new TableReplication({
			tables: [{name: 'one', ...one}, {name: 'other', ...other}], ip: '10.0.0.1', log, peers: (): PeerStatus[] => [],
			async fetchSnapshot() {
				throw new StoreError('fetch', 'not in this test');
			},
			onPeerOutage: () => undefined, isRecoveringFromOutage: () => false, ...limits, onEra: () => undefined, random: () => 0,
		});
		t.teardown(() => {
			replication.close();
		});
		other.replica.onSnapshot([row('a', '1')], false, at(1, 100));
		const before = replication.enginesConfirmedAt;
		clock.tick(5000);
		const status = statusOf(other.replica);
		replication.receive('10.0.0.2', {...status, digests: [status.digests[0], {...status.digests[1], ...digest}]});

		t.is(replication.enginesConfirmedAt, isConfirmed ? performance.now() : before);
	});
}
