import test from 'ava';
import type {RowChange} from '../row-source.js';
import {TableReplica} from '../table-replica.js';

function row(key: string, value: string, version: number): RowChange {
	return {
		key, value, removed: false, version,
	};
}

function removal(key: string, version: number): RowChange {
	return {
		key, value: undefined, removed: true, version,
	};
}

function createReplica() {
	const received: string[][] = [];
	const note = (rows: readonly RowChange[]) => {
		received.push(rows.map(({key, value}) => `${key}=${value ?? 'removed'}`));
	};

	const replica = new TableReplica({
		fingerprint: (_key, value) => value,
		listener: {onSnapshot: note, onChanges: note, onStoreUnavailable: () => undefined},
		onStoreChange: () => undefined,
	});
	const contents = () => Object.fromEntries(replica.rows.map(({key, value}) => [key, value]));
	return {replica, received, contents};
}

type Step = (replica: TableReplica) => void;

const cases: Array<{name: string; steps: Step[]; expected: Record<string, string>}> = [
	{
		name: 'a read that is behind does not bring an older row back',
		steps: [
			replica => {
				replica.onChanges([row('a', 'new', 9)], {era: 1, version: 9});
			},
			replica => {
				replica.onSnapshot([row('a', 'old', 4)], false, {era: 1, version: 7});
			},
		],
		expected: {a: 'new'},
	},
	{
		name: 'a read that is behind does not remove a newer row',
		steps: [
			replica => {
				replica.onChanges([row('a', 'new', 9)], {era: 1, version: 9});
			},
			replica => {
				replica.onSnapshot([], false, {era: 1, version: 7});
			},
		],
		expected: {a: 'new'},
	},
	{
		name: 'a read that is behind does not bring a removed row back',
		steps: [
			replica => {
				replica.onSnapshot([row('a', '1', 4)], false, {era: 1, version: 5});
			},
			replica => {
				replica.onChanges([removal('a', 9)], {era: 1, version: 9});
			},
			replica => {
				replica.onSnapshot([row('a', '1', 4)], false, {era: 1, version: 7});
			},
		],
		expected: {},
	},
	{
		name: 'a removed row that is written again is taken',
		steps: [
			replica => {
				replica.onSnapshot([row('a', '1', 4)], false, {era: 1, version: 5});
			},
			replica => {
				replica.onChanges([removal('a', 9)], {era: 1, version: 9});
			},
			replica => {
				replica.onChanges([row('a', '1', 12)], {era: 1, version: 12});
			},
		],
		expected: {a: '1'},
	},
	{
		name: 'the row of an older copy that was removed before does not come back with the copy',
		steps: [
			replica => {
				replica.onSnapshot([row('a', '1', 4), row('b', '1', 5)], false, {era: 1, version: 5});
			},
			replica => {
				replica.onChanges([removal('a', 9)], {era: 1, version: 9});
			},
			replica => {
				replica.onSnapshot([row('a', '1', 4), row('b', '1', 5)], true, {era: 2, version: 6});
			},
		],
		expected: {b: '1'},
	},
	{
		name: 'a removed row that is written again after an older copy came back is taken, whatever its version',
		steps: [
			replica => {
				replica.onSnapshot([row('a', '1', 4)], false, {era: 1, version: 5});
			},
			replica => {
				replica.onChanges([removal('a', 9)], {era: 1, version: 9});
			},
			replica => {
				replica.onSnapshot([row('a', '1', 4)], true, {era: 2, version: 6});
			},
			replica => {
				replica.onChanges([row('a', '1', 7)], {era: 2, version: 7});
			},
		],
		expected: {a: '1'},
	},
	{
		name: 'a change in a later era is taken although its version is smaller',
		steps: [
			replica => {
				replica.onSnapshot([row('a', 'old', 90)], false, {era: 1, version: 100});
			},
			replica => {
				replica.onSnapshot([row('a', 'older', 50)], true, {era: 2, version: 60});
			},
			replica => {
				replica.onChanges([row('a', 'new', 61)], {era: 2, version: 61});
			},
		],
		expected: {a: 'new'},
	},
];

// Guards against an older row that replaces a newer one: from a read that is behind, a peer, or an older copy of the store.
for (const {name, steps, expected} of cases) {
	test(name, t => {
		const {replica, contents} = createReplica();
		for (const step of steps) {
			step(replica);
		}

		t.deepEqual(contents(), expected);
	});
}

test('the listener is told of newer rows only', t => {
	const {replica, received} = createReplica();
	replica.onChanges([row('a', 'new', 9)], {era: 1, version: 9});
	replica.onChanges([row('a', 'old', 4), row('b', '1', 10)], {era: 1, version: 10});
	replica.onSnapshot([row('a', 'old', 4)], false, {era: 1, version: 8});

	t.deepEqual(received, [['a=new'], ['b=1'], ['a=new', 'b=1']]);
});

test('replicas of different histories compare equal once their rows are the same', t => {
	const {replica: one} = createReplica();
	const {replica: other} = createReplica();
	one.onChanges([row('a', '1', 3), removal('b', 4)], {era: 1, version: 4});
	other.onSnapshot([row('a', '1', 3)], false, {era: 1, version: 4});

	t.deepEqual(one.digest, other.digest);
});

// Guards against a replica that takes itself to be up to date after changes that did not lead to its peer's rows.
test('a delta that does not lead to the peer\'s rows leaves the replica behind, so that it fetches them', t => {
	const {replica} = createReplica();
	replica.onSnapshot([row('a', '1', 3)], false, {era: 1, version: 3});
	const digest = {era: 1, version: 5, checksum: 12_345};

	t.false(replica.applyDelta({baseChecksum: replica.digest.checksum, digest, rows: [row('b', '2', 5)]}));
	t.true(replica.isBehind(digest));
});
