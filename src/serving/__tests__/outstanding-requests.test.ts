import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import test from 'ava';
import {MemoryBudget} from '../../memory/memory-budget.js';
import {maximumOutstanding, OutstandingRequests, requestBytes} from '../outstanding-requests.js';

/** Connection of a client, as far as its requests use it. */
class FakeSocket extends EventEmitter { // eslint-disable-line unicorn/prefer-event-target
	remoteAddress = '127.0.0.1';
	isPaused = false;
	destroyed = false;

	pause(): void {
		this.isPaused = true;
	}

	resume(): void {
		this.isPaused = false;
		this.emit('resume');
	}

	destroy(): void {
		this.destroyed = true;
	}
}

/** A connection and its requests in progress. */
class Client {
	readonly socket = new FakeSocket().setMaxListeners(0);
	readonly responses: EventEmitter[] = [];
	readonly #outstanding: OutstandingRequests;

	constructor(outstanding: OutstandingRequests) {
		this.#outstanding = outstanding;
	}

	/** @returns the decision on the last of some requests. */
	send(count: number): string {
		let decision = '';
		for (let index = 0; index < count; index++) {
			const response = new EventEmitter(); // eslint-disable-line unicorn/prefer-event-target
			this.responses.push(response);
			// Only what is counted is used.
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
			decision = this.#outstanding.add({socket: this.socket} as unknown as IncomingMessage, response as ServerResponse);
		}

		return decision;
	}

	end(count: number): void {
		for (const response of this.responses.splice(0, count)) {
			response.emit('close');
		}
	}
}

const many = maximumOutstanding + 40;

// Guards against requests without end of a connection, and against the loss of others for them.
for (const {title, room, sent, expected, destroyed} of [
	{
		title: 'requests alone on their connections are refused without memory', room: 2, sent: [1, 1, 1], expected: ['accepted', 'accepted', 'refused'], destroyed: [],
	},
	{
		title: 'a request on a further connection is refused without memory', room: 10, sent: [10, 1, 0], expected: ['accepted', 'refused', ''], destroyed: [],
	},
	{
		title: 'a request behind others is dropped without memory', room: 10, sent: [11], expected: ['dropped'], destroyed: [],
	},
	{
		title: 'the connection with most beyond the limit gives way', room: 250, sent: [many, many + 10, 50], expected: ['accepted', 'accepted', 'accepted'], destroyed: [1],
	},
	{
		title: 'connections within the limit do not give way', room: maximumOutstanding + 10, sent: [maximumOutstanding, many, 1], expected: ['accepted', 'dropped', 'refused'], destroyed: [],
	},
]) {
	test(`outstanding requests: ${title}`, t => {
		const memory = new MemoryBudget({ceiling: room * requestBytes});
		const outstanding = new OutstandingRequests(memory);
		const clients = sent.map(() => new Client(outstanding));
		t.deepEqual(clients.map((client, index) => client.send(sent[index]!)), expected);
		t.deepEqual(clients.flatMap(({socket}, index) => socket.destroyed ? [index] : []), destroyed);
		for (const client of clients) {
			client.end(Number.POSITIVE_INFINITY);
		}

		t.is(memory.total, 0, 'ended requests return all');
	});
}

// Guards against a connection that is read on because the body of one of its requests is, and against one that is never read again.
test('a connection is read no further while too many of its requests are in progress', t => {
	const memory = new MemoryBudget({ceiling: 1000 * requestBytes});
	const client = new Client(new OutstandingRequests(memory));
	client.send(maximumOutstanding - 1);
	t.false(client.socket.isPaused);
	client.send(1);
	t.true(client.socket.isPaused);
	client.socket.resume();
	t.true(client.socket.isPaused);
	client.end(maximumOutstanding / 2);
	t.false(client.socket.isPaused);
	client.send(maximumOutstanding);
	t.true(client.socket.isPaused);
	client.socket.emit('close');
	t.is(memory.total, 0);
});
