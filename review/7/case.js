/**
 * Connections to the store go silent just after an engine has left: a machine that notices it goes on using the engine.
 */
import http from 'node:http';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	bounds, callerHost, configurationDocument, engineRow, ports,
} from '../support-2/deployment.js';
import {freeNetwork, Machine, temporaryFolder} from '../support-2/machines.js';
import {Proxy} from '../support-2/proxy.js';
import {runCase} from '../support-2/record.js';
import {Store} from '../support-2/store.js';

const folder = path.dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';

/** Machines of each zone, as on the sheet. */
const machinesByZone = {'tartu-a': 3, 'tartu-b': 3, 'tartu-c': 2};

/** Time in milliseconds for which requests to an engine that has left must have ended (drain_ms). */
const drainTime = 2000;

/** Time in milliseconds between two requests to a machine, and in which they are sent. */
const requestInterval = 25;
const observedTime = 7000;

/** Time in milliseconds that is left out beyond the moments of the rule, as the platform may count the disruption for a little longer. */
const margin = 600;

/** Time in milliseconds that an engine works on a request. */
const workTime = 20;

const apiKey = 'key-of-tenant-one';
const leavingEngine = 4;

const store = new Store();
const machines = [];
const engines = [];
/** Requests that the leaving engine has got, with the machine that sent them. */
const arrivals = [];

async function startEngine(network, index) {
	const ip = `${network}.100.${index}`;
	const engine = http.createServer(async (request, response) => {
		const id = request.headers['carobquay-request-id'];
		if (index === leavingEngine) {
			arrivals.push({id, at: performance.now(), from: request.socket.remoteAddress});
		}

		await sleep(workTime);
		const body = `engine ${index} ran ${id}`;
		response.writeHead(200, {'Carobquay-Request-Id': id, 'Carobquay-Server-Stamp': `${index}.${id}`, 'Content-Length': body.length});
		response.end(body);
	});
	engines.push(engine);
	await new Promise(resolve => {
		engine.listen(ports.engine, ip, resolve);
	});
	enter(network, index);
}

function enter(network, index) {
	store.put('servers', `i-${index}`, engineRow({
		service: 'viide-app', ip: `${network}.100.${index}`, zone: 'tartu-a', slots: 6,
	}));
}

async function startMachines(network) {
	const addresses = Object.entries(machinesByZone).flatMap(([zone, count], zoneIndex) => Array.from({length: count}, (_, index) => ({zone, ip: `${network}.${zoneIndex + 1}.${index + 1}`})));
	const seeds = [addresses[0], addresses[3], addresses[6]].map(({ip}) => ip);
	const temporary = temporaryFolder();
	for (const [index, {zone, ip}] of addresses.entries()) {
		const proxyHost = `${network}.201.${index + 1}`;
		const proxy = new Proxy(proxyHost, {host: `${network}.200.1`, port: ports.store});
		await proxy.listen(ports.store); // eslint-disable-line no-await-in-loop
		const machine = new Machine({
			name: `front-${zone}-${index}`, ip, zone, seeds, store: `${proxyHost}:${ports.store}`, folder: temporary,
		});
		machine.proxy = proxy;
		machines.push(machine);
		machine.start();
	}

	await Promise.all(machines.map(machine => machine.untilReady()));
}

let requestCount = 0;

/** Sends one request that may be repeated. Resolves with its status, or the error of its connection. */
async function ask(machine) {
	requestCount += 1;
	const id = `request-${requestCount}`;
	const sentAt = performance.now();
	const status = await new Promise(resolve => {
		const request = http.request({
			host: machine.ip, port: ports.callers, path: '/citation/1', agent: false, headers: {
				Host: callerHost, Authorization: `Bearer ${apiKey}`, 'Carobquay-Request-Id': id, 'Carobquay-Deadline-Milliseconds': '1500',
			},
		}, response => {
			response.resume();
			response.once('end', () => {
				resolve(response.statusCode);
			});
		});
		request.once('error', error => {
			resolve(error.code);
		});
		request.end();
	});
	return {id, sentAt, status};
}

async function play(record) {
	const network = await freeNetwork();
	await store.listen(`${network}.200.1`, ports.store);
	store.put('op', 'config', configurationDocument(3, {one: [apiKey]}));
	for (const index of [1, 2, leavingEngine]) {
		await startEngine(network, index); // eslint-disable-line no-await-in-loop
	}

	await startMachines(network);
	await sleep(5000);
	await startEngine(network, 3);
	record.line('engine 3 registers itself');
	await sleep(200);
	store.remove('servers', `i-${leavingEngine}`);
	const acknowledgedAt = performance.now();
	record.line(`the entry of engine ${leavingEngine} is removed; the engine goes on serving`);
	await sleep(150);
	const disruptedAt = performance.now();
	if (hasTrouble) {
		const counts = machines.map(machine => machine.proxy.silence());
		record.line(`the open connections of all machines to the store go silent: ${counts.join(', ')}`);
	}

	const judgedFrom = Math.max(acknowledgedAt + drainTime, disruptedAt + bounds.stableWindow + margin);
	const requests = new Map();
	await Promise.all(machines.map(async machine => {
		const pending = [];
		while (performance.now() < acknowledgedAt + observedTime) {
			pending.push(ask(machine).then(request => requests.set(request.id, request)));
			await sleep(requestInterval * (1 + Math.random())); // eslint-disable-line no-await-in-loop
		}

		await Promise.all(pending);
	}));
	const late = arrivals.filter(({id, at}) => at >= judgedFrom && requests.get(id).sentAt >= judgedFrom);
	for (const {id, at, from} of arrivals.filter(arrival => arrival.at > acknowledgedAt)) {
		record.line(`${id} reached engine ${leavingEngine} from ${from}, ${Math.round(at - acknowledgedAt)} ms after the acknowledgement that it is gone`);
	}

	record.line(`${[...requests.values()].filter(({status}) => status === 200).length} of ${requests.size} requests were answered with 200`);
	return late.map(({id, at, from}) => {
		const times = `${Math.round(at - acknowledgedAt)} ms after the acknowledgement that it is gone and ${Math.round(at - disruptedAt)} ms after the disruption`;
		return `${id} reached engine ${leavingEngine} from ${from}, ${times}`;
	});
}

function cleanUp() {
	for (const machine of machines) {
		machine.signal('SIGKILL');
		machine.proxy.close();
	}

	for (const server of [store, ...engines]) {
		server.close();
	}
}

await runCase({file: path.join(folder, 'record.txt'), play, cleanUp});
