import test from 'ava';
import type {RowChange} from '../row-source.js';
import {hashPosition} from '../../placement/hash-position.js';
import {confirmationTimes} from '../confirmation-times.js';
import {
	permanentWatchers, type PeerStatus, storeWatchReason, type StoreWatchInput, type StoreWatchReason,
} from '../store-watcher-selection.js';
import type {StorePosition} from '../store-position.js';
import {TableReplica, type TableDelta} from '../table-replica.js';

function row(key: string, value: string | undefined): RowChange {
	return {key, value, removed: value === undefined};
}

function at(version: number, era = 0): StorePosition {
	return {era, version};
}

function createReplica() {
	const deltas: TableDelta[] = [];
	const received: Array<readonly RowChange[]> = [];
	const replica = new TableReplica({
		fingerprint: (_key, value) => value,
		listener: {
			onSnapshot(rows) {
				received.push(rows);
			},
			onChanges(rows) {
				received.push(rows);
			},
			onStoreUnavailable: () => undefined,
		},
		onStoreChange(delta) {
			deltas.push(delta);
		},
	});
	return {replica, deltas, received};
}

test('replicas with the same rows have the same checksum, whatever the order of changes', t => {
	const one = createReplica().replica;
	const other = createReplica().replica;
	one.onSnapshot([row('a', '1'), row('b', '2')], false, at(5));
	other.onChanges([row('b', 'old')], at(3));
	other.onChanges([row('b', '2'), row('a', '1'), row('c', '3')], at(6));
	other.onChanges([row('c', undefined)], at(7));

	t.is(one.digest.checksum, other.digest.checksum);
	t.false(one.isBehind(other.digest));
});

test('a delta of a peer is applied if it was made to the rows of this replica', t => {
	const {replica: source, deltas} = createReplica();
	const {replica, deltas: forwarded, received} = createReplica();
	source.onSnapshot([row('a', '1')], false, at(1));
	replica.applySnapshot(source.rows, source.digest);
	source.onChanges([row('a', undefined), row('b', '2')], at(2));

	t.true(replica.isBehind(source.digest));
	t.true(replica.applyDelta(deltas.at(-1)!));
	t.deepEqual(replica.digest, source.digest);
	t.is(received.length, 2);
	t.is(forwarded.length, 0, 'only changes received from the store are forwarded');
});

test('after a delta that was made to other rows the replica catches up with a snapshot', t => {
	const {replica: source, deltas} = createReplica();
	const {replica} = createReplica();
	source.onSnapshot([row('a', '1')], false, at(1));
	source.onChanges([row('b', '2')], at(2));

	t.false(replica.applyDelta(deltas.at(-1)!));
	t.true(replica.isBehind(source.digest));
	replica.applySnapshot(source.rows, source.digest);
	t.false(replica.isBehind(source.digest));
});

test('an older snapshot of a peer is not applied', t => {
	const {replica: older} = createReplica();
	const {replica} = createReplica();
	older.onSnapshot([row('a', 'old')], false, at(4));
	replica.onSnapshot([row('a', 'new')], false, at(9));
	replica.applySnapshot(older.rows, older.digest);

	t.is(replica.rows[0]?.value, 'new');
});

function createPeers(count: number, peer: Partial<PeerStatus>): PeerStatus[] {
	return Array.from({length: count}, (_, index) => ({
		ip: `10.0.0.${index + 1}`, lastMessageAt: 10_000, canReachStore: true, isStoreWatcher: true, confirmedAt: [10_000, 10_000], ...peer,
	}));
}

const now = 10_200;

const times = confirmationTimes({changeLimit: 3000, stabilityWindow: 4000});

type Decision = Partial<Omit<StoreWatchInput, 'ip' | 'peers' | 'times'>>;

function decide(ip: string, peers: readonly PeerStatus[], decision: Decision = {}): StoreWatchReason {
	return storeWatchReason({
		ip, peers, now, randomValue: 0.5, timeSinceLastDecision: 250, current: {reason: 'none', since: 0}, confirmationAge: 200,
		timeSinceLastFailure: Number.POSITIVE_INFINITY, times, ...decision,
	});
}

const cases: Array<{name: string; peers: PeerStatus[]; decision?: Decision; expected: Set<StoreWatchReason>}> = [
	{name: 'a small fleet', peers: createPeers(8, {}), expected: new Set(['small-fleet'])},
	{name: 'a fleet whose watchers reach the store', peers: createPeers(70, {}), expected: new Set(['none', 'elected'])},
	{name: 'a fleet without a known watcher', peers: createPeers(70, {isStoreWatcher: false}), expected: new Set(['no-follower', 'elected'])},
	{name: 'a fleet whose watchers have stopped sending messages', peers: createPeers(70, {lastMessageAt: 9000}), expected: new Set(['no-follower', 'elected'])},
	{
		name: 'an outage, with a random value that selects a probe', peers: createPeers(70, {canReachStore: false}), decision: {randomValue: 0}, expected: new Set(['outage-try', 'elected']),
	},
	{
		name: 'an outage, with a random value that selects no probe', peers: createPeers(70, {canReachStore: false}), decision: {randomValue: 0.99}, expected: new Set(['none', 'elected']),
	},
	{
		name: 'a fleet whose watchers say that they reach the store, without an answer for long', peers: createPeers(70, {}),
		decision: {confirmationAge: times.probeAge}, expected: new Set(['unconfirmed', 'elected']),
	},
	{
		name: 'the same, for an instance that the store has just refused', peers: createPeers(70, {}),
		decision: {confirmationAge: 10_000, timeSinceLastFailure: times.retryInterval - 1}, expected: new Set(['none', 'elected']),
	},
	{
		name: 'the same, for one that it refused a while ago', peers: createPeers(70, {}),
		decision: {confirmationAge: 10_000, timeSinceLastFailure: times.retryInterval}, expected: new Set(['unconfirmed', 'elected']),
	},
	{
		name: 'a fleet whose watchers have had no answer for a little longer than usual, with a random value that selects a probe', peers: createPeers(70, {}),
		decision: {confirmationAge: times.firstProbeAge, randomValue: 0.05}, expected: new Set(['outage-try', 'elected']),
	},
	{
		name: 'the same, with a random value that selects no probe', peers: createPeers(70, {}),
		decision: {confirmationAge: times.firstProbeAge, randomValue: 0.07}, expected: new Set(['none', 'elected']),
	},
];

