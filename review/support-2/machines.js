/** Processes of the system, started as the deploy file says. */
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {ports, settingsDocument} from './deployment.js';

const repository = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');

/** Time in milliseconds in which a process has to become ready, and between two questions. */
const startLimit = 20_000;
const readinessInterval = 50;

/** Program and arguments of the only role of the deploy file. */
function runCommand() {
	const deployFile = fs.readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
	return /^run = "([^"]+)"$/mv.exec(deployFile)[1].split(' ');
}

/** A part of the loopback range, `127.N`, in which nothing listens on the ports that a case uses. */
export async function freeNetwork() {
	for (let attempt = 0; attempt < 50; attempt++) {
		const network = `127.${20 + Math.floor(Math.random() * 200)}`;
		const isFree = await Promise.all([...Object.values(ports), ports.internal + 1, 9464].map(port => canListen(`${network}.1.1`, port))); // eslint-disable-line no-await-in-loop
		if (isFree.every(Boolean)) {
			return network;
		}
	}

	throw new Error('no free addresses');
}

async function canListen(host, port) {
	return new Promise(resolve => {
		const server = net.createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** One machine of the system with its process. */
export class Machine {
	name;
	ip;
	zone;
	store;
	#folder;
	#seeds;
	#bounds;
	#process;

	constructor({name, ip, zone, store, seeds, folder, bounds = {}}) {
		this.name = name;
		this.ip = ip;
		this.zone = zone;
		this.store = store;
		this.#seeds = seeds;
		this.#folder = folder;
		this.#bounds = bounds;
	}

	get processId() {
		return this.#process?.pid;
	}

	/** Starts the process. Its output goes to a file of the temporary folder. */
	start() {
		const settings = path.join(this.#folder, `${this.name}.json`);
		fs.writeFileSync(settings, JSON.stringify(settingsDocument({
			name: this.name, ip: this.ip, zone: this.zone, store: this.store, seeds: this.#seeds, moreBounds: this.#bounds,
		})));
		const output = fs.openSync(path.join(this.#folder, `${this.name}.log`), 'a');
		const [program, ...words] = runCommand();
		const {PATH, HOME, LANG} = process.env;
		this.#process = spawn(program === 'node' ? process.execPath : program, words, {
			cwd: repository, env: {
				PATH, HOME, LANG, CAROBQUAY_BOOT: settings,
			}, stdio: ['ignore', output, output],
		});
		fs.closeSync(output);
	}

	signal(name) {
		this.#process?.kill(name);
	}

	/** Waits until it reports that it is ready. @throws if it does not in time. */
	async untilReady() {
		const until = performance.now() + startLimit;
		while (!await this.isReady()) { // eslint-disable-line no-await-in-loop
			if (performance.now() > until) {
				throw new Error(`${this.name} was not ready within ${startLimit} ms`);
			}

			await sleep(readinessInterval); // eslint-disable-line no-await-in-loop
		}
	}

	async isReady() {
		return new Promise(resolve => {
			const request = http.get({
				host: this.ip, port: ports.readiness, path: '/api/readiness', agent: false, timeout: 500,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			request.once('error', () => {
				resolve(false);
			});
			request.once('timeout', () => {
				request.destroy();
			});
		});
	}
}

/** Temporary folder of a run. */
export function temporaryFolder() {
	return fs.mkdtempSync(path.join(os.tmpdir(), 'carobquay-review-'));
}
