/**
 * A small deployment on loopback addresses: the project's stand-in of the store, and its own programs as separate
 * processes.
 *
 * @module
 */
import {once} from 'node:events';
import fs from 'node:fs';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {StandInStore} from '../../platform/stand-in/store.js';
import {configurationDocument, zones} from './documents.js';
import {Machine} from './machine.js';

/** Longest time in milliseconds until all machines are ready. */
const readyTimeout = 15_000;

/** Most seeds in the settings. */
const seedCount = 3;

/** The store and the machines. */
export class Deployment {
	readonly store = new StandInStore();
	readonly machines: Machine[] = [];
	readonly #folder = fs.mkdtempSync(path.join(os.tmpdir(), 'carobquay-review-'));

	/** Starts the store and the machines, each on an address of its own in 127.0.0.0/8. */
	async start(machineCount: number): Promise<void> {
		const storePort = await this.store.listen();
		this.store.put('op', 'config', configurationDocument());
		const lane = 20 + (process.pid % 200);
		const ips = Array.from({length: machineCount}, (_, index) => `127.77.${lane}.${index + 1}`);
		const ports = {
			front: await freePort(ips[0]!),
			readiness: await freePort(ips[0]!),
			control: await freePort(ips[0]!),
			internal: await freePort(ips[0]!),
		};
		for (const [index, ip] of ips.entries()) {
			const zone = zones[index % zones.length]!;
			const name = `front-${zone}-${index + 1}`;
			const machine = new Machine({
				name,
				ip,
				zone,
				ports,
				storePort,
				seeds: ips.slice(0, seedCount),
			}, this.#folder);
			this.machines.push(machine);
			machine.start();
		}

		await this.#waitUntilReady();
	}

	/** Ends all processes that were started. */
	async close(): Promise<void> {
		await Promise.all(this.machines.map(async machine => machine.close()));
		this.store.close();
		fs.rmSync(this.#folder, {recursive: true, force: true});
	}

	async #waitUntilReady(): Promise<void> {
		const until = performance.now() + readyTimeout;
		for (const machine of this.machines) {
			while (!await machine.isReady()) { // eslint-disable-line no-await-in-loop
				if (performance.now() > until) {
					throw new Error(`machine "${machine.name}" was not ready within ${readyTimeout} ms`);
				}

				await sleep(100); // eslint-disable-line no-await-in-loop
			}
		}
	}
}

/** A port that is free now. */
async function freePort(host: string): Promise<number> {
	const server = net.createServer();
	server.listen(0, host);
	await once(server, 'listening');
	const address = server.address();
	server.close();
	await once(server, 'close');
	return typeof address === 'object' && address !== null ? address.port : 0;
}
