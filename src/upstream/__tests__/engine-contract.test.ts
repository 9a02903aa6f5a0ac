import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {answerHash, answerText} from '../../stand-in/engine/answer.js';
import type {FaultOrder} from '../../stand-in/faults.js';
import type {EngineMessage, GenerateRequest} from '../engine.js';
import {
	assertMemoryFree, collect, type ContractCase, codeAndRan, neverAborted, generateRequest, inactivityTimeout, type EngineUnderTest, testContract, textOf,
} from './engine-contract-harness.js';

/** Reads a stream until it fails, injecting a fault after the fourth token; returns the received messages and the failure. */
async function readUntilFault(t: ExecutionContext, engine: EngineUnderTest, {request, order}: {request: GenerateRequest; order: FaultOrder}) {
	let streamId = '';
	const received: EngineMessage[] = [];
	const failure = await codeAndRan(t, collect(engine.client.generate(request, neverAborted()), message => {
		received.push(message);
		streamId = message.kind === 'accepted' ? message.streamId : streamId;
		if (message.kind === 'token' && message.offset === 3) {
			engine.faults.apply(order);
		}
	}));
	return {streamId, received, failure};
}

const streamCases: ContractCase[] = [
	{
		name: 'two concurrent prompts each get their own complete answer, and memory is freed',
		async run(t, {client}) {
			const requests = [generateRequest(), generateRequest({requestId: 'request-2', text: 'another '.repeat(800), tokens: 30})];
			const answers = await Promise.all(requests.map(async request => collect(client.generate(request, neverAborted()))));
			t.is(textOf(answers[0]!), answerText(answerHash(requests[0]!.body), 20));
			t.is(textOf(answers[1]!), answerText(answerHash(requests[1]!.body), 30));
			t.like(answers[1]!.at(-1), {
				kind: 'end', offset: 30, reason: 'length', usage: {promptTokens: 1600, cachedTokens: 0, answerTokens: 30},
			});
			await assertMemoryFree(t, client);
		},
	},
	{
		name: 'duplicate and misrouted messages are dropped and counted',
		async run(t, {client, faults}) {
			faults.apply({strayMessages: true});
			const request = generateRequest();
			const messages = await collect(client.generate(request, neverAborted()));
			t.is(textOf(messages), answerText(answerHash(request.body), 20));
			t.deepEqual(client.droppedMessages, {misrouted: 20, duplicate: 20, malformed: 0});
		},
	},
	{
		name: 'a stream whose connection breaks is resumed on a new connection',
		async run(t, engine) {
			const request = generateRequest();
			const {streamId, received, failure} = await readUntilFault(t, engine, {request, order: {cut: true}});
			t.deepEqual(failure, {code: '4003', ran: 'unknown'});
			const offset = received.filter(message => message.kind === 'token').length;
			const rest = await collect(engine.client.resume(streamId, offset, neverAborted()));
			t.is(textOf([...received, ...rest]), answerText(answerHash(request.body), 20));
		},
	},
	{
		name: 'a stream whose connection goes silent is resumed on a new connection',
		async run(t, engine) {
			const request = generateRequest({orphanLifetime: 2000});
			const {streamId, received, failure} = await readUntilFault(t, engine, {request, order: {silence: true}});
			t.deepEqual(failure, {code: '4004', ran: 'unknown'});
			const offset = received.filter(message => message.kind === 'token').length;
			const rest = await collect(engine.client.resume(streamId, offset, neverAborted()));
			t.is(textOf([...received, ...rest]), answerText(answerHash(request.body), 20));
		},
	},
	{
		name: 'an engine is not told that the reader of a silent connection left',
		async run(t, engine) {
			await readUntilFault(t, engine, {request: generateRequest({tokens: 900}), order: {silence: true}});
			await delay(250);
			t.like(await engine.client.listStreams(), [{requestId: 'request-1', orphanedFor: 0}]);
			await engine.client.cancelRequest('request-1', 1);
			await assertMemoryFree(t, engine.client);
		},
	},
	{
		name: 'a restart of an engine breaks its streams, which cannot be resumed afterwards',
		async run(t, engine) {
			const before = await engine.client.fetchLoad();
			let streamId = '';
			const failure = await codeAndRan(t, collect(engine.client.generate(generateRequest({tokens: 500}), neverAborted()), message => {
				if (message.kind === 'accepted') {
					streamId = message.streamId;
					void engine.restart();
				}
			}));
			t.deepEqual(failure, {code: '4003', ran: 'unknown'});
			await delay(50);
			t.deepEqual(await codeAndRan(t, collect(engine.client.resume(streamId, 0, neverAborted()))), {code: '4005', ran: 'no'});
			const after = await engine.client.fetchLoad();
			t.not(after.incarnation, before.incarnation);
		},
	},
	{
		name: 'a cancelled stream ends and frees its memory',
		async run(t, {client}) {
			const messages = await collect(client.generate(generateRequest({tokens: 500}), neverAborted()), message => {
				if (message.kind === 'token' && message.offset === 2) {
					void client.cancelRequest('request-1', 1);
				}
			});
			t.like(messages.at(-1), {kind: 'end', reason: 'cancelled'});
			await assertMemoryFree(t, client);
			await client.cancel('unknown');
		},
	},
	{
		name: 'a cancelled stream has no tokens after its end, also when it is read again',
		async run(t, {client}) {
			let streamId = '';
			const messages = await collect(client.generate(generateRequest({tokens: 500, orphanLifetime: 1000}), neverAborted()), message => {
				streamId = 'streamId' in message ? message.streamId : streamId;
				if (message.kind === 'token' && message.offset === 2) {
					void client.cancel(streamId);
				}
			});
			await delay(50);
			const again = await collect(client.resume(streamId, 0, neverAborted()));
			t.deepEqual(again.at(-1), messages.at(-1));
			t.is(textOf(again), textOf(messages));
		},
	},
	{
		name: 'an attempt cancelled before it arrives does not run',
		async run(t, {client}) {
			await client.cancelRequest('request-1', 1);
			t.deepEqual(await codeAndRan(t, collect(client.generate(generateRequest(), neverAborted()))), {code: '4005', ran: 'no'});
			const messages = await collect(client.generate(generateRequest({attempt: 2, tokens: 1}), neverAborted()));
			t.like(messages.at(-1), {kind: 'end', offset: 1});
		},
	},
	{
		name: 'a stream that exceeds its deadline ends and frees its memory',
		async run(t, {client}) {
			const messages = await collect(client.generate(generateRequest({tokens: 500, timeRemaining: 100}), neverAborted()));
			t.like(messages.at(-1), {kind: 'end', reason: 'deadline'});
			await assertMemoryFree(t, client);
		},
	},
	{
		name: 'a stream without a reader is freed after the orphan lifetime',
		async run(t, {client}) {
			const abort = new AbortController();
			const failure = await codeAndRan(t, collect(client.generate(generateRequest({tokens: 500}), abort.signal), message => {
				if (message.kind === 'token') {
					abort.abort();
				}
			}));
			t.is(failure.code, '4009');
			await delay(50);
			t.like(await client.listStreams(), [{requestId: 'request-1', owner: 'entry-1'}]);
			await delay(250);
			await assertMemoryFree(t, client);
		},
	},
	{
		name: 'a stream that waits for memory gets heartbeats',
		async run(t, {client}) {
			const reservation = await client.reserve({
				requestId: 'request-0', owner: 'entry-1', promptTokens: 6000, answerTokens: 100, lifetime: 1000,
			});
			t.true(reservation.expectedWait >= 0);
			const messages = await collect(client.generate(generateRequest(), neverAborted()));
			t.true(messages.filter(message => message.kind === 'heartbeat').length >= 2);
			t.is(messages.filter(message => message.kind === 'token').length, 20);
		},
	},
	{
		name: 'a reader that pauses for longer than the inactivity timeout loses no messages',
		async run(t, {client}) {
			const request = generateRequest();
			const received: EngineMessage[] = [];
			for await (const message of client.generate(request, neverAborted())) {
				received.push(message);
				if (message.kind === 'token' && message.offset === 1) {
					await delay(2 * inactivityTimeout);
				}
			}

			t.is(textOf(received), answerText(answerHash(request.body), 20));
		},
	},
];

