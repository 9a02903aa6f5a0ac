import net from 'node:net';
import test from 'ava';
import {HttpExchange, type HttpExchangeFailure} from '../http-exchange.js';

/** What the listener was told. */
type Outcome = {ended: boolean; failure: HttpExchangeFailure | undefined; body: string; status: number};

const head = 'HTTP/1.1 200 OK\r\n';

const cases: Array<{name: string; serve: (socket: net.Socket) => void; expected: Partial<Outcome>}> = [
	{
		name: 'an answer with its length',
		serve(socket) {
			socket.end(`${head}Content-Length: 5\r\n\r\nwhole`);
		},
		expected: {ended: true, body: 'whole', status: 200},
	},
	{
		name: 'an answer without length that ends with its connection',
		serve(socket) {
			socket.end(`${head}\r\nwhole`);
		},
		expected: {ended: true, body: 'whole'},
	},
	{
		name: 'an answer without length whose connection is reset right after some bytes',
		serve(socket) {
			socket.write(`${head}\r\npart`, () => {
				socket.resetAndDestroy();
			});
		},
		expected: {ended: false, failure: 'broken'},
	},
	{
		name: 'an answer in chunks without the last one',
		serve(socket) {
			socket.end(`${head}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`);
		},
		expected: {ended: false, failure: 'broken', body: 'part'},
	},
	{
		name: 'an answer shorter than its length',
		serve(socket) {
			socket.end(`${head}Content-Length: 9\r\n\r\npart`);
		},
		expected: {ended: false, failure: 'broken'},
	},
	{
		name: 'bytes that are no answer',
		serve(socket) {
			socket.end('garbage\r\n\r\n');
		},
		expected: {ended: false, failure: 'broken'},
	},
	{
		name: 'a second answer after the whole one',
		serve(socket) {
			socket.end(`${head}Content-Length: 5\r\n\r\nwhole${head}Content-Length: 5\r\n\r\nother`);
		},
		expected: {ended: true, body: 'whole'},
	},
	{
		name: 'a second answer after the whole one on a connection that is to close',
		serve(socket) {
			socket.end(`${head}Content-Length: 5\r\nConnection: close\r\n\r\nwhole${head}Content-Length: 5\r\n\r\nother`);
		},
		expected: {ended: true, body: 'whole'},
	},
	{
		name: 'no answer at all',
		serve(socket) {
			socket.end();
		},
		expected: {ended: false, failure: 'broken'},
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

test('exchange: a port without listener is unreachable, so that nothing was sent', async t => {
	const server = net.createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const port = portOf(server);
	await new Promise(resolve => {
		server.close(resolve);
	});

	t.like(await exchange(port), {ended: false, failure: 'unreachable'});
});

function portOf(server: net.Server): number {
	const address = server.address();
	return typeof address === 'object' && address !== null ? address.port : 0;
}

async function exchange(port: number): Promise<Outcome> {
	const outcome: Outcome = {
		ended: false, failure: undefined, body: '', status: 0,
	};
	return new Promise(resolve => {
		// eslint-disable-next-line no-new
		new HttpExchange({
			host: '127.0.0.1', port, method: 'GET', path: '/', headers: [['Host', 'upstream']], body: undefined, connectTimeout: 1000,
		}, {
			onHead({status}) {
				outcome.status = status;
			},
			onData(bytes) {
				outcome.body += new TextDecoder().decode(bytes);
			},
			onEnd() {
				resolve({...outcome, ended: true});
			},
			onFailure(failure) {
				resolve({...outcome, failure});
			},
		});
	});
}
