import test from 'ava';
import {CarobquayError} from '../../errors/errors.js';
import {startInstanceListStandIn} from '../../stand-in/platform/instance-list.js';
import {startObjectStoreStandIn} from '../../stand-in/platform/object-store.js';
import {startTableStandIn} from '../../stand-in/platform/table.js';
import {startWeightStoreStandIn} from '../../stand-in/platform/weight-store.js';
import {type ListedInstance} from '../instance-list.js';
import {type FaultSettings} from '../memory/faults.js';
import {SettledWriter} from '../settled-write.js';
import {
	openMemoryPlatform, openPlatform, type Platform, type MemoryPlatform,
} from '../platform.js';
import {put, told} from './support.js';

/** Time limit in milliseconds of a call, far above any answer's time, and a short one for calls that shall reach it. */
const ampleTimeout = 10_000;
const shortTimeout = 200;

/** Time in milliseconds that is surely beyond the short limit. */
const beyondShortTimeout = 1200;

const engine: ListedInstance = {
	name: 'kohus-llm-7', kind: 'engine', address: '127.0.0.1:9007', failureDomain: 'tartu-a', region: 'tartu', state: 'live', labels: {tier: 'standard'},
};
const weights = {name: 'kohus-70b/adapter/civil', version: '2', bytes: 5_000_000_000};
const optionsFor = (timeout: number) => ({
	table: {timeout}, objects: {timeout}, instances: {timeout, lag: 1000, instances: [engine]}, weights: {timeout, entries: [weights], admissionsPerSecond: 0.01},
});

type Opened = {platform: Platform; twins: Omit<MemoryPlatform, 'close'>; close: () => Promise<void>};

const kinds: Record<string, (timeout: number) => Promise<Opened>> = {
	async memory(timeout) {
		const platform = openMemoryPlatform(optionsFor(timeout));
		return {platform, twins: platform, close: async () => platform.close()};
	},
	async http(timeout) {
		const options = optionsFor(timeout);
		const table = await startTableStandIn(options.table);
		const objects = await startObjectStoreStandIn();
		const instances = await startInstanceListStandIn(options.instances);
		const weightStore = await startWeightStoreStandIn(options.weights);
		const platform = openPlatform({
			kind: 'http', tableAddress: table.address, objectsAddress: objects.address, instancesAddress: instances.address, weightsAddress: weightStore.address, timeout,
		});
		return {
			platform,
			twins: {
				table: table.twin, objects: objects.twin, instances: instances.twin, weights: weightStore.twin,
			},
			async close() {
				await platform.close();
				await Promise.all([table, objects, instances, weightStore].map(async standIn => standIn.close()));
			},
		};
	},
};

const sleep = async (duration: number) => new Promise(resolve => {
	setTimeout(resolve, duration);
});

/** Each returns what it saw. */
const behaviours: Array<{name: string; expected: unknown; run: (opened: Opened) => Promise<unknown>}> = [
	{
		name: 'a read leaves absent keys out',
		expected: [['lease/a', {holder: 'x'}]],
		async run({platform: {table}}) {
			await table.transact({conditions: [], writes: [put('lease/a', {holder: 'x'})]});
			const items = await table.read(['lease/absent', 'lease/a']);
			return items.map(({key, value}) => [key, value]);
		},
	},
	{
		name: 'a conflict names the items as they stand and writes nothing',
		expected: [false, ['a', 'absent'], [false, true], ['first']],
		async run({platform: {table}}) {
			await table.transact({conditions: [{key: 'a', version: 0}], writes: [put('a', 'first')]});
			const result = await table.transact({conditions: [{key: 'a', version: 0}, {key: 'absent', version: 9}], writes: [put('a', 'second'), put('b', 1)]});
			const conflicts = result.committed ? [] : result.conflicts;
			const items = await table.read(['a', 'b']);
			return [result.committed, conflicts.map(item => item.key), conflicts.map(item => item.version === 0), items.map(item => item.value)];
		},
	},
	{
		name: 'versions rise across deletion',
		expected: [true, 0, true],
		async run({platform: {table}}) {
			const versions: number[] = [];
			for (const write of [put('a', 1), put('a', 2), {kind: 'delete', key: 'a'} as const, put('a', 3)]) {
				const result = await table.transact({conditions: [{key: 'a', version: versions.at(-1) ?? 0}], writes: [write]}); // eslint-disable-line no-await-in-loop
				versions.push(result.committed ? result.versions.a! : Number.NaN);
			}

			return [versions[1]! > versions[0]!, versions[2], versions[3]! > versions[1]!];
		},
	},
	{
		name: 'a listing is ordered and continues after a key',
		expected: [['p/a', 'p/b'], ['p/c/d', 'p/ü %2F'], []],
		async run({platform: {table}}) {
			await table.transact({conditions: [], writes: ['p/ü %2F', 'q', 'p/b', 'o', 'p/a', 'p/c/d'].map(key => put(key, 1))});
			const lists = [await table.list('p/', {limit: 2}), await table.list('p/', {after: 'p/b'}), await table.list('r')];
			return lists.map(items => items.map(item => item.key));
		},
	},
	{
		name: 'objects are put, kept, listed and deleted',
		expected: [true, false, [1, 2], undefined, ['o/a b/%2F', 'o/c'], ['o/c']],
		async run({platform: {objects}}) {
			const key = 'o/a b/%2F';
			const first = await objects.put(key, Uint8Array.of(1, 2), {onlyIfAbsent: true});
			const second = await objects.put(key, Uint8Array.of(3), {onlyIfAbsent: true});
			await objects.put('o/c', Uint8Array.of());
			const read = [...(await objects.get(key))!];
			const absent = await objects.get('o/absent');
			const keys = await objects.list('o/');
			await objects.delete(key);
			return [first, second, read, absent, keys, await objects.list('o/')];
		},
	},
	{
		name: 'a change of the instance list shows after its lag with a higher revision',
		expected: [['live'], ['live'], ['leaving'], true],
		async run({platform: {instances}, twins}) {
			const before = await instances.read();
			twins.instances.declare({...engine, state: 'leaving'});
			const during = await instances.read();
			await sleep(1100);
			const after = await instances.read();
			return [...[before, during, after].map(snapshot => snapshot.instances.map(instance => instance.state)), after.revision > during.revision];
		},
	},
	{
		name: 'weights are listed and admitted within the rate',
		expected: [[weights], weights, '5006', '1004'],
		async run({platform: {weights: store}}) {
			const admit = async (name: string) => outcome(async () => store.admit(name, weights.version));
			return [await store.list(), await admit(weights.name), await admit(weights.name), await admit('absent')];
		},
	},
	{
		name: 'lost answers are settled, also where the write takes effect late',
		expected: ['committed', 'fenced', ['settled/a']],
		async run({platform: {table}, twins}) {
			const writer = new SettledWriter(table);
			twins.table.faults.set({loseAnswers: 1});
			const first = await writer.run({conditions: [], writes: [put('settled/a', 1)]});
			twins.table.faults.set({loseAnswers: 1, lateEffect: 2000});
			const second = await writer.run({conditions: [], writes: [put('settled/b', 1)]});
			await sleep(2500);
			const items = await table.list('settled/');
			return [first.outcome, second.outcome, items.map(item => item.key)];
		},
	},
	{
		name: 'a caller that leaves gets a write as unknown and a read as not done',
		expected: ['5002', '5001'],
		async run({platform: {table}, twins}) {
			twins.table.faults.set({slow: ampleTimeout / 2});
			const leaving = new AbortController();
			const write = outcome(async () => table.transact({conditions: [], writes: [put('a', 1)]}, leaving.signal));
			const read = outcome(async () => table.read(['a'], leaving.signal));
			// The calls are under way once the service has them.
			while (twins.table.counts.list().length < 2) {
				await sleep(5); // eslint-disable-line no-await-in-loop
			}

			leaving.abort();
			return [await write, await read];
		},
	},
];

