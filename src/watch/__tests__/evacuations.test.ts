import process from 'node:process';
import test from 'ava';
import {decodeDatagram, emptyDatagram, encodeDatagram} from '../../peers/peer-datagram.js';
import {fetchTableSnapshot, TableServer} from '../../peers/table-transfer.js';
import {EventLog} from '../../telemetry/log.js';
import {Evacuations} from '../evacuations.js';
import {TableReplica} from '../table-replica.js';
import type {RowChange} from '../row-source.js';

const decode = (key: string) => key.startsWith('evacuate/') ? key.slice('evacuate/'.length) : undefined;

function row(key: string, value: string | undefined = 'e30='): RowChange {
	return {key, value, removed: false};
}

function removal(key: string): RowChange {
	return {key, value: undefined, removed: true};
}

type Step = {snapshot: RowChange[]} | {changes: RowChange[]};

function createReplica() {
	const sets: string[][] = [];
	const lines: string[] = [];
	const evacuations = new Evacuations({
		log: new EventLog({
			write(line) {
				lines.push(line);
			},
		}),
		decode, engineCount: domain => domain === 'b' ? 18 : 0,
		onChange(domains) {
			sets.push([...domains].toSorted());
		},
	});
	const deltas: Array<Parameters<ConstructorParameters<typeof TableReplica>[0]['onStoreChange']>[0]> = [];
	const replica = new TableReplica({
		listener: evacuations, fingerprint: () => '', onStoreChange(delta) {
			deltas.push(delta);
		},
	});
	return {
		replica, evacuations, sets, lines, deltas,
	};
}

const cases: Array<{name: string; steps: Step[]; expected: string[][]}> = [
	{name: 'no row evacuates any', steps: [{snapshot: [row('config'), row('note')]}], expected: []},
	{name: 'rows of a snapshot evacuate theirs', steps: [{snapshot: [row('config'), row('evacuate/b'), row('evacuate/c')]}], expected: [['b', 'c']]},
	{name: 'a row that is written and removed', steps: [{snapshot: []}, {changes: [row('evacuate/b')]}, {changes: [removal('evacuate/b')]}], expected: [['b'], []]},
	{name: 'a further row leaves the others', steps: [{changes: [row('evacuate/b')]}, {changes: [row('evacuate/c')]}], expected: [['b'], ['b', 'c']]},
	{name: 'a snapshot replaces the set', steps: [{changes: [row('evacuate/b')]}, {snapshot: [row('evacuate/c')]}], expected: [['b'], ['c']]},
	{name: 'a row that is written again changes nothing', steps: [{changes: [row('evacuate/b')]}, {changes: [row('evacuate/b', 'eyJhIjoxfQ==')]}], expected: [['b']]},
	{name: 'changes of other rows change nothing', steps: [{changes: [row('evacuate/b')]}, {changes: [row('config'), removal('note')]}], expected: [['b']]},
	{name: 'names may hold any character', steps: [{changes: [row('evacuate/a/b c')]}], expected: [['a/b c']]},
];

for (const {name, steps, expected} of cases) {
	test(`evacuated failure domains: ${name}`, t => {
		const {replica, sets} = createReplica();
		for (const [index, step] of steps.entries()) {
			const position = {era: 0, version: index + 1};
			if ('snapshot' in step) {
				replica.onSnapshot(step.snapshot, false, position);
			} else {
				replica.onChanges(step.changes, position);
			}
		}

		t.deepEqual(sets, expected);
	});
}

/** Values of a row, as the client of the store returns them; undefined if it is no text. */
const values: Array<{name: string; value: string | undefined}> = [
	{name: 'no text', value: undefined},
	{name: 'empty', value: ''},
	{name: 'not base64', value: '%%%'},
	{name: 'not JSON', value: 'bm90IEpTT04='},
	{name: 'an empty object', value: 'e30='},
];

type Replica = ReturnType<typeof createReplica>;

const position = {era: 0, version: 2};

/** Sends a delta as datagrams do. */
function sendDelta({deltas, replica: {digest}}: Replica, peer: Replica): void {
	const bytes = encodeDatagram({
		...emptyDatagram('front-1~k3'), replication: {
			isStoreWatcher: true, canReachStore: true, isRecoveringFromOutage: false, digests: [digest, digest], deltas: [{table: 0, ...deltas.at(-1)!}],
		},
	}, 0);
	for (const delta of decodeDatagram(bytes, 0).replication!.deltas) {
		peer.replica.applyDelta(delta);
	}
}

