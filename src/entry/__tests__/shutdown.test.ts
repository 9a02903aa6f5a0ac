/**
 * Answers that are on their way when an entry instance shuts down.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {openMemoryPlatform} from '../../platform/platform.js';
import {resolveSettings} from '../../settings/resolve.js';
import {EventLog} from '../../telemetry/log.js';
import {HttpConnector} from '../../upstream/http-connector.js';
import {serviceHeaders, serviceLoadPath} from '../../upstream/http-service-protocol.js';
import {hashKey} from '../authentication.js';
import {EntryInstance} from '../instance.js';

const key = 'test-key';

/** Far more bytes than the sockets on the way hold. */
const answerSize = 15 * 1_048_576;

const settings = `[instance]
name = entry-1
[callers]
port = 0
[operators]
port = 0
[platform]
adapter = memory
`;

const configuration = `[pool booking-api]
kind = service
labels = tier=service
upstreams = pool=booking-api
[class confirmation]
pools = tier=service
deadline = 20 s
non_idempotent = true
[customer test]
key_hashes = ${hashKey(key)}
`;

/** Starts a service that answers after some milliseconds, and an entry instance. */
async function startInstance(t: ExecutionContext, {duration, size, limits = ''}: {duration: number; size: number; limits?: string}) {
	const calls = {begun: 0};
	const service = http.createServer((request, response) => {
		request.resume().once('end', () => {
			if (request.url === serviceLoadPath) {
				response.end(JSON.stringify({running: 0, leaving: false}));
				return;
			}

			calls.begun += 1;
			setTimeout(() => {
				response.writeHead(200, {
					[serviceHeaders.requestId]: request.headers[serviceHeaders.requestId], [serviceHeaders.attempt]: request.headers[serviceHeaders.attempt],
				});
				response.end(Buffer.alloc(size, 'x'));
			}, duration);
		});
	});
	await new Promise<void>(resolve => {
		service.listen(0, '127.0.0.1', resolve);
	});
	const {port} = service.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	const platform = openMemoryPlatform({instances: {lag: 0}});
	platform.instances.declare({
		name: 'booking-api-1', kind: 'service', address: `127.0.0.1:${port}`, failureDomain: 'a', region: 'a', state: 'live', labels: {pool: 'booking-api'},
	});
	const lines: string[] = [];
	const resolved = resolveSettings(`${settings}${limits}`, 'settings');
	const instance = new EntryInstance({
		settings: resolved, platform, connector: new HttpConnector(resolved.upstreams.silence), log: new EventLog({
			write(line) {
				lines.push(line);
			},
		}),
	});
	t.teardown(async () => {
		service.close();
		service.closeAllConnections();
		await instance.stop();
	});
	const {callers} = await instance.start();
	await instance.configurations.apply(configuration);
	return {
		instance, calls, lines, callersPort: Number(callers.split(':')[1]),
	};
}

const callText = `POST /v1/services/booking-api/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${key}\r\nContent-Length: 4\r\n\r\nbody`;

function callService(port: number): net.Socket {
	const socket = net.connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.write(callText);
	return socket;
}

/** Reads to the end of the connection. */
async function readAll(socket: net.Socket): Promise<string> {
	let text = '';
	socket.setEncoding('latin1').on('data', (part: string) => {
		text += part;
	}).resume();
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	return text;
}

async function until(condition: () => boolean): Promise<void> {
	for (let attempt = 0; attempt < 250 && !condition(); attempt++) {
		await sleep(20); // eslint-disable-line no-await-in-loop
	}
}

// Guards against answers that a graceful shutdown cuts because their last bytes have not left the process.
test('a caller who reads slowly gets the whole answer of a request that was running when the shutdown began', async t => {
	const {instance, lines, callersPort} = await startInstance(t, {duration: 10, size: answerSize});
	const socket = callService(callersPort);
	socket.pause();
	await until(() => lines.some(line => line.includes('event=request.ended')));
	await sleep(200);

	const ended = instance.shutdown();
	await sleep(500);
	const text = await readAll(socket);

	t.regex(text, /^HTTP\/1\.1 200 /v);
	t.is(text.length - text.indexOf('\r\n\r\n') - 4, answerSize);
	t.true(await ended);
});

