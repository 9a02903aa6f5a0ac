import test from 'ava';
import type {InstanceSnapshot, ListedInstance} from '../../platform/instance-list.js';
import {EventLog} from '../../telemetry/log.js';
import {type ClosableServiceClient, UpstreamDirectory} from '../directory.js';

const listed: ListedInstance = {
	name: 'viide-1', kind: 'service', address: '127.0.0.1:1', labels: {}, failureDomain: 'a', region: 'r', state: 'live',
};

test('a list read that ends after the directory stopped adds no clients', async t => {
	let finishRead: (snapshot: InstanceSnapshot) => void = () => undefined;
	let created = 0;
	const directory = new UpstreamDirectory({
		instances: {
			read: async () => new Promise(resolve => {
				finishRead = resolve;
			}),
		},
		connector: {
			createEngineClient() {
				throw new Error('no engine is listed');
			},
			createServiceClient(): ClosableServiceClient {
				created += 1;
				return {
					name: 'viide-1',
					fetchLoad: async () => ({running: 0, leaving: false}),
					async call() {
						throw new Error('not called');
					},
					async close() {
						created -= 1;
					},
				};
			},
		},
		listener: {
			toResync: [], upstreamsChanged: () => undefined, observe: () => undefined, lastCacheSequence: () => 0,
		},
		log: new EventLog({write: () => undefined}), listInterval: 1000, loadInterval: 1000,
	});
	const started = directory.start();
	await directory.stop();
	finishRead({revision: 1, instances: [listed]});
	await started;

	t.is(created, 0);
	t.deepEqual(directory.upstreams, []);
});
