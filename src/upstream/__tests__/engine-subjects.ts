/**
 * Engines that the contract cases run against.
 *
 * @module
 */
import type {EngineHostOptions} from '../../stand-in/engine/engine-host.js';
import {startEngineStandIn} from '../../stand-in/engine/engine-stand-in.js';
import {Faults} from '../../stand-in/faults.js';
import type {EngineClient} from '../engine.js';
import {HttpEngine} from '../http-engine.js';
import {MemoryEngine} from '../memory-engine.js';

/** Time in milliseconds after which a call of these tests counts as silent. */
export const silenceLimit = 300;

/** An engine under test, reached in one of two ways. */
export type Subject = {client: EngineClient & Pick<HttpEngine, 'dropped'>; faults: Faults; restart: () => Promise<void>; close: () => Promise<void>};

/** An engine stand-in behind the HTTP client. */
export async function startHttp(options: EngineHostOptions): Promise<Subject> {
	const faults = new Faults();
	let server = await startEngineStandIn({...options, faults});
	const {address} = server;
	const client = new HttpEngine({name: 'engine-1', address, silenceLimit});
	return {
		client,
		faults,
		async restart() {
			await server.close();
			server = await startEngineStandIn({...options, faults, port: Number(address.split(':')[1])});
		},
		async close() {
			faults.clear();
			await client.close();
			await server.close();
		},
	};
}

/** An engine in memory. */
export async function startMemory(options: EngineHostOptions): Promise<Subject> {
	const client = new MemoryEngine({...options, name: 'engine-1', silenceLimit});
	return {
		client,
		faults: client.faults,
		async restart() {
			client.restart();
		},
		async close() {
			await client.close();
		},
	};
}
