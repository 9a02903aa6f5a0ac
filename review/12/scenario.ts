/**
 * Engines answer requests of a `safe` route by events without ids. One of three engines breaks off every twentieth answer for some
 * seconds.
 *
 * @module
 */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callerHeaders, configurationDocument, engineRowDocument, routePrefixes, storeLocations,
} from '../../platform/stand-in/deployment.js';
import {type Answer, send} from '../support-3/caller.js';
import {heartbeat, playCase} from '../support-3/deployment.js';

/** Times in milliseconds. */
const requestInterval = 8;
const requestDeadline = 5000;
const trafficBefore = 1500;
const troubleTime = 5000;
const trafficAfter = 1500;
const eventInterval = 20;

const engineCount = 3;
const eventCount = 8;
const brokenInterval = 20;

const events = Array.from({length: eventCount}, (_, index) => `data: line ${index + 1}\n\n`);
const wholeBody = events.join('');

/** Starts an engine. @param isBrokenOff - Whether it breaks off an answer, by its number. */
async function startEngine(id: string, isBrokenOff: (answer: number) => boolean): Promise<{server: http.Server; port: number}> {
	let answers = 0;
	const server = http.createServer((request, response) => {
		request.resume();
		if ((request.headers['carobquay-expected-instance'] ?? id) !== id) {
			response.writeHead(421, {'Carobquay-Instance-Id': id}).end();
			return;
		}

		const requestId = String(request.headers['carobquay-request-id']);
		answers += 1;
		const rest = [...events];
		const last = isBrokenOff(answers) ? eventCount / 2 : 0;
		response.writeHead(200, {'Content-Type': 'text/event-stream', 'Carobquay-Request-Id': requestId, 'Carobquay-Server-Stamp': `${id}.${requestId}`});
		const timer = setInterval(() => {
			const event = rest.shift();
			if (event === undefined) {
				response.end();
			} else {
				response.write(event);
			}

			if (last > 0 && rest.length <= last) {
				response.socket?.resetAndDestroy();
			}
		}, eventInterval);
		response.once('close', () => {
			clearInterval(timer);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return {server, port};
}

await playCase('review/12', async (deployment, hasTrouble) => {
	const {instances, recording, store} = deployment;
	const engines: Array<Awaited<ReturnType<typeof startEngine>> & {id: string}> = [];
	const trouble = {isOn: false};
	for (let number = 1; number <= engineCount; number++) {
		const id = `i-p${number}`;
		// eslint-disable-next-line no-await-in-loop
		engines.push({id, ...await startEngine(id, answer => trouble.isOn && number === 1 && answer % brokenInterval === 0)});
	}

	const born = Date.now();
	const writeEntries = () => {
		for (const {id, port} of engines) {
			store.put(storeLocations.engines, id, engineRowDocument({
				service: 'plain', port, state: 'ready', startedAt: born, failureDomain: 'tartu-a',
			}));
		}
	};

	writeEntries();
	const beats = setInterval(writeEntries, heartbeat);
	await deployment.start(configurationDocument(1, false), {}, 2);
	const pending: Array<Promise<{id: string; answer: Answer}>> = [];
	const timer = setInterval(() => {
		const id = `r${pending.length}`;
		const {ip} = instances[pending.length % instances.length]!;
		pending.push(send({
			ip, method: 'GET', path: `${routePrefixes.idempotent}x`, headers: callerHeaders(id, requestDeadline), patience: requestDeadline + 500,
		}).then(answer => ({id, answer})));
	}, requestInterval);
	await sleep(trafficBefore);
	trouble.isOn = hasTrouble;
	await sleep(troubleTime);
	trouble.isOn = false;
	await sleep(trafficAfter);
	clearInterval(timer);
	const results = await Promise.all(pending);
	clearInterval(beats);
	for (const {server} of engines) {
		server.close();
		server.closeAllConnections();
	}

	const whole = results.filter(({answer}) => answer.status === 200 && answer.isWhole);
	const wrong = whole.filter(({answer}) => answer.body !== wholeBody);
	for (const {id, answer} of results) {
		recording.add(`request ${id}: status ${answer.status}, ${answer.failure ?? 'complete'}, lines ${answer.body.match(/(?<=line )\d+/gv)?.join(' ') ?? 'none'}`);
	}

	if (whole.length < results.length / 2) {
		return {verdict: 'failed', reason: `${whole.length} of ${results.length} answers were complete`};
	}

	return wrong.length > 0
		? {verdict: 'broken', reason: `${wrong.length} of ${whole.length} complete answers are not an engine's whole body`}
		: {verdict: 'held', reason: `all ${whole.length} complete answers are an engine's whole body`};
});
