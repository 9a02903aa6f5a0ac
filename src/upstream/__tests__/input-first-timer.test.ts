import net, {type AddressInfo} from 'node:net';
import test from 'ava';
import {InputFirstTimer} from '../input-first-timer.js';
import {standStill} from './stand-still.js';

test.serial('input that arrived while the event loop stood still counts before the timer', async t => {
	const server = net.createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	const accepted = new Promise<net.Socket>(resolve => {
		server.once('connection', resolve);
	});
	const client = net.connect(port, '127.0.0.1');
	const sender = await accepted;
	t.teardown(() => {
		client.destroy();
		sender.destroy();
		server.close();
	});
	const events: string[] = [];
	const timer = new InputFirstTimer();
	await new Promise<void>(resolve => {
		client.on('data', () => {
			events.push('data');
			timer.stop();
			resolve();
		});
		timer.start(100, () => {
			events.push('timeout');
			resolve();
		});
		sender.write('answer');
		standStill(300);
	});

	t.deepEqual(events, ['data']);
});

test.serial('the timer calls back once where nothing arrives, and not after it was stopped', async t => {
	let calls = 0;
	const [running, stopped] = [new InputFirstTimer(), new InputFirstTimer()];
	running.start(10, () => {
		calls += 1;
	});
	stopped.start(10, () => {
		calls += 10;
	});
	stopped.stop();
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	t.is(calls, 1);
});