const refusalCases: Array<{name: string; order?: FaultOrder; request?: GenerateRequest; code: string; ran: string; started: number}> = [
	{
		name: 'refusing connections', order: {availability: 'refusing'}, code: '4002', ran: 'no', started: 0,
	},
	{
		name: 'unavailable', order: {availability: 'unavailable'}, code: '4005', ran: 'no', started: 0,
	},
	{
		name: 'unavailable when sent a body of four megabytes', order: {availability: 'unavailable'}, request: generateRequest({text: 'x'.repeat(4_000_000)}), code: '4005', ran: 'no', started: 0,
	},
	{
		name: 'that loses the answer', order: {loseAnswers: 1}, code: '4003', ran: 'unknown', started: 1,
	},
	{
		name: 'frozen for longer than the inactivity timeout', order: {freeze: 1000}, code: '4004', ran: 'unknown', started: 0,
	},
	{
		name: 'slower than the inactivity timeout', order: {slow: 1000}, code: '4004', ran: 'unknown', started: 0,
	},
	{
		name: 'sent a prompt for an unknown model', request: generateRequest({model: 'other'}), code: '4005', ran: 'no', started: 0,
	},
	{
		name: 'sent a malformed body', request: generateRequest({body: [Buffer.from('{')]}), code: '4005', ran: 'no', started: 0,
	},
	{
		name: 'sent a prompt that exceeds its memory', request: generateRequest({text: 'x'.repeat(40_000)}), code: '4005', ran: 'no', started: 0,
	},
];

for (const {name, order = {}, request = generateRequest({tokens: 500, orphanLifetime: 1000}), code, ran, started} of refusalCases) {
	streamCases.push({
		name: `an engine ${name}: error ${code}, ran ${ran}`,
		async run(t, engine) {
			engine.faults.apply(order);
			t.deepEqual(await codeAndRan(t, collect(engine.client.generate(request, neverAborted()))), {code, ran});
			engine.faults.clear();
			const streams = await engine.client.listStreams();
			t.is(streams.length, started);
		},
	});
}

testContract(test, streamCases);
