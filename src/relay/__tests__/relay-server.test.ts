import {Buffer} from 'node:buffer';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {MemoryBudget} from '../../memory/memory-budget.js';
import {HttpExchange} from '../../serving/http-exchange.js';
import {EventLog} from '../../telemetry/log.js';
import {DirectConnector, type FailureEvidence} from '../../upstream/engine-connector.js';
import {EnginePaths} from '../engine-paths.js';
import {RelayConnector} from '../relay-connector.js';
import {encodeRelayRequest} from '../relay-protocol.js';
import {RelayServer} from '../relay-server.js';
import {createEngineRecord, listen, unusedPort} from './stand-in-path.js';

const head = 'HTTP/1.1 200 OK\r\n';

/** Request that takes many writes. */
const longBody = Buffer.alloc(300_000, 'request ');

/** A relay in front of an engine that serves each connection. */
async function startRelay(t: ExecutionContext, serve: (socket: net.Socket, firstBytes: Uint8Array) => void, options: {isPeer?: boolean; isAvailable?: boolean; hasOthers?: boolean; memory?: MemoryBudget} = {}) {
	const engineSockets = new Set<net.Socket>();
	const engine = net.createServer(socket => {
		engineSockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('data', bytes => {
			serve(socket, bytes);
		});
	});
	const other = net.createServer();
	const ports = new Map([['engine', await listen(engine)], ['other', await listen(other)], ['failed', await unusedPort()]]);
	const log = new EventLog({write: () => undefined});
	const findEngine = (id: string) => ports.has(id) ? createEngineRecord(id, ports.get(id)) : undefined;
	const connectDirectly = ({host, port}: {host: string; port: number}, timeout?: number) => new DirectConnector({host, port, timeout});
	const paths = new EnginePaths({
		log, engine: findEngine, readyEngines: () => options.hasOthers === false ? [] : [createEngineRecord('other', ports.get('other'))], connectDirectly, onCutOffChange: () => undefined,
	});
	const server = new RelayServer({
		log, paths, memory: options.memory ?? new MemoryBudget({ceiling: 32 * 1_048_576}),
		acceptingEngine: findEngine, connectDirectly, isPeer: () => options.isPeer ?? true, isAvailable: () => options.isAvailable ?? true,
	});
	const port = await unusedPort();
	await server.listen('127.0.0.1', port);
	t.teardown(() => {
		server.close();
		paths.close();
		engine.close();
		other.close();
	});
	return {
		server, paths, port, engineSockets,
	};
}

/** Waits until a condition holds, at most 5 s. */
async function until(condition: () => boolean): Promise<void> {
	for (let attempt = 0; attempt < 500 && !condition(); attempt++) {
		await sleep(10); // eslint-disable-line no-await-in-loop
	}
}

type Outcome = {end: 'complete' | 'broken' | 'unreachable' | 'aborted'; evidence?: FailureEvidence; body: string};

/** Sends one request through a relay. */
function exchange(port: number, {engineId = 'engine', body, lifetime = 5000}: {engineId?: string; body?: Uint8Array; lifetime?: number} = {}) {
	let received = '';
	let abort: () => void = () => undefined;
	const outcome = new Promise<Outcome>(resolve => {
		const sent = new HttpExchange({
			connector: new RelayConnector({
				relay: '127.0.0.1', port, localAddress: '127.0.0.1', timeout: 1000, request: {engineId, requestId: 'r', lifetime},
				onRefusal: () => undefined, onOpen: () => () => undefined,
			}),
			method: body ? 'POST' : 'GET', path: '/', headers: () => [['Host', 'engine']], body,
		}, {
			onHead: () => undefined,
			onData(bytes) {
				received += Buffer.from(bytes).toString();
			},
			onEnd() {
				resolve({end: 'complete', body: received});
			},
			onUnreachable(_, evidence) {
				resolve({end: 'unreachable', evidence, body: received});
			},
			onBroken() {
				resolve({end: 'broken', body: received});
			},
		});
		abort = () => {
			sent.abort();
			resolve({end: 'aborted', body: received});
		};
	});
	return {
		outcome, receivedText: () => received, abort() {
			abort();
		},
	};
}

const responses: Array<{name: string; serve: (socket: net.Socket) => void; expected: Partial<Outcome>}> = [
	{
		name: 'a response with a length',
		serve(socket) {
			socket.end(`${head}Content-Length: 5\r\n\r\nwhole`);
		},
		expected: {end: 'complete', body: 'whole'},
	},
	{
		name: 'a response without a length, ended by closing the connection',
		serve(socket) {
			socket.end(`${head}\r\nwhole`);
		},
		expected: {end: 'complete', body: 'whole'},
	},
	{
		name: 'a response without a length whose connection is reset',
		serve(socket) {
			socket.write(`${head}\r\npart`, () => {
				socket.resetAndDestroy();
			});
		},
		expected: {end: 'broken'},
	},
	{
		name: 'a response shorter than its length',
		serve(socket) {
			socket.end(`${head}Content-Length: 9\r\n\r\npart`);
		},
		expected: {end: 'broken'},
	},
	{
		name: 'a second response after the complete one',
		serve(socket) {
			socket.end(`${head}Content-Length: 5\r\n\r\nwhole${head}Content-Length: 5\r\n\r\nother`);
		},
		expected: {end: 'complete', body: 'whole'},
	},
	{
		name: 'no response',
		serve(socket) {
			socket.end();
		},
		expected: {end: 'broken'},
	},
];

