/**
 * Measures what one reading of an engine's load and cache events costs over HTTP.
 *
 * @module
 */
import process from 'node:process';
import {once} from 'node:events';
import {connect, createServer, type Server} from 'node:net';
import {HttpEngine} from '../../src/upstream/http-engine.js';
import {startEngineStandIn} from '../../src/stand-in/engine/engine-stand-in.js';

/** Readings that are measured. */
const readings = 300;

/** Readings before, by which the code is compiled. */
const warmUpReadings = 300;

/** Clients whose memory is measured: the engines of the two-year size. */
const clients = 600;

const silenceLimit = 5000;

/** Figures of the wire; bytes count both directions, without the headers of TCP. */
export type WireFigures = {poll_bytes: number; poll_cpu_ms: number; client_kb: number};

/** Readings of load and cache events that `measureWire` makes. */
export const pairsRead = readings + warmUpReadings;

/** Passes bytes on and counts them. */
export class CountingProxy {
	bytes = 0;
	readonly #server: Server;

	constructor(target: string) {
		const [host, port] = target.split(':');
		this.#server = createServer(incoming => {
			const outgoing = connect(Number(port), host);
			for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]] as const) {
				from.on('data', bytes => {
					this.bytes += bytes.length;
				});
				from.on('error', () => {
					to.destroy();
				});
				from.pipe(to);
			}
		});
	}

	async listen(): Promise<string> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		const address = this.#server.address();
		return `127.0.0.1:${typeof address === 'object' ? address?.port : ''}`;
	}
}

/** An engine stand-in whose bytes are counted. */
export async function startCountedEngine(): Promise<{address: string; proxy: CountingProxy}> {
	const engine = await startEngineStandIn();
	const proxy = new CountingProxy(engine.address);
	return {address: await proxy.listen(), proxy};
}

/** Measures the client's side in this process; the stand-in runs in another. */
export async function measureWire(address: string): Promise<Pick<WireFigures, 'poll_cpu_ms'>> {
	const client = new HttpEngine({name: 'kohus-llm-1', address, inactivityTimeout: silenceLimit});
	for (let reading = 0; reading < warmUpReadings; reading++) {
		await poll(client); // eslint-disable-line no-await-in-loop
	}

	const processor = process.cpuUsage();
	for (let reading = 0; reading < readings; reading++) {
		await poll(client); // eslint-disable-line no-await-in-loop
	}

	const used = process.cpuUsage(processor);
	return {
		poll_cpu_ms: (used.user + used.system) / 1000 / readings,
	};
}

async function poll(client: HttpEngine): Promise<void> {
	await client.fetchLoad();
	await client.cacheEvents(0);
}

/** Memory in kilobytes of one client that has been used once. */
export async function measureClients(address: string): Promise<Pick<WireFigures, 'client_kb'>> {
	globalThis.gc?.();
	const before = process.memoryUsage();
	const engines = Array.from({length: clients}, (_, index) => new HttpEngine({name: `kohus-llm-${index}`, address, inactivityTimeout: silenceLimit}));
	for (const engine of engines) {
		await engine.fetchLoad(); // eslint-disable-line no-await-in-loop
	}

	globalThis.gc?.();
	const after = process.memoryUsage();
	return {client_kb: (after.heapUsed + after.external - before.heapUsed - before.external) / engines.length / 1000};
}
