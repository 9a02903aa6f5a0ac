import {once} from 'node:events';
import type http from 'node:http';
import net from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {MemoryBudget} from '../../memory/memory-budget.js';
import {EventLog} from '../../telemetry/log.js';
import {CallerListener} from '../caller-listener.js';

const wholeRequest = 'POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody';
const partOfRequest = 'POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo';

/** Address of these tests alone. */
const host = '127.0.130.1';
const port = 8080;

async function connect(t: ExecutionContext): Promise<net.Socket> {
	const socket = net.connect({host, port, noDelay: true}).on('error', () => undefined);
	t.teardown(() => {
		socket.destroy();
	});
	await once(socket, 'connect');
	return socket;
}

const cases: Array<{name: string; sent: string; heads: number; closes: 'first' | 'second'}> = [
	{
		name: 'whose request is in progress stays open', sent: wholeRequest, heads: 1, closes: 'second',
	},
	{
		name: 'whose request is in progress and whose next one is half sent stays open', sent: wholeRequest + partOfRequest, heads: 2, closes: 'second',
	},
	{
		name: 'whose only request is half sent gives way to a new one', sent: partOfRequest, heads: 1, closes: 'first',
	},
];

for (const {name, sent, heads, closes} of cases) {
	// Guards against a request that runs and whose connection is closed for another one.
	test.serial(`beyond the limit of connections one ${name}`, async t => {
		const responses: http.ServerResponse[] = [];
		let onHead: () => void = () => undefined;
		const listener = new CallerListener((request, response) => {
			request.resume();
			responses.push(response);
			onHead();
		}, new MemoryBudget({ceiling: 1_048_576}), 1);
		await listener.listen({host, port}, new EventLog({write: () => undefined}));
		t.teardown(() => {
			listener.close();
		});
		const first = await connect(t);
		const received = new Promise<void>(resolve => {
			onHead = () => {
				if (responses.length === heads) {
					resolve();
				}
			};
		});
		first.write(sent);
		await received;

		const second = await connect(t);
		const closed = await Promise.race([once(first, 'close').then(() => 'first'), once(second, 'close').then(() => 'second')]);

		t.is(closed, closes);
		t.is(listener.closedCount, 1);
	});
}