/** Ways in which an instance gets the rows of a watcher that has just received them. */
const ways: Array<{name: string; pass: (watcher: Replica, peer: Replica) => void | Promise<void>}> = [
	{name: 'a delta', pass: sendDelta},
	{
		name: 'a copy of the table', async pass({replica}, peer) {
			const server = new TableServer(() => ({digest: replica.digest, rows: replica.rows}));
			const port = 19_400 + (process.pid % 1000);
			await server.listen('127.0.0.1', port, new EventLog());
			const {rows, digest} = await fetchTableSnapshot('127.0.0.1', port, 0);
			server.close();
			peer.replica.applySnapshot(rows, digest);
		},
	},
];

// Guards against an evacuation that an instance takes to have ended, or never to have begun, because the value of its row is
// empty or cannot be read.
for (const {name, value} of values) {
	for (const {name: way, pass} of ways) {
		test.serial(`a row evacuates whatever its value until it is removed: ${name}, by ${way}`, async t => {
			const watcher = createReplica();
			const peer = createReplica();
			watcher.replica.onSnapshot([row('config')], false, {era: 0, version: 1});
			peer.replica.applySnapshot(watcher.replica.rows, watcher.replica.digest);

			watcher.replica.onChanges([{
				key: 'evacuate/b', value, removed: false, version: 2,
			}], position);
			await pass(watcher, peer);
			t.deepEqual([watcher.sets, peer.sets], [[['b']], [['b']]]);
			t.is(peer.replica.digest.checksum, watcher.replica.digest.checksum, 'peers need not fetch the table again');

			watcher.replica.onSnapshot([row('config'), {
				key: 'evacuate/b', value, removed: false, version: 2,
			}], true, position);
			t.deepEqual(watcher.sets, [['b']], 'a read after an outage leaves the evacuation');

			watcher.replica.onChanges([{...removal('evacuate/b'), version: 3}], {era: 0, version: 3});
			await pass(watcher, peer);
			t.deepEqual([watcher.sets, peer.sets], [[['b'], []], [['b'], []]]);
		});
	}
}

test('an unreachable store leaves the set unchanged', t => {
	const {replica, evacuations, sets} = createReplica();
	replica.onSnapshot([row('evacuate/b')], false, {era: 0, version: 1});
	replica.onStoreUnavailable('status 503');

	t.is(evacuations.size, 1);
	t.deepEqual(sets, [['b']]);
});

// Guards against a row that leaves the checksum of its table unchanged, so that a peer that missed the delta never fetches it.
test('a peer hears of a row by the delta, or notices it by the digest', t => {
	const {replica: watcher, deltas} = createReplica();
	const {replica: peer, sets, lines} = createReplica();
	const {replica: latePeer, sets: lateSets} = createReplica();
	watcher.onSnapshot([row('config')], false, {era: 0, version: 1});
	peer.applySnapshot(watcher.rows, watcher.digest);
	latePeer.applySnapshot(watcher.rows, watcher.digest);
	watcher.onChanges([row('evacuate/b')], {era: 0, version: 2});

	t.true(peer.applyDelta(deltas.at(-1)!));
	t.deepEqual(sets, [['b']]);
	t.regex(lines.join('\n'), /event=evacuation\.started domain=b origin=peer engines=18/v);
	t.true(latePeer.isBehind(watcher.digest));
	latePeer.applySnapshot(watcher.rows, watcher.digest);
	t.deepEqual(lateSets, [['b']]);

	watcher.onChanges([removal('evacuate/b')], {era: 0, version: 3});
	t.true(peer.applyDelta(deltas.at(-1)!));
	t.regex(lines.join('\n'), /event=evacuation\.ended domain=b origin=peer engines=18/v);
});

// Guards against rows that all have one hash: a peer that missed the replacement of one domain by another would not notice it.
test('a peer that missed the replacement of one row by another notices it by the digest', t => {
	const {replica: watcher} = createReplica();
	const {replica: peer, sets} = createReplica();
	watcher.onSnapshot([row('config'), row('evacuate/b')], false, {era: 0, version: 1});
	peer.applySnapshot(watcher.rows, watcher.digest);
	watcher.onChanges([removal('evacuate/b'), row('evacuate/c')], {era: 0, version: 3});

	t.true(peer.isBehind(watcher.digest));
	peer.applySnapshot(watcher.rows, watcher.digest);
	t.deepEqual(sets, [['b'], ['c']]);
});

// Guards against an evacuation that goes on at some instances after the store has come back from a copy without its row.
test('a store that comes back from an older copy decides by its rows', t => {
	const {replica, sets} = createReplica();
	replica.onSnapshot([row('config')], false, {era: 0, version: 1});
	replica.onChanges([row('evacuate/b')], {era: 0, version: 9});
	replica.onSnapshot([row('config')], true, {era: 1, version: 1});

	t.deepEqual(sets, [['b'], []]);
});
