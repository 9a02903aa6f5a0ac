import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {answerHash, answerText} from '../../stand-in/engine/answer.js';
import type {FaultOrder} from '../../stand-in/faults.js';
import type {EngineMessage, GenerateRequest} from '../engine.js';
import {
	assertMemoryFree, collect, type ContractCase, codeAndRan, neverAborted, generateRequest, inactivityTimeout, type EngineUnderTest, testContract, textOf,
} from './engine-contract-harness.js';

/** Reads a stream until it fails, applying faults after some tokens; returns what arrived and the failure. */
async function readUntilFault(t: ExecutionContext, subject: EngineUnderTest, {request, order}: {request: GenerateRequest; order: FaultOrder}) {
	let streamId = '';
	const received: EngineMessage[] = [];
	const failed = await codeAndRan(t, collect(subject.client.generate(request, neverAborted()), message => {
		received.push(message);
		streamId = message.kind === 'accepted' ? message.streamId : streamId;
		if (message.kind === 'token' && message.offset === 3) {
			subject.faults.apply(order);
		}
	}));
	return {streamId, received, failed};
}

const streamCases: ContractCase[] = [
	{
		name: 'each of two prompts gets its own answer whole, and memory is freed',
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
		name: 'stray messages are dropped and counted',
		async run(t, {client, faults}) {
			faults.apply({strayMessages: true});
			const request = generateRequest();
			const messages = await collect(client.generate(request, neverAborted()));
			t.is(textOf(messages), answerText(answerHash(request.body), 20));
			t.deepEqual(client.droppedMessages, {crossed: 20, repeated: 20, malformed: 0});
		},
	},
	{
		name: 'a stream cut off is resumed on a new connection',
		async run(t, subject) {
			const request = generateRequest();
			const {streamId, received, failed} = await readUntilFault(t, subject, {request, order: {cut: true}});
			t.deepEqual(failed, {code: '4003', ran: 'unknown'});
			const offset = received.filter(message => message.kind === 'token').length;
			const rest = await collect(subject.client.resume(streamId, offset, neverAborted()));
			t.is(textOf([...received, ...rest]), answerText(answerHash(request.body), 20));
		},
	},
	{
		name: 'a stream gone silent is resumed on a new connection',
		async run(t, subject) {
			const request = generateRequest({orphanLifetime: 2000});
			const {streamId, received, failed} = await readUntilFault(t, subject, {request, order: {silence: true}});
			t.deepEqual(failed, {code: '4004', ran: 'unknown'});
			const offset = received.filter(message => message.kind === 'token').length;
			const rest = await collect(subject.client.resume(streamId, offset, neverAborted()));
			t.is(textOf([...received, ...rest]), answerText(answerHash(request.body), 20));
		},
	},
	{
		name: 'an engine does not learn that the reader of a silent connection left',
		async run(t, subject) {
			await readUntilFault(t, subject, {request: generateRequest({tokens: 900}), order: {silence: true}});
			await delay(250);
			t.like(await subject.client.listStreams(), [{requestId: 'request-1', orphanedFor: 0}]);
			await subject.client.cancelRequest('request-1', 1);
			await assertMemoryFree(t, subject.client);
		},
	},
	{
		name: 'an engine that restarts breaks its streams and forgets them',
		async run(t, subject) {
			const before = await subject.client.fetchLoad();
			let streamId = '';
			const failed = await codeAndRan(t, collect(subject.client.generate(generateRequest({tokens: 500}), neverAborted()), message => {
				if (message.kind === 'accepted') {
					streamId = message.streamId;
					void subject.restart();
				}
			}));
			t.deepEqual(failed, {code: '4003', ran: 'unknown'});
			await delay(50);
			t.deepEqual(await codeAndRan(t, collect(subject.client.resume(streamId, 0, neverAborted()))), {code: '4005', ran: 'no'});
			const after = await subject.client.fetchLoad();
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
		name: 'a cancelled stream has no tokens after its end',
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
		name: 'a stream past its deadline ends and frees its memory',
		async run(t, {client}) {
			const messages = await collect(client.generate(generateRequest({tokens: 500, timeRemaining: 100}), neverAborted()));
			t.like(messages.at(-1), {kind: 'end', reason: 'deadline'});
			await assertMemoryFree(t, client);
		},
	},
	{
		name: 'a stream without a reader is freed after its orphan lifetime',
		async run(t, {client}) {
			const abort = new AbortController();
			const failed = await codeAndRan(t, collect(client.generate(generateRequest({tokens: 500}), abort.signal), message => {
				if (message.kind === 'token') {
					abort.abort();
				}
			}));
			t.is(failed.code, '4009');
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
		name: 'a reader that is slow loses nothing',
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
		name: 'unavailable for four megabytes', order: {availability: 'unavailable'}, request: generateRequest({text: 'x'.repeat(4_000_000)}), code: '4005', ran: 'no', started: 0,
	},
	{
		name: 'losing the answer', order: {loseAnswers: 1}, code: '4003', ran: 'unknown', started: 1,
	},
	{
		name: 'frozen for longer than the silence limit', order: {freeze: 1000}, code: '4004', ran: 'unknown', started: 0,
	},
	{
		name: 'slower than the silence limit', order: {slow: 1000}, code: '4004', ran: 'unknown', started: 0,
	},
	{
		name: 'asked for an unknown model', request: generateRequest({model: 'other'}), code: '4005', ran: 'no', started: 0,
	},
	{
		name: 'sent a malformed body', request: generateRequest({body: [Buffer.from('{')]}), code: '4005', ran: 'no', started: 0,
	},
	{
		name: 'sent more than its memory', request: generateRequest({text: 'x'.repeat(40_000)}), code: '4005', ran: 'no', started: 0,
	},
];

for (const {name, order = {}, request = generateRequest({tokens: 500, orphanLifetime: 1000}), code, ran, started} of refusalCases) {
	streamCases.push({
		name: `an engine ${name}: error ${code}, ran ${ran}`,
		async run(t, subject) {
			subject.faults.apply(order);
			t.deepEqual(await codeAndRan(t, collect(subject.client.generate(request, neverAborted()))), {code, ran});
			subject.faults.clear();
			const streams = await subject.client.listStreams();
			t.is(streams.length, started);
		},
	});
}

testContract(test, streamCases);
