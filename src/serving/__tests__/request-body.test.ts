import {Buffer} from 'node:buffer';
import {EventEmitter} from 'node:events';
import type http from 'node:http';
import test from 'ava';
import {MemoryBudget} from '../../memory/memory-budget.js';
import {describeUnfitBody, RequestBody} from '../request-body.js';

/** Starts to receive a body with a time limit of 20 ms. */
function receive(memory: MemoryBudget, owner = 'one') {
	const request = new EventEmitter(); // eslint-disable-line unicorn/prefer-event-target
	const rejections = new Set<(rejection: {code: '3006'; reason: string}) => void>();
	const body = new RequestBody(memory, owner);
	// Only events of the request are used.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	const outcome = body.receive(request as http.IncomingMessage, {maximumBytes: 100, timeout: 20}, rejections as Set<never>);
	return {
		request, body, outcome, rejections,
	};
}

type Reception = ReturnType<typeof receive>;

// Guards against memory that stays reserved after an end, and against listeners by which a connection keeps the body of its last request.
for (const {title, end, expected} of [
	{
		title: 'the end of the body', expected: undefined, end({request}: Reception) {
			request.emit('end');
		},
	},
	{
		title: 'an error', expected: '1012', end({request}: Reception) {
			request.emit('error', new Error('aborted'));
		},
	},
	{
		title: 'too many bytes', expected: '1003', end({request}: Reception) {
			request.emit('data', Buffer.alloc(91));
		},
	},
	{
		title: 'the end of the process', expected: '3006', end({rejections}: Reception) {
			for (const reject of rejections) {
				reject({code: '3006', reason: 'stopped'});
			}
		},
	},
	{title: 'its timeout', expected: '1012', end: () => undefined},
]) {
	test(`a body returns its memory after ${title}`, async t => {
		const memory = new MemoryBudget({ceiling: 1000});
		const reception = receive(memory);
		reception.request.emit('data', Buffer.alloc(10));
		t.is(memory.total, 10);
		end(reception);
		const outcome = await reception.outcome;
		t.is<string | undefined, string | undefined>('code' in outcome ? outcome.code : undefined, expected);
		t.is(memory.total, expected === undefined ? 10 : 0);
		reception.body.release();
		t.is(memory.total, 0);
		t.deepEqual(['data', 'end'].map(event => reception.request.listenerCount(event)), [0, 0]);
		t.is(reception.rejections.size, 0);
	});
}

// Guards against bodies of all callers together that have no bound, and against a customer that takes the room of others.
test('a body gives way to one of a customer that uses less, unless it is passed on', async t => {
	const memory = new MemoryBudget({ceiling: 100});
	const [passedOn, received, arriving] = [receive(memory), receive(memory), receive(memory)];
	for (const {request} of [passedOn, received, arriving]) {
		request.emit('data', Buffer.alloc(30));
	}

	for (const {request, outcome} of [passedOn, received]) {
		request.emit('end');
		await outcome; // eslint-disable-line no-await-in-loop
	}

	passedOn.body.pin();
	const givenUp: string[] = [];
	for (const {body} of [passedOn, received]) {
		body.onGiveUp(({code}) => {
			givenUp.push(code);
		});
	}

	t.is(describeUnfitBody(memory, 'one', 40)?.code, '3002');
	t.is(describeUnfitBody(memory, 'two', 60), undefined);
	t.is(describeUnfitBody(memory, 'two', 80)?.code, '3002');
	const other = receive(memory, 'two');
	other.request.emit('data', Buffer.alloc(30));
	t.deepEqual(givenUp, ['3002']);
	other.request.emit('data', Buffer.alloc(20));
	other.request.emit('end');
	const outcome = await other.outcome;
	t.is('code' in outcome ? outcome.code : outcome.length, 50);
	for (const {body} of [passedOn, received, arriving, other]) {
		body.release();
	}

	t.is(memory.total, 0);
});
