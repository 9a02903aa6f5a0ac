/**
 * The platform's four services together, chosen by settings.
 *
 * @module
 */
import {match} from 'ts-pattern';
import {HttpInstanceList} from './http/http-instance-list.js';
import {HttpObjects} from './http/http-objects.js';
import {HttpTable} from './http/http-table.js';
import {HttpWeightStore} from './http/http-weight-store.js';
import {type FaultOptions} from './memory/faults.js';
import {type InstanceList} from './instance-list.js';
import {MemoryInstanceList, type MemoryInstanceListOptions} from './memory/memory-instance-list.js';
import {MemoryObjects} from './memory/memory-objects.js';
import {MemoryTable, type MemoryTableOptions} from './memory/memory-table.js';
import {MemoryWeightStore, type MemoryWeightStoreOptions} from './memory/memory-weight-store.js';
import {type ObjectStore} from './object-store.js';
import {type TableService} from './table.js';
import {type WeightStore} from './weight-store.js';

/** What the platform gives. */
export type Platform = {
	table: TableService;
	objects: ObjectStore;
	instances: InstanceList;
	weights: WeightStore;
	/** Closes connections; calls under way fail. */
	close: () => Promise<void>;
};

/** The platform's services over HTTP. */
export type HttpPlatformSettings = {
	kind: 'http';
	/** Addresses as "IP:port". */
	tableAddress: string;
	objectsAddress: string;
	instancesAddress: string;
	weightsAddress: string;
	/**
	 * Time limit in milliseconds of a call.
	 * @default 2000
	 */
	timeout?: number;
	/**
	 * Greatest number of connections to each service.
	 * @default 8
	 */
	connections?: number;
};

/** The in-memory twins, for tests and trials within one process. */
export type MemoryPlatformSettings = {
	kind: 'memory';
	/** @default {} */
	table?: MemoryTableOptions;
	/** @default {} */
	objects?: FaultOptions;
	/** @default {} */
	instances?: MemoryInstanceListOptions;
	/** @default {} */
	weights?: MemoryWeightStoreOptions;
};

export type PlatformSettings = HttpPlatformSettings | MemoryPlatformSettings;

/** Opens the platform's services; no call is made yet. */
export function openPlatform(settings: PlatformSettings): Platform {
	return match(settings)
		.with({kind: 'http'}, openHttpPlatform)
		.with({kind: 'memory'}, openMemoryPlatform)
		.exhaustive();
}

function openHttpPlatform({
	tableAddress, objectsAddress, instancesAddress, weightsAddress, timeout, connections,
}: HttpPlatformSettings): Platform {
	const services = {
		table: new HttpTable({address: tableAddress, timeout, connections}),
		objects: new HttpObjects({address: objectsAddress, timeout, connections}),
		instances: new HttpInstanceList({address: instancesAddress, timeout, connections}),
		weights: new HttpWeightStore({address: weightsAddress, timeout, connections}),
	};
	return {
		...services,
		async close() {
			await Promise.all(Object.values(services).map(async service => service.close()));
		},
	};
}

/** The platform as twins, which tests reach for their faults and counts. */
export type MemoryPlatform = Platform & {
	table: MemoryTable;
	objects: MemoryObjects;
	instances: MemoryInstanceList;
	weights: MemoryWeightStore;
};

/** Opens the in-memory twins. */
export function openMemoryPlatform({
	table, objects, instances, weights,
}: Omit<MemoryPlatformSettings, 'kind'> = {}): MemoryPlatform {
	return {
		table: new MemoryTable(table),
		objects: new MemoryObjects(objects),
		instances: new MemoryInstanceList(instances),
		weights: new MemoryWeightStore(weights),
		async close() {
			// Twins hold no connections.
		},
	};
}