// Guards against requests that the end of a graceful shutdown cuts without an answer.
test('a request that lasts longer than a shutdown may is answered with an error that does not deny that it ran', async t => {
	const {instance, calls, callersPort} = await startInstance(t, {duration: 8000, size: 2, limits: '[limits]\nshutdown = 500 ms\n'});
	const answer = readAll(callService(callersPort));
	await until(() => calls.begun === 1);

	const ended = await instance.shutdown();

	const text = await answer;
	t.regex(text, /^HTTP\/1\.1 504 /v);
	t.regex(text, /\r\ncarobquay-ran: unknown\r\n/v);
	t.true(text.endsWith('\r\n0\r\n\r\n'));
	t.false(ended);
});

// Guards against callers who ask a leaving instance again and again, because it leaves their connection open.
test('a request on a kept connection that comes during a shutdown is refused, and its connection is closed', async t => {
	const {instance, calls, callersPort} = await startInstance(t, {duration: 1500, size: 2});
	const kept = net.connect(callersPort, '127.0.0.1');
	kept.write(`GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${key}\r\n\r\n`);
	await once(kept, 'data');
	const running = readAll(callService(callersPort));
	await until(() => calls.begun === 1);

	const ended = instance.shutdown();
	const startedAt = performance.now();
	kept.write(`GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${key}\r\n\r\n`);
	const text = await readAll(kept);

	t.regex(text, /^HTTP\/1\.1 503 /v);
	t.regex(text, /\r\nconnection: close\r\n/v);
	t.true(performance.now() - startedAt < 1000);
	t.regex(await running, /^HTTP\/1\.1 200 /v);
	t.true(await ended);
});

// Guards against a shutdown that waits for responses which wait behind another one on a connection that has closed.
test('a shutdown does not wait for the requests of a client who has left with several on one connection', async t => {
	const {instance, calls, lines, callersPort} = await startInstance(t, {duration: 300, size: 2, limits: '[limits]\nshutdown = 3 s\n'});
	const socket = callService(callersPort);
	await until(() => calls.begun === 1);
	socket.write(callText);
	await until(() => calls.begun === 2);
	socket.destroy();
	await until(() => lines.filter(line => line.includes('event=request.ended')).length === 2);
	await sleep(500);

	t.is(instance.status.inFlight, 0);
	t.true(await instance.shutdown());
});

// Guards against requests that a shutdown has given up and that run all the same, or are cut without an answer.
for (const {name, rest} of [{name: 'comes', rest: 'dy'}, {name: 'never comes', rest: ''}]) {
	test(`a request the rest of whose body ${name} after the limit of a shutdown is refused and does not run`, async t => {
		const {instance, calls, callersPort} = await startInstance(t, {duration: 8000, size: 2, limits: '[limits]\nshutdown = 500 ms\n'});
		const socket = net.connect(callersPort, '127.0.0.1');
		socket.on('error', () => undefined);
		const answer = readAll(socket);
		socket.write(callText.slice(0, -2));
		await until(() => instance.status.inFlight === 1);

		const ended = instance.shutdown();
		await sleep(800);
		socket.write(rest);

		const text = await answer;
		t.is(calls.begun, 0);
		t.regex(text, /^HTTP\/1\.1 503 .*"code":3006/sv);
		t.false(await ended);
	});
}

// Guards against warnings of a leak that each instance writes once more than ten requests are in flight.
test('many requests in flight give no warning', async t => {
	const warnings: string[] = [];
	const record = ({message}: Error) => {
		warnings.push(message);
	};

	process.on('warning', record);
	t.teardown(() => {
		process.off('warning', record);
	});
	const {calls, callersPort} = await startInstance(t, {duration: 500, size: 2});
	const sockets = Array.from({length: 20}, () => callService(callersPort));
	await until(() => calls.begun === sockets.length);
	t.is(calls.begun, sockets.length);
	await sleep(50);
	t.deepEqual(warnings, []);
	for (const socket of sockets) {
		socket.destroy();
	}
});
