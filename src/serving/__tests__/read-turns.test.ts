import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import {ReadTurns, type ReadTurnsOptions} from '../read-turns.js';

/** Connection that emits `resume` as the runtime's does, some time after the call. */
class FakeSocket extends EventEmitter { // eslint-disable-line unicorn/prefer-event-target -- Sockets of the runtime are event emitters.
	destroyed = false;
	isPaused = false;

	pause(): this {
		this.isPaused = true;
		return this;
	}

	resume(): this {
		this.isPaused = false;
		process.nextTick(() => {
			this.emit('resume');
		});
		return this;
	}
}

function createConnections(count: number, options?: ReadTurnsOptions) {
	const turns = new ReadTurns(options);
	const sockets = Array.from({length: count}, () => new FakeSocket());
	const send = (index: number, chunks: number) => {
		for (let chunk = 0; chunk < chunks; chunk++) {
			// Only what is used of it.
			turns.recordParts(sockets[index] as unknown as Socket, 1); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		}
	};

	return {turns, sockets, send};
}

const cases: Array<{name: string; connections: number; chunks: number; waiting: number; waitingInNextTurn: number}> = [
	{
		name: 'few chunks', connections: 3, chunks: 511, waiting: 0, waitingInNextTurn: 0,
	},
	{
		name: 'many chunks of one connection', connections: 1, chunks: 10_000, waiting: 1, waitingInNextTurn: 0,
	},
	{
		name: 'many chunks of several connections', connections: 5, chunks: 10_000, waiting: 5, waitingInNextTurn: 4,
	},
	{
		name: 'some chunks of several connections', connections: 10, chunks: 1024, waiting: 10, waitingInNextTurn: 6,
	},
];

// Guards against a few connections whose bodies come in tiny chunks and keep the event loop from all others.
for (const {name, connections, chunks, waiting, waitingInNextTurn} of cases) {
	test(`connections are read no further in a turn after ${name}`, async t => {
		const {turns, sockets, send} = createConnections(connections);
		for (let index = 0; index < connections; index++) {
			send(index, chunks);
		}

		t.is(sockets.filter(({isPaused}) => isPaused).length, waiting);
		await nextTurn();
		t.is(turns.waitingCount, waitingInNextTurn);
		for (let turn = 0; turn < connections; turn++) {
			await nextTurn(); // eslint-disable-line no-await-in-loop
		}

		t.false(sockets.some(({isPaused}) => isPaused), 'all are read again');
	});
}

test('a connection that waits for its turn is not resumed by others, until it is released', async t => {
	const {turns, sockets: [first, second], send} = createConnections(2);
	send(0, 10_000);
	send(1, 10_000);
	await nextTurn();
	second!.resume();
	await nextTurn();
	send(0, 10_000);
	send(1, 10_000);
	second!.resume();
	await new Promise(resolve => {
		process.nextTick(resolve);
	});
	t.true(second!.isPaused);

	turns.release(second as unknown as Socket); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	second!.resume();
	t.false(second!.isPaused);
	t.truthy(first);
});

// Guards against new connections that wait behind each read of small parts, as the runtime accepts one in each turn.
test('between two turns in which connections are read again, some are left to other work', async t => {
	const freeTurns = 3;
	const {turns, send} = createConnections(4, {freeTurns});
	for (let index = 0; index < 4; index++) {
		send(index, 10_000);
	}

	const waiting: number[] = [];
	for (let turn = 0; turn < 2 * (freeTurns + 1); turn++) {
		await nextTurn(); // eslint-disable-line no-await-in-loop
		waiting.push(turns.waitingCount);
	}

	t.deepEqual(waiting, [4, 4, 4, 3, 3, 3, 3, 2]);
});