/** Result of a call, or the number of its error. */
async function outcome(call: () => Promise<unknown>): Promise<unknown> {
	try {
		return await call();
	} catch (error) {
		return error instanceof CarobquayError ? error.code : error;
	}
}

/** `effectAfter`: time in milliseconds after the call's end until a late effect is surely seen. */
const faults: Array<{name: string; fault: () => Partial<FaultSettings>; write: string; read: string; put: string; applied: boolean; effectAfter?: number; timeout?: number}> = [
	{
		name: 'down', fault: () => ({down: true}), write: '5001 no', read: '5001 no', put: '5004 no', applied: false,
	},
	{
		name: 'slow', fault: () => ({slow: 30}), write: 'done', read: 'done', put: 'done', applied: true,
	},
	{
		name: 'slower than the time limit',
		fault: () => ({slow: beyondShortTimeout}),
		write: '5002 unknown',
		read: '5001 no',
		put: '5004 unknown',
		applied: true,
		effectAfter: 1500,
		timeout: shortTimeout,
	},
	{
		name: 'frozen',
		fault: () => ({frozenUntil: performance.now() + beyondShortTimeout}),
		write: '5002 unknown',
		read: '5001 no',
		put: '5004 unknown',
		applied: true,
		effectAfter: 1500,
		timeout: shortTimeout,
	},
	{
		name: 'answer lost', fault: () => ({loseAnswers: 1}), write: '5002 unknown', read: 'done', put: '5004 unknown', applied: true,
	},
	{
		name: 'answer lost by probability', fault: () => ({loseAnswerProbability: 1}), write: '5002 unknown', read: 'done', put: '5004 unknown', applied: true,
	},
	{
		name: 'request lost', fault: () => ({loseRequests: 1}), write: '5002 unknown', read: '5001 no', put: '5004 unknown', applied: false,
	},
	{
		name: 'answer lost, effect late', fault: () => ({loseAnswers: 1, lateEffect: 30}), write: '5002 unknown', read: 'done', put: '5004 unknown', applied: true, effectAfter: 100,
	},
	{
		name: 'rate limited', fault: () => ({rateLimited: true}), write: '5003 no', read: '5003 no', put: '5004 no', applied: false,
	},
];

for (const [kind, open] of Object.entries(kinds)) {
	for (const {name, expected, run} of behaviours) {
		test(`${kind}: ${name}`, async t => {
			const opened = await open(ampleTimeout);
			t.teardown(opened.close);
			t.deepEqual(await run(opened), expected);
		});
	}

	for (const {name, fault, write, read, put: putTold, applied, effectAfter = 0, timeout = ampleTimeout} of faults) {
		test(`${kind} fault ${name}: write ${write}, read ${read}, put ${putTold}`, async t => {
			const {platform: {table, objects}, twins, close} = await open(timeout);
			t.teardown(close);
			const under = async (faulty: {faults: MemoryPlatform['table']['faults']}, call: () => Promise<unknown>) => {
				faulty.faults.set(fault());
				const result = await told(call());
				await sleep(effectAfter);
				faulty.faults.clear();
				return result;
			};

			t.is(await under(twins.table, async () => table.transact({conditions: [], writes: [put('a', 1)]})), write);
			t.is(await under(twins.table, async () => table.read(['a'])), read);
			t.is(await under(twins.objects, async () => objects.put('a', Uint8Array.of(1))), putTold);
			const items = twins.table.inspect('a');
			const keys = await twins.objects.list('');
			t.deepEqual([items.length > 0, keys.length > 0], [applied, applied]);
		});
	}
}
