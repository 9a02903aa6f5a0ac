/**
 * Process with one instance's links, which the bench freezes.
 *
 * @module
 */
import process from 'node:process';
import {MemoryInstanceList} from '../../src/platform/memory/memory-instance-list.js';
import {MemoryTable} from '../../src/platform/memory/memory-table.js';
import {BenchNode} from './bench-node.js';
import {SimulatedConnector} from './simulated-engine.js';

const [name = '', peer = ''] = process.argv.slice(2);
const node = new BenchNode({
	name,
	table: new MemoryTable(),
	connector: new SimulatedConnector(),
	instances: new MemoryInstanceList({
		instances: [{
			name: 'entry-1', address: peer, kind: 'entry', failureDomain: 'tartu-a', region: 'tartu', state: 'live', labels: {},
		}],
	}),
});
await node.start();
console.log(node.address);
