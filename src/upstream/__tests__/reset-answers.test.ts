import net, {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {HttpObjects} from '../../platform/http/http-objects.js';
import {HttpService} from '../http-service.js';

/** Time in milliseconds from the last bytes to the reset. */
const resetDelay = 20;

const calls: Array<{name: string; call: (address: string) => Promise<unknown>}> = [
	{
		name: 'a service',
		async call(address) {
			const service = new HttpService({name: 'service', address});
			try {
				return await service.call({
					requestId: 'r', attempt: 1, method: 'GET', path: '/', body: [], timeRemaining: 2000, idempotencyKey: undefined, contentType: undefined,
				}, AbortSignal.timeout(2000));
			} finally {
				await service.close();
			}
		},
	},
	{
		name: 'the object store',
		async call(address) {
			const objects = new HttpObjects({address});
			try {
				return await objects.get('key');
			} finally {
				await objects.close();
			}
		},
	},
];

/** Answers with a part of a body that has no length, then resets the connection. */
async function breakOff(socket: net.Socket): Promise<void> {
	socket.write('HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart');
	await sleep(resetDelay);
	socket.resetAndDestroy();
}

for (const {name, call} of calls) {
	// Guards against an answer without a length that breaks off by a reset and is taken for a whole one.
	test(`an answer of ${name} that has no length and whose connection is reset is none`, async t => {
		const server = net.createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				void breakOff(socket);
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		t.teardown(() => {
			server.close();
		});
		const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		await t.throwsAsync(call(`127.0.0.1:${port}`));
	});
}
