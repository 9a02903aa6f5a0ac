import test from 'ava';
import {Encoder} from 'cbor-x';
import {EventLog} from '../../telemetry/log.js';
import {MemoryBudget} from '../../memory/memory-budget.js';
import {decodeDatagram, encodeDatagram, type PeerDatagram} from '../peer-datagram.js';
import {fetchTableSnapshot, TableServer, type TableSnapshot} from '../table-transfer.js';

const memory = new MemoryBudget({ceiling: 32 * 1_048_576});

const datagram: PeerDatagram = {
	origin: 'front-1~k3',
	replication: {
		isStoreWatcher: true, canReachStore: false, isRecoveringFromOutage: true, digests: [{era: 0, version: 7, checksum: 123}, {era: 0, version: 9, checksum: 4_000_000_000}],
		confirmationAges: [20, 1500],
		deltas: [{
			table: 1, baseChecksum: 5, digest: {era: 0, version: 9, checksum: 4_000_000_000}, rows: [{key: 'i-1', value: 'abc', removed: false}, {key: 'i-2', value: undefined, removed: true}],
		}],
	},
	replyRequest: 'peer-list',
	placements: [{
		key: 'front-1~k3/12', eventGapTarget: Number.POSITIVE_INFINITY, weight: 1.5, startsAt: 1200, expiresAt: 9000,
		assignments: [{
			engineId: 'i-1', prefillTime: 250, kvCacheTokens: 5000, runsDecode: true,
		}],
	}],
	startedKeys: ['front-1~k3/11'],
	endedKeys: ['front-1~k3/10'],
	avoidedEngines: [{engineId: 'i-2', duration: 1000}],
	engineSlowdowns: [{engineId: 'i-3', slowdown: 2.5, observedAt: 700}],
	engineLimits: [{engineId: 'i-4', limit: 1.8}, {engineId: 'i-5', limit: undefined}],
	crashes: [{run: {engineId: 'i-6', startedAt: 1_764_800_000_000, failureDomain: 'a'}, at: 900, suspects: [{fingerprint: 'part:91bd3f06', sentAt: 700, position: 2}]}],
	soundReports: [{fingerprint: 'part:5c1e07a2', answeredAt: 600}],
	quarantineEntries: [{fingerprint: 'part:dead', revision: 1, probeCount: 2}],
	peers: ['10.0.0.1'],
	fleetSize: 3,
	silentPeers: [{ip: '10.0.0.2', origin: 'front-2~k1'}],
	relayOffer: {failureDomain: 'a', isAvailable: true},
	relayedStatements: [{
		engineId: 'i-7', status: 503, isLeaving: true, retryAfter: 1500,
	}, {
		engineId: 'i-8', status: 200, isLeaving: false, retryAfter: undefined, coldRemaining: 9000,
	}],
	domainLoads: {
		failureDomain: 'a', engines: [{
			idHash: 7, prefillBacklog: 120, longestPrefill: 80, running: 3, kvCacheTokens: 12_300, eventGapTarget: 250, weight: 4, slowdown: 3.5,
		}],
	},
};

test('a datagram is decoded as it was encoded', t => {
	t.deepEqual(decodeDatagram(encodeDatagram(datagram, 1000), 1000), datagram);
});

test('decoded times are relative to the receiver\'s clock', t => {
	const [placement] = decodeDatagram(encodeDatagram(datagram, 1000), 50_000).placements;
	t.like(placement, {startsAt: 50_200, expiresAt: 58_000});
});

const malformed: Array<{name: string; bytes: Uint8Array}> = [
	{name: 'no bytes', bytes: new Uint8Array(0)},
	{name: 'other bytes', bytes: new TextEncoder().encode('hello there')},
	{name: 'another version', bytes: new Encoder().encode([99, 'front-1'])},
	{name: 'a missing list', bytes: new Encoder().encode([2, 'front-1', [true, true, true, [[1, 1], [1, 1]], []], 0, 5])},
	{name: 'the digest of one table only', bytes: new Encoder().encode([2, 'front-1', [true, true, true, [[1, 1]], []], 0, [], [], [], [], [], [], []])},
];

