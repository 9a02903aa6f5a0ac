import net, {type AddressInfo} from 'node:net';
import test from 'ava';
import {HttpUpstream, InactivityTimer} from '../http-upstream.js';
import {standStill} from './stand-still.js';

const inactivityTimeout = 100;

// Guards against a plain timer in the upstream: a process that stood still would then fail a call that has been answered.
test.serial('an answer that arrived while the process stood still counts before the inactivity timeout of the call', async t => {
	const server = net.createServer(socket => {
		socket.once('data', () => {
			socket.end('HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nwhole');
			standStill(3 * inactivityTimeout);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	const upstream = new HttpUpstream({name: 'engine', address: `127.0.0.1:${port}`, inactivityTimeout});
	t.teardown(async () => {
		await upstream.close();
		server.close();
	});
	const inactivityTimer = new InactivityTimer(inactivityTimeout);
	const {body} = await upstream.sendRequest({
		method: 'GET', path: '/', signal: undefined, inactivityTimer,
	}, true);

	t.is(await body.text(), 'whole');
	inactivityTimer.stop();
});