for (const {name, peers, decision, expected} of cases) {
	test(`reason for watching the store in ${name}`, t => {
		const reasons = Array.from({length: 40}, (_, index) => decide(`10.9.0.${index}`, peers, decision));

		t.deepEqual(reasons.filter(reason => !expected.has(reason)), []);
	});
}

test('all instances of a large fleet elect the same five watchers', t => {
	const all = createPeers(70, {}).map(({ip}) => ip);
	const elected = all.filter(ip => decide(ip, createPeers(70, {}).filter(peer => peer.ip !== ip), {randomValue: 1}) === 'elected');

	t.is(elected.length, 5);
});

// Guards against temporary watchers that take turns with the elected ones, and leave a gap when they stop.
for (const {name, count, expected} of [{name: 'all of a small fleet', count: 8, expected: 8}, {name: 'the elected ones of a large fleet', count: 70, expected: 5}]) {
	test(`turns are taken by ${name}`, t => {
		const peers = createPeers(count, {});
		const outsider = ['10.9.0.1', '10.9.0.2', '10.9.0.3', '10.9.0.4', '10.9.0.5', '10.9.0.6', '10.9.0.7'].find(ip => decide(ip, peers) !== 'elected')!;
		const turns = permanentWatchers(outsider, peers).map(({ip}) => ip);
		t.is(turns.length, expected);
		for (const ip of turns) {
			t.true(['elected', 'small-fleet'].includes(decide(ip, peers.filter(peer => peer.ip !== ip))));
		}
	});
}

/** Addresses of a large fleet in the order in which they are elected. */
const ordered = createPeers(40, {}).map(({ip}) => ip).toSorted((one, other) => hashPosition(one) - hashPosition(other));
const since = 5000;
// Guards against temporary watchers that all stop when they hear of each other, that go on beside each other, or that rely on watchers whose polls are not answered.
const temporaryCases: Array<{name: string; position: number; confirmed: readonly number[]; confirmedAt: number; watchedFor: number; timeSinceLastFailure?: number; expected: StoreWatchReason}> = [
	{
		name: 'before the store has answered', position: 20, confirmed: [], confirmedAt: 0, watchedFor: 200, expected: 'unconfirmed',
	},
	{
		name: 'whose call has failed', position: 20, confirmed: [], confirmedAt: 0, watchedFor: 200, timeSinceLastFailure: 100, expected: 'none',
	},
	{
		name: 'whose call failed before it began to watch', position: 20, confirmed: [], confirmedAt: 0, watchedFor: 200, timeSinceLastFailure: 300, expected: 'unconfirmed',
	},
	{
		name: 'while another one after it gets answers', position: 20, confirmed: [21], confirmedAt: since + 100, watchedFor: 200, expected: 'unconfirmed',
	},
	{
		name: 'while another one before it gets answers', position: 20, confirmed: [19], confirmedAt: since + 100, watchedFor: 200, expected: 'none',
	},
	{
		name: 'while another one before it had its last answer earlier', position: 20, confirmed: [19], confirmedAt: since - 100, watchedFor: 200, expected: 'unconfirmed',
	},
	{
		name: 'while one elected one gets answers', position: 20, confirmed: [2], confirmedAt: since + 100, watchedFor: 5000, expected: 'unconfirmed',
	},
	{
		name: 'while two elected ones get answers', position: 20, confirmed: [2, 4], confirmedAt: since + 100, watchedFor: 200, expected: 'none',
	},
	{
		name: 'while two elected ones had their last answers earlier', position: 20, confirmed: [2, 4], confirmedAt: since - 100, watchedFor: 200, expected: 'unconfirmed',
	},
];

for (const {name, position, confirmed, confirmedAt, watchedFor, timeSinceLastFailure = Number.POSITIVE_INFINITY, expected} of temporaryCases) {
	test(`reason of a temporary watcher ${name}`, t => {
		const decidedAt = since + watchedFor;
		const peers = ordered.filter((_, index) => index !== position).map(ip => ({
			ip, lastMessageAt: decidedAt - 100, canReachStore: true, isStoreWatcher: true,
			confirmedAt: confirmed.map(index => ordered[index]).includes(ip) ? [confirmedAt, confirmedAt] as const : [0, 0] as const,
		}));

		t.is(decide(ordered[position]!, peers, {
			now: decidedAt, current: {reason: 'unconfirmed', since}, timeSinceLastFailure,
		}), expected);
	});
}