// Guards against an answer that a relay cuts, extends or ends early, and that is taken for whole.
for (const {name, serve, expected} of responses) {
	test(`relayed as over a direct connection: ${name}`, async t => {
		const {port} = await startRelay(t, serve);
		t.like(await exchange(port).outcome, expected);
	});
}

test('a response without a length is not complete if the relay ends in the middle of it', async t => {
	const {port, server} = await startRelay(t, socket => {
		socket.write(`${head}\r\npart`);
	});
	const {outcome, receivedText} = exchange(port);
	await until(() => receivedText() === 'part');
	server.close();
	t.like(await outcome, {end: 'broken', body: 'part'});
});

test('long requests and responses are relayed whole', async t => {
	const answer = 'answer '.repeat(100_000);
	let received = 0;
	const {port} = await startRelay(t, (socket, firstBytes) => {
		received += firstBytes.length;
		socket.on('data', bytes => {
			received += bytes.length;
			if (received >= longBody.length) {
				socket.end(`${head}Content-Length: ${answer.length}\r\n\r\n${answer}`);
			}
		});
	});
	const {end, body} = await exchange(port, {body: longBody}).outcome;
	t.is(end, 'complete');
	t.is(body, answer);
});

const refusals: Array<{name: string; engineId?: string; options?: Parameters<typeof startRelay>[2]; reached: string[]; isConfirmed: boolean}> = [
	{
		name: 'an engine that the relay misses while it reaches another one', engineId: 'failed', reached: ['other'], isConfirmed: true,
	},
	{
		name: 'an engine that the relay misses, and no other one that it could try', engineId: 'failed', options: {hasOthers: false}, reached: [], isConfirmed: false,
	},
	{
		name: 'an engine that the relay does not know', engineId: 'unknown', reached: ['other'], isConfirmed: false,
	},
	{
		name: 'a relay that is leaving or cut off', options: {isAvailable: false}, reached: ['other'], isConfirmed: false,
	},
	{
		name: 'a sender that is not an instance', options: {isPeer: false}, reached: ['other'], isConfirmed: false,
	},
];

// Guards against a request that counts as sent although no engine was reached, and an engine that is blamed by an instance that reaches none.
for (const {name, engineId, options, reached, isConfirmed} of refusals) {
	test(`nothing is sent through a relay, and the engine is ${isConfirmed ? 'at fault' : 'not blamed'}: ${name}`, async t => {
		const {port, paths, engineSockets} = await startRelay(t, () => undefined, options);
		for (const id of reached) {
			paths.recordReached(id);
		}

		t.like(await exchange(port, {engineId}).outcome, {end: 'unreachable', evidence: isConfirmed ? 'confirmed' : 'unconfirmed'});
		t.is(engineSockets.size, 0);
	});
}

const ends: Array<{name: string; lifetime: number; end: (abort: () => void) => void; within: number}> = [
	{
		name: 'the caller has left', lifetime: 60_000, within: 500,
		end(abort) {
			abort();
		},
	},
	{
		name: 'its time has passed, though the other instance holds its connection', lifetime: 200, within: 2500, end: () => undefined,
	},
];

// Guards against engines that go on working for callers that have left.
for (const {name, lifetime, end, within} of ends) {
	test(`the connection to the engine is closed when ${name}`, async t => {
		const {port, engineSockets, server} = await startRelay(t, () => undefined);
		const {abort} = exchange(port, {lifetime});
		await until(() => engineSockets.size === 1);
		t.is(server.activeCount, 1);
		const begunAt = performance.now();
		end(abort);
		await until(() => server.activeCount === 0 && [...engineSockets].every(socket => socket.destroyed));
		t.true(performance.now() - begunAt < within);
	});
}

test('a connection on which no whole request arrives is closed', async t => {
	const {port} = await startRelay(t, () => undefined);
	const socket = net.connect({host: '127.0.0.1', port});
	socket.on('error', () => undefined);
	socket.write(Uint8Array.of(0));
	const closed = new Promise(resolve => {
		socket.once('close', () => {
			resolve('closed');
		});
	});
	t.is(await Promise.race([closed, sleep(3000)]), 'closed');
});

test('the port of a server that has closed refuses connections', async t => {
	const {server, port} = await startRelay(t, () => undefined);
	server.close();
	t.like(await exchange(port).outcome, {end: 'unreachable', evidence: 'unconfirmed'});
});

// Guards against a process that keeps for its peers what it relays to and from sockets that nobody reads.
test('what waits in relayed connections is counted, and further ones are refused where there is no room', async t => {
	const memory = new MemoryBudget({ceiling: 600_000});
	const {port, server} = await startRelay(t, socket => {
		const send = () => {
			let isWritable = true;
			while (isWritable && !socket.destroyed) {
				isWritable = socket.write(longBody);
			}
		};

		socket.on('drain', send);
		send();
	}, {memory});
	const unread = Array.from({length: 8}, () => {
		const peer = net.connect({host: '127.0.0.1', port});
		peer.write(encodeRelayRequest({engineId: 'engine', requestId: 'r', lifetime: 60_000}));
		peer.once('data', () => {
			peer.pause().write('request');
		});
		return peer.on('error', () => undefined);
	});
	let peak = 0;
	await until(() => {
		peak = Math.max(peak, memory.total);
		return !memory.hasRoom('relayed-bytes', 262_144);
	});

	t.like(await exchange(port).outcome, {end: 'unreachable', evidence: 'unconfirmed'});
	t.true(server.activeCount > 0);
	for (const peer of unread) {
		peer.destroy();
	}

	await until(() => server.activeCount === 0);
	t.is(memory.total, 0);
	t.true(peak <= memory.ceiling);
});
