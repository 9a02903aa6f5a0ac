/**
 * Guards the subsets of engines in fleets of any size: an engine that no instance uses is idle, one that more instances
 * use than their share is overloaded, and an instance that places on an engine unheard by its other users overfills it.
 *
 * @module
 */
import test from 'ava';
import type {EngineRecord} from '../../serving/model.js';
import {EngineSubsetting, sortOnRing} from '../engine-subsetting.js';
import type {Placement} from '../load-tracker.js';

function createEngine(number: number): EngineRecord {
	return {
		id: `i-${number}`, service: 'model', host: '127.0.0.1', port: number, address: `127.0.0.1:${number}`, failureDomain: 'a', slots: 7, state: 'ready', startedAt: undefined,
	};
}

function createFleet(instanceCount: number, engineCount: number) {
	const engines = Array.from({length: engineCount}, (_, index) => createEngine(index));
	const source = {ready: () => engines, get: (id: string) => engines.find(engine => engine.id === id)};
	const ring = sortOnRing(Array.from({length: instanceCount}, (_, index) => `10.0.${index % 5}.${index}`));
	return {engines, ring, subsettings: ring.map(ownIp => ({ownIp, subsetting: new EngineSubsetting({ownIp, instances: () => ring, engines: source})}))};
}

const sizes: Array<{instances: number; engines: number; maximumSubset: number; maximumSubscribers: number}> = [
	{
		instances: 1, engines: 14, maximumSubset: 14, maximumSubscribers: 0,
	},
	{
		instances: 9, engines: 14, maximumSubset: 14, maximumSubscribers: 8,
	},
	{
		instances: 9, engines: 600, maximumSubset: 600, maximumSubscribers: 8,
	},
	{
		instances: 195, engines: 112, maximumSubset: 33, maximumSubscribers: 62,
	},
	{
		instances: 71, engines: 60, maximumSubset: 48, maximumSubscribers: 61,
	},
	{
		instances: 350, engines: 600, maximumSubset: 97, maximumSubscribers: 61,
	},
];

for (const {instances, engines: engineCount, maximumSubset, maximumSubscribers} of sizes) {
	test(`${instances} instances share ${engineCount} engines evenly, and all users of an engine hear of its placements`, t => {
		const {engines, subsettings} = createFleet(instances, engineCount);
		const users = new Map(engines.map(({id}) => [id, new Set<string>()]));
		for (const {ownIp, subsetting} of subsettings) {
			const subset = subsetting.subset('model');
			t.true(subset.length > 0 && subset.length <= maximumSubset, `subset of ${subset.length} engines`);
			for (const {id} of subset) {
				users.get(id)!.add(ownIp);
			}
		}

		const userCounts = [...users.values()].map(({size}) => size);
		t.true(Math.max(...userCounts) - Math.min(...userCounts) <= 2, `engines are used by ${Math.min(...userCounts)} to ${Math.max(...userCounts)} instances`);
		const {ownIp, subsetting} = subsettings[0]!;
		for (const {id} of engines) {
			const subscribers = subsetting.subscribers([id]);
			t.true(subscribers.length <= maximumSubscribers, `${subscribers.length} subscribers`);
			t.deepEqual([...users.get(id)!].filter(ip => ip !== ownIp && !subscribers.includes(ip)), []);
		}
	});
}

test('the loss of a third of the instances and of a tenth of the engines moves few engines out of a subset', t => {
	const {engines, ring} = createFleet(195, 112);
	const ownIp = ring[100]!;
	let [currentRing, ready] = [ring, engines];
	const subsetting = new EngineSubsetting({ownIp, instances: () => currentRing, engines: {ready: () => ready, get: () => undefined}});
	const before = subsetting.subset('model').map(({id}) => id);
	currentRing = ring.filter((ip, index) => ip === ownIp || index % 3 !== 0);
	ready = engines.filter((_, index) => index % 10 !== 0);
	const after = new Set(subsetting.subset('model').map(({id}) => id));
	const kept = before.filter(id => after.has(id)).length;
	t.true(kept >= before.length * 0.7, `${kept} of ${before.length} kept`);
});

test('the split prefill of a prompt is told to the users of all its engines', t => {
	const {engines, subsettings} = createFleet(195, 112);
	const {subsetting} = subsettings[0]!;
	const [one, other] = [engines[3]!.id, engines[70]!.id];
	const told = new Set(subsetting.subscribers([one, other]));
	t.deepEqual([...subsetting.subscribers([one]), ...subsetting.subscribers([other])].filter(ip => !told.has(ip)), []);
});

for (const {instances, expected} of [{instances: 9, expected: 8}, {instances: 195, expected: 0}]) {
	test(`a request without a prompt is told to ${expected} peers in a fleet of ${instances}`, t => {
		const {engines, subsettings} = createFleet(instances, 5);
		const placement: Placement = {
			key: 'a/1', eventGapTarget: Number.POSITIVE_INFINITY, weight: 1, startsAt: 0, expiresAt: 1000, assignments: [{
				engineId: engines[0]!.id, prefillTime: 0, kvCacheTokens: 0, runsDecode: true,
			}],
		};
		t.is(subsettings[0]!.subsetting.subscribersOf(placement).length, expected);
	});
}