for (const {name, bytes} of malformed) {
	test(`a datagram with ${name} is rejected`, t => {
		t.throws(() => decodeDatagram(bytes, 0), {name: 'DatagramError'});
	});
}

test('a delta with an unreadable row is left out, the rest of the datagram holds', t => {
	const [delta] = datagram.replication!.deltas;
	const encoder = new Encoder({useRecords: false});
	const fields: unknown = encoder.decode(encodeDatagram(datagram, 1000));
	const damaged = [true, false, true, [[7, 123], [9, 4_000_000_000]], [[1, delta!.baseChecksum, [9, 4_000_000_000], [['i-1', 17]]]]];
	const decoded = decodeDatagram(encoder.encode(Object.assign([], fields, {2: damaged})), 1000);
	t.deepEqual(decoded.replication?.deltas, []);
	t.deepEqual({...decoded, replication: undefined}, {...datagram, replication: undefined});
});

test('a row with an empty value is decoded', t => {
	const [delta] = datagram.replication!.deltas;
	const rows = [{key: 'i-1', value: '', removed: false}];
	const withEmptyRow = {...datagram, replication: {...datagram.replication!, deltas: [{...delta!, rows}]}};
	t.deepEqual(decodeDatagram(encodeDatagram(withEmptyRow, 1000), 1000).replication?.deltas[0]?.rows, rows);
});

test('the error of a datagram names the field and the value', t => {
	const bytes = new Encoder({useRecords: false}).encode([2, 'front-1', null, 0, [], [], [], [['i-2', 'soon']], [], [], []]);
	t.throws(() => decodeDatagram(bytes, 0), {message: /duration to avoid an engine: expected a finite number, got string "soon"/v});
});

test('an instance fetches a complete table from another instance', async t => {
	const snapshot: TableSnapshot = {
		digest: {era: 0, version: 12, checksum: 99}, rows: Array.from({length: 2000}, (_, index) => ({key: `route-${index}`, value: 'v'.repeat(100), removed: false})),
	};
	const server = new TableServer(table => table === 0 ? snapshot : undefined, memory);
	const port = 18_400 + (process.pid % 1000);
	await server.listen('127.0.0.1', port, new EventLog());
	t.teardown(() => {
		server.close();
	});

	t.deepEqual(await fetchTableSnapshot('127.0.0.1', port, 0, memory), snapshot);
	await t.throwsAsync(fetchTableSnapshot('127.0.0.1', port, 1, memory), {name: 'TableTransferError'});
	await t.throwsAsync(fetchTableSnapshot('127.0.0.1', port + 1, 0, memory), {name: 'TableTransferError'});
});

// Guards against loads that instances of the build before read wrongly: they take seven numbers per engine from the second element of a report.
const slowdownCases: Array<{name: string; slowdowns: Array<number | undefined>; lengths: number[]; decoded: Array<number | undefined>}> = [
	{
		name: 'without slow engines', slowdowns: [1, undefined], lengths: [14], decoded: [undefined, undefined],
	},
	{
		name: 'with a slow engine', slowdowns: [undefined, 4.04], lengths: [14, 2], decoded: [1, 4],
	},
];

for (const {name, slowdowns, lengths, decoded} of slowdownCases) {
	test(`a report of loads can be read by the build before: ${name}`, t => {
		const [load] = datagram.domainLoads!.engines;
		const report = {failureDomain: 'a', engines: slowdowns.map(slowdown => ({...load!, slowdown}))};
		const bytes = encodeDatagram({...datagram, domainLoads: report}, 0);
		const fields = new Encoder({useRecords: false}).decode(bytes) as unknown[]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		const [failureDomain, ...lists] = fields.at(-1) as [string, ...unknown[][]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion

		t.is(failureDomain, 'a');
		t.deepEqual(lists.map(list => list.length), lengths);
		t.deepEqual(decodeDatagram(bytes, 0).domainLoads?.engines.map(({slowdown}) => slowdown), decoded);
		const before = Object.assign([], fields, {[fields.length - 1]: [failureDomain, lists[0]]});
		t.deepEqual(decodeDatagram(new Encoder().encode(before), 0).domainLoads?.engines.map(({slowdown}) => slowdown), [undefined, undefined]);
	});
}
