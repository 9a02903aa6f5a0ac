import test from 'ava';
import type {RowChange} from '../row-source.js';
import {type PeerStatus, storeWatchReason} from '../store-watcher-selection.js';
import {TableReplica, type TableDelta} from '../table-replica.js';

function row(key: string, value: string | undefined): RowChange {
	return {key, value, removed: value === undefined};
}

function copyWithLog() {
	const told: TableDelta[] = [];
	const seen: Array<readonly RowChange[]> = [];
	const copy = new TableReplica({
		fingerprint: (_key, value) => value,
		listener: {
			onSnapshot(rows) {
				seen.push(rows);
			},
			onChanges(rows) {
				seen.push(rows);
			},
			onStoreUnavailable: () => undefined,
		},
		onStoreChange(delta) {
			told.push(delta);
		},
	});
	return {copy, told, seen};
}

test('copies with the same rows have the same sum, whatever the order of changes', t => {
	const one = copyWithLog().copy;
	const other = copyWithLog().copy;
	one.onSnapshot([row('a', '1'), row('b', '2')], false, 5);
	other.onChanges([row('b', 'old')], 3);
	other.onChanges([row('b', '2'), row('a', '1'), row('c', '3')], 6);
	other.onChanges([row('c', undefined)], 7);

	t.is(one.digest.checksum, other.digest.checksum);
	t.false(one.isBehind(other.digest));
});

test('changes of a peer are taken where they follow from what is known', t => {
	const {copy: reader, told} = copyWithLog();
	const {copy, told: toldOn, seen} = copyWithLog();
	reader.onSnapshot([row('a', '1')], false, 1);
	copy.applySnapshot(reader.rows, reader.digest);
	reader.onChanges([row('a', undefined), row('b', '2')], 2);

	t.true(copy.isBehind(reader.digest));
	t.true(copy.applyDelta(told.at(-1)!));
	t.deepEqual(copy.digest, reader.digest);
	t.is(seen.length, 2);
	t.is(toldOn.length, 0, 'only what was learned from the store is told on');
});

test('changes that do not follow are left to a fetch of the whole table', t => {
	const {copy: reader, told} = copyWithLog();
	const {copy} = copyWithLog();
	reader.onSnapshot([row('a', '1')], false, 1);
	reader.onChanges([row('b', '2')], 2);

	t.false(copy.applyDelta(told.at(-1)!));
	t.true(copy.isBehind(reader.digest));
	copy.applySnapshot(reader.rows, reader.digest);
	t.false(copy.isBehind(reader.digest));
});

test('an older table of a peer is not taken', t => {
	const {copy: old} = copyWithLog();
	const {copy} = copyWithLog();
	old.onSnapshot([row('a', 'old')], false, 4);
	copy.onSnapshot([row('a', 'new')], false, 9);
	copy.applySnapshot(old.rows, old.digest);

	t.is(copy.rows[0]?.value, 'new');
});

function peers(count: number, peer: Partial<PeerStatus>): PeerStatus[] {
	return Array.from({length: count}, (_, index) => ({
		ip: `10.0.0.${index + 1}`, lastMessageAt: 10_000, canReachStore: true, isStoreWatcher: true, ...peer,
	}));
}

const now = 10_200;

const cases: Array<{name: string; known: PeerStatus[]; chance?: number; expected: Set<string>}> = [
	{name: 'a small fleet', known: peers(8, {}), expected: new Set(['small-fleet'])},
	{name: 'a fleet whose followers reach the store', known: peers(70, {}), expected: new Set(['none', 'elected'])},
	{name: 'a fleet in which nobody is heard to follow', known: peers(70, {isStoreWatcher: false}), expected: new Set(['no-follower', 'elected'])},
	{name: 'a fleet whose followers fell silent', known: peers(70, {lastMessageAt: 9000}), expected: new Set(['no-follower', 'elected'])},
	{
		name: 'an outage, by chance', known: peers(70, {canReachStore: false}), chance: 0, expected: new Set(['outage-try', 'elected']),
	},
	{
		name: 'an outage, not by chance', known: peers(70, {canReachStore: false}), chance: 0.99, expected: new Set(['none', 'elected']),
	},
];

for (const {name, known, chance = 0.5, expected} of cases) {
	test(`duty of following the store in ${name}`, t => {
		const duties = Array.from({length: 40}, (_, index) => storeWatchReason({
			ip: `10.9.0.${index}`, peers: known, now, randomValue: chance, timeSinceLastDecision: 250,
		}));

		t.deepEqual(duties.filter(duty => !expected.has(duty)), []);
	});
}

test('five instances of a large fleet are elected, the same for all', t => {
	const all = peers(70, {}).map(({ip}) => ip);
	const elected = all.filter(ip => storeWatchReason({
		ip, peers: peers(70, {}).filter(peer => peer.ip !== ip), now, randomValue: 1, timeSinceLastDecision: 250,
	}) === 'elected');

	t.is(elected.length, 5);
});
