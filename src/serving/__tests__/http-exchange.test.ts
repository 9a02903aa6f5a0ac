import net from 'node:net';
import test from 'ava';
import {DirectConnector} from '../../upstream/engine-connector.js';
import {HttpExchange} from '../http-exchange.js';

/** What the listener received. */
type Outcome = {isComplete: boolean; failure: 'unreachable' | 'broken' | undefined; body: string; status: number};

const head = 'HTTP/1.1 200 OK\r\n';

const cases: Array<{name: string; serve: (socket: net.Socket) => void; expected: Partial<Outcome>}> = [
	{
		name: 'a response with a length',
		serve(socket) {
			socket.end(`${head}Content-Length: 5\r\n\r\nwhole`);
		},
		expected: {isComplete: true, body: 'whole', status: 200},
	},
	{
		name: 'a response without a length, ended by closing the connection',
		serve(socket) {
			socket.end(`${head}\r\nwhole`);
		},
		expected: {isComplete: true, body: 'whole'},
	},
	{
		name: 'a response without a length whose connection is reset right after some bytes',
		serve(socket) {
			socket.write(`${head}\r\npart`, () => {
				socket.resetAndDestroy();
			});
		},
		expected: {isComplete: false, failure: 'broken'},
	},
	{
		name: 'a chunked response without the last chunk',
		serve(socket) {
			socket.end(`${head}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`);
		},
		expected: {isComplete: false, failure: 'broken', body: 'part'},
	},
	{
		name: 'a response shorter than its length',
		serve(socket) {
			socket.end(`${head}Content-Length: 9\r\n\r\npart`);
		},
		expected: {isComplete: false, failure: 'broken'},
	},
	{
		name: 'bytes that are not an HTTP response',
		serve(socket) {
			socket.end('garbage\r\n\r\n');
		},
		expected: {isComplete: false, failure: 'broken'},
	},
	{
		name: 'a second response after the complete one',
		serve(socket) {
			socket.end(`${head}Content-Length: 5\r\n\r\nwhole${head}Content-Length: 5\r\n\r\nother`);
		},
		expected: {isComplete: true, body: 'whole'},
	},
	{
		name: 'a second response after the complete one, which asks to close the connection',
		serve(socket) {
			socket.end(`${head}Content-Length: 5\r\nConnection: close\r\n\r\nwhole${head}Content-Length: 5\r\n\r\nother`);
		},
		expected: {isComplete: true, body: 'whole'},
	},
	// Guards against heads that the parser accepts and the writer of the caller's response rejects, in an event that nothing guards.
	...[
		['a status of no class', 'HTTP/1.1 000 OK\r\n'],
		['a status below 100', 'HTTP/1.1 099 OK\r\n'],
		['a change of protocol that was not asked for', 'HTTP/1.1 101 Switching Protocols\r\n'],
		['a status above 599', 'HTTP/1.1 600 OK\r\n'],
		['a blank in the name of a header', `${head}Server Load: 1\r\n`],
		['a header without a name', `${head}: 1\r\n`],
	].map(([form, start]) => ({
		name: `a head with ${form}`,
		serve(socket: net.Socket) {
			socket.end(`${start}Content-Length: 5\r\n\r\nwhole`);
		},
		expected: {
			isComplete: false, failure: 'broken', body: '', status: 0,
		} as const,
	})),
	{
		name: 'no response at all',
		serve(socket) {
			socket.end();
		},
		expected: {isComplete: false, failure: 'broken'},
	},
];

for (const {name, serve, expected} of cases) {
	test(`exchange: ${name}`, async t => {
		const server = net.createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				serve(socket);
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		t.teardown(() => {
			server.close();
		});

		const outcome = await exchange(portOf(server));

		t.like(outcome, expected);
	});
}

test('exchange: a port without a listener is unreachable, so nothing was sent', async t => {
	const server = net.createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const port = portOf(server);
	await new Promise(resolve => {
		server.close(resolve);
	});

	t.like(await exchange(port), {isComplete: false, failure: 'unreachable'});
});

function portOf(server: net.Server): number {
	const address = server.address();
	return typeof address === 'object' && address !== null ? address.port : 0;
}

async function exchange(port: number): Promise<Outcome> {
	const outcome: Outcome = {
		isComplete: false, failure: undefined, body: '', status: 0,
	};
	return new Promise(resolve => {
		// eslint-disable-next-line no-new
		new HttpExchange({
			connector: new DirectConnector({host: '127.0.0.1', port, timeout: 1000}), method: 'GET', path: '/', headers: () => [['Host', 'upstream']], body: undefined,
		}, {
			onHead({status}) {
				outcome.status = status;
			},
			onData(bytes) {
				outcome.body += new TextDecoder().decode(bytes);
			},
			onEnd() {
				resolve({...outcome, isComplete: true});
			},
			onUnreachable() {
				resolve({...outcome, failure: 'unreachable'});
			},
			onBroken() {
				resolve({...outcome, failure: 'broken'});
			},
		});
	});
}
