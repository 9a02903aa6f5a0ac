import {once} from 'node:events';
import net from 'node:net';
import test from 'ava';
import {HttpListener} from '../listener.js';

/** Connections that stall at once. */
const stalled = 300;

/** Time in milliseconds in which a header must be whole. */
const headerTimeout = 200;

async function serve(t: {teardown: (end: () => void) => void}) {
	const listener = new HttpListener(() => new Response('served'), {headerTimeout, headerCheckInterval: 20});
	const address = await listener.listen('127.0.0.1', 0);
	t.teardown(() => {
		listener.destroy();
		void listener.close();
	});
	return Number(address.split(':').at(-1));
}

test('connections that stall in the middle of a header are closed, and others are served meanwhile', async t => {
	const port = await serve(t);
	const closed: Array<Promise<unknown>> = [];
	for (let number = 0; number < stalled; number++) {
		const socket = net.connect(port, '127.0.0.1');
		socket.resume();
		socket.on('error', () => undefined);
		closed.push(once(socket, 'close'));
		socket.write('GET / HTTP/1.1\r\nHost: a\r\nX-Slow: ');
	}

	const answer = await fetch(`http://127.0.0.1:${port}/`);
	t.is(await answer.text(), 'served');
	await Promise.all(closed);
	t.is(closed.length, stalled);
});

test('a body that takes longer than the header may is read', async t => {
	const port = await serve(t);
	const socket = net.connect(port, '127.0.0.1');
	socket.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nConnection: close\r\n\r\n12');
	setTimeout(() => {
		socket.write('34');
	}, headerTimeout * 2);

	let text = '';
	for await (const part of socket) {
		text += String(part);
	}

	t.true(text.startsWith('HTTP/1.1 200'));
});
