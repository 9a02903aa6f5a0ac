import test from 'ava';
import type {RowChange} from '../row-source.js';
import {type DutyPeer, dutyOf} from '../store-watcher-selection.js';
import {TableCopy, type TableDelta} from '../table-replica.js';

function row(key: string, value: string | undefined): RowChange {
	return {key, value, removed: value === undefined};
}

function copyWithLog() {
	const told: TableDelta[] = [];
	const seen: Array<readonly RowChange[]> = [];
	const copy = new TableCopy({
		identify: (_key, value) => value,
		listener: {
			replaced(rows) {
				seen.push(rows);
			},
			changed(rows) {
				seen.push(rows);
			},
			lost: () => undefined,
		},
		onChanged(delta) {
			told.push(delta);
		},
	});
	return {copy, told, seen};
}

test('copies with the same rows have the same sum, whatever the order of changes', t => {
	const one = copyWithLog().copy;
	const other = copyWithLog().copy;
	one.replaced([row('a', '1'), row('b', '2')], false, 5);
	other.changed([row('b', 'old')], 3);
	other.changed([row('b', '2'), row('a', '1'), row('c', '3')], 6);
	other.changed([row('c', undefined)], 7);

	t.is(one.state.sum, other.state.sum);
	t.false(one.isBehind(other.state));
});

test('changes of a peer are taken where they follow from what is known', t => {
	const {copy: reader, told} = copyWithLog();
	const {copy, told: toldOn, seen} = copyWithLog();
	reader.replaced([row('a', '1')], false, 1);
	copy.takeAll(reader.rows, reader.state);
	reader.changed([row('a', undefined), row('b', '2')], 2);

	t.true(copy.isBehind(reader.state));
	t.true(copy.takeDelta(told.at(-1)!));
	t.deepEqual(copy.state, reader.state);
	t.is(seen.length, 2);
	t.is(toldOn.length, 0, 'only what was learned from the store is told on');
});

test('changes that do not follow are left to a fetch of the whole table', t => {
	const {copy: reader, told} = copyWithLog();
	const {copy} = copyWithLog();
	reader.replaced([row('a', '1')], false, 1);
	reader.changed([row('b', '2')], 2);

	t.false(copy.takeDelta(told.at(-1)!));
	t.true(copy.isBehind(reader.state));
	copy.takeAll(reader.rows, reader.state);
	t.false(copy.isBehind(reader.state));
});

test('an older table of a peer is not taken', t => {
	const {copy: old} = copyWithLog();
	const {copy} = copyWithLog();
	old.replaced([row('a', 'old')], false, 4);
	copy.replaced([row('a', 'new')], false, 9);
	copy.takeAll(old.rows, old.state);

	t.is(copy.rows[0]?.value, 'new');
});

function peers(count: number, peer: Partial<DutyPeer>): DutyPeer[] {
	return Array.from({length: count}, (_, index) => ({
		ip: `10.0.0.${index + 1}`, heardAt: 10_000, reachesStore: true, follows: true, ...peer,
	}));
}

const now = 10_200;

const cases: Array<{name: string; known: DutyPeer[]; chance?: number; expected: Set<string>}> = [
	{name: 'a small fleet', known: peers(8, {}), expected: new Set(['small-fleet'])},
	{name: 'a fleet whose followers reach the store', known: peers(70, {}), expected: new Set(['none', 'elected'])},
	{name: 'a fleet in which nobody is heard to follow', known: peers(70, {follows: false}), expected: new Set(['no-follower', 'elected'])},
	{name: 'a fleet whose followers fell silent', known: peers(70, {heardAt: 9000}), expected: new Set(['no-follower', 'elected'])},
	{
		name: 'an outage, by chance', known: peers(70, {reachesStore: false}), chance: 0, expected: new Set(['outage-try', 'elected']),
	},
	{
		name: 'an outage, not by chance', known: peers(70, {reachesStore: false}), chance: 0.99, expected: new Set(['none', 'elected']),
	},
];

for (const {name, known, chance = 0.5, expected} of cases) {
	test(`duty of following the store in ${name}`, t => {
		const duties = Array.from({length: 40}, (_, index) => dutyOf({
			ip: `10.9.0.${index}`, peers: known, now, chance, sinceLast: 250,
		}));

		t.deepEqual(duties.filter(duty => !expected.has(duty)), []);
	});
}

test('five instances of a large fleet are elected, the same for all', t => {
	const all = peers(70, {}).map(({ip}) => ip);
	const elected = all.filter(ip => dutyOf({
		ip, peers: peers(70, {}).filter(peer => peer.ip !== ip), now, chance: 1, sinceLast: 250,
	}) === 'elected');

	t.is(elected.length, 5);
});
