import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {CarobquayError} from '../../errors/errors.js';
import {answerHash, answerText} from '../../stand-in/engine/answer.js';
import type {EngineHostOptions} from '../../stand-in/engine/engine-host.js';
import type {FaultOrder} from '../../stand-in/faults.js';
import type {EngineClient, EngineMessage, GenerateRequest} from '../engine.js';
import {
	silenceLimit, startHttp, startMemory, type Subject,
} from './engine-subjects.js';

const engineOptions: EngineHostOptions = {
	timeScale: 0.2, heartbeatInterval: 50, loadTime: 1, parameters: {blocks: 100},
};

function prompt(particulars: Partial<GenerateRequest> & {text?: string; tokens?: number; model?: string} = {}): GenerateRequest {
	const {text = 'hello '.repeat(500), tokens = 20, model = 'stand-in', ...rest} = particulars;
	return {
		requestId: 'request-1',
		attempt: 1,
		owner: 'entry-1',
		body: [Buffer.from(JSON.stringify({model, max_tokens: tokens, messages: [{role: 'user', content: text}]}))],
		priority: 0,
		deadline: 10_000,
		orphanLifetime: 150,
		...rest,
	};
}

async function collect(messages: AsyncIterable<EngineMessage>, onMessage?: (message: EngineMessage) => void): Promise<EngineMessage[]> {
	const collected: EngineMessage[] = [];
	for await (const message of messages) {
		collected.push(message);
		onMessage?.(message);
	}

	return collected;
}

function textOf(messages: readonly EngineMessage[]): string {
	return messages.map(message => message.kind === 'token' ? message.text : '').join('');
}

function never(): AbortSignal {
	return new AbortController().signal;
}

/** Number and outcome of the error that a call fails with. */
async function failure(t: ExecutionContext, call: Promise<unknown>): Promise<{code: string; ran: string}> {
	const error = await t.throwsAsync(call, {instanceOf: CarobquayError});
	return {code: error.code, ran: error.ran};
}

/** Reads a stream until it fails, applying faults after some tokens; returns what arrived and the failure. */
async function interrupt(t: ExecutionContext, subject: Subject, {request, order}: {request: GenerateRequest; order: FaultOrder}) {
	let streamId = '';
	const received: EngineMessage[] = [];
	const failed = await failure(t, collect(subject.client.generate(request, never()), message => {
		received.push(message);
		streamId = message.kind === 'accepted' ? message.streamId : streamId;
		if (message.kind === 'token' && message.offset === 3) {
			subject.faults.apply(order);
		}
	}));
	return {streamId, received, failed};
}

async function assertMemoryFree(t: ExecutionContext, client: EngineClient): Promise<void> {
	t.deepEqual(await client.streams(), []);
	t.like(await client.load(), {
		running: 0, waiting: 0, freeBlocks: 100, pendingPromptTokens: 0,
	});
}

type ContractCase = {name: string; options?: EngineHostOptions; run: (t: ExecutionContext, subject: Subject) => Promise<void>};

const streamCases: ContractCase[] = [
	{
		name: 'each of two prompts gets its own answer whole, and memory is freed',
		async run(t, {client}) {
			const requests = [prompt(), prompt({requestId: 'request-2', text: 'another '.repeat(800), tokens: 30})];
			const answers = await Promise.all(requests.map(async request => collect(client.generate(request, never()))));
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
			const request = prompt();
			const messages = await collect(client.generate(request, never()));
			t.is(textOf(messages), answerText(answerHash(request.body), 20));
			t.deepEqual(client.dropped, {crossed: 20, repeated: 20, malformed: 0});
		},
	},
	{
		name: 'a stream cut off is resumed on a new connection',
		async run(t, subject) {
			const request = prompt();
			const {streamId, received, failed} = await interrupt(t, subject, {request, order: {cut: true}});
			t.deepEqual(failed, {code: '4003', ran: 'unknown'});
			const offset = received.filter(message => message.kind === 'token').length;
			const rest = await collect(subject.client.resume(streamId, offset, never()));
			t.is(textOf([...received, ...rest]), answerText(answerHash(request.body), 20));
		},
	},
	{
		name: 'a stream gone silent is resumed on a new connection',
		async run(t, subject) {
			const request = prompt({orphanLifetime: 2000});
			const {streamId, received, failed} = await interrupt(t, subject, {request, order: {silence: true}});
			t.deepEqual(failed, {code: '4004', ran: 'unknown'});
			const offset = received.filter(message => message.kind === 'token').length;
			const rest = await collect(subject.client.resume(streamId, offset, never()));
			t.is(textOf([...received, ...rest]), answerText(answerHash(request.body), 20));
		},
	},
	{
		name: 'an engine that restarts breaks its streams and forgets them',
		async run(t, subject) {
			const before = await subject.client.load();
			let streamId = '';
			const failed = await failure(t, collect(subject.client.generate(prompt({tokens: 500}), never()), message => {
				if (message.kind === 'accepted') {
					streamId = message.streamId;
					void subject.restart();
				}
			}));
			t.deepEqual(failed, {code: '4003', ran: 'unknown'});
			await delay(50);
			t.deepEqual(await failure(t, collect(subject.client.resume(streamId, 0, never()))), {code: '4005', ran: 'no'});
			const after = await subject.client.load();
			t.not(after.incarnation, before.incarnation);
		},
	},
	{
		name: 'a cancelled stream ends and frees its memory',
		async run(t, {client}) {
			const messages = await collect(client.generate(prompt({tokens: 500}), never()), message => {
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
		name: 'an attempt cancelled before it arrives does not run',
		async run(t, {client}) {
			await client.cancelRequest('request-1', 1);
			t.deepEqual(await failure(t, collect(client.generate(prompt(), never()))), {code: '4005', ran: 'no'});
			const messages = await collect(client.generate(prompt({attempt: 2, tokens: 1}), never()));
			t.like(messages.at(-1), {kind: 'end', offset: 1});
		},
	},
	{
		name: 'a stream past its deadline ends and frees its memory',
		async run(t, {client}) {
			const messages = await collect(client.generate(prompt({tokens: 500, deadline: 100}), never()));
			t.like(messages.at(-1), {kind: 'end', reason: 'deadline'});
			await assertMemoryFree(t, client);
		},
	},
	{
		name: 'a stream without a reader is freed after its orphan lifetime',
		async run(t, {client}) {
			const abort = new AbortController();
			const failed = await failure(t, collect(client.generate(prompt({tokens: 500}), abort.signal), message => {
				if (message.kind === 'token') {
					abort.abort();
				}
			}));
			t.is(failed.code, '4009');
			await delay(50);
			t.like(await client.streams(), [{requestId: 'request-1', owner: 'entry-1'}]);
			await delay(250);
			await assertMemoryFree(t, client);
		},
	},
	{
		name: 'a stream that waits for memory gets heartbeats',
		async run(t, {client}) {
			const reservation = await client.reserve({
				requestId: 'request-0', owner: 'entry-1', promptTokens: 6000, answerTokens: 100, lifetime: 500,
			});
			t.true(reservation.expectedWait >= 0);
			const messages = await collect(client.generate(prompt(), never()));
			t.true(messages.filter(message => message.kind === 'heartbeat').length >= 2);
			t.is(messages.filter(message => message.kind === 'token').length, 20);
		},
	},
	{
		name: 'a reader that is slow loses nothing',
		async run(t, {client}) {
			const request = prompt();
			const received: EngineMessage[] = [];
			for await (const message of client.generate(request, never())) {
				received.push(message);
				if (message.kind === 'token' && message.offset === 1) {
					await delay(2 * silenceLimit);
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
		name: 'unavailable for four megabytes', order: {availability: 'unavailable'}, request: prompt({text: 'x'.repeat(4_000_000)}), code: '4005', ran: 'no', started: 0,
	},
	{
		name: 'losing the answer', order: {loseAnswers: 1}, code: '4003', ran: 'unknown', started: 1,
	},
	{
		name: 'frozen for longer than the silence limit', order: {freeze: 500}, code: '4004', ran: 'unknown', started: 0,
	},
	{
		name: 'slower than the silence limit', order: {slow: 500}, code: '4004', ran: 'unknown', started: 0,
	},
	{
		name: 'asked for an unknown model', request: prompt({model: 'other'}), code: '4005', ran: 'no', started: 0,
	},
	{
		name: 'sent a malformed body', request: prompt({body: [Buffer.from('{')]}), code: '4005', ran: 'no', started: 0,
	},
	{
		name: 'sent more than its memory', request: prompt({text: 'x'.repeat(40_000)}), code: '4005', ran: 'no', started: 0,
	},
];

for (const {name, order = {}, request = prompt({tokens: 500, orphanLifetime: 1000}), code, ran, started} of refusalCases) {
	streamCases.push({
		name: `an engine ${name}: error ${code}, ran ${ran}`,
		async run(t, subject) {
			subject.faults.apply(order);
			t.deepEqual(await failure(t, collect(subject.client.generate(request, never()))), {code, ran});
			subject.faults.clear();
			const streams = await subject.client.streams();
			t.is(streams.length, started);
		},
	});
}

const controlCases: ContractCase[] = [
	{
		name: 'a freeze shorter than the silence limit only delays',
		async run(t, {client, faults}) {
			faults.apply({freeze: 150});
			const messages = await collect(client.generate(prompt(), never()));
			t.is(messages.filter(message => message.kind !== 'heartbeat').length, 22);
		},
	},
	{
		name: 'a reservation is refused without memory, used by its prompt, and expires',
		async run(t, {client}) {
			const request = {
				requestId: 'request-1', owner: 'entry-1', promptTokens: 3000, answerTokens: 200, lifetime: 400,
			};
			const {reservationId} = await client.reserve(request);
			t.like(await client.load(), {freeBlocks: 50});
			t.deepEqual(await failure(t, client.reserve({...request, promptTokens: 6000})), {code: '4005', ran: 'no'});
			await collect(client.generate(prompt({reservationId}), never()));
			const unused = await client.reserve(request);
			await client.release(unused.reservationId);
			await client.reserve(request);
			await delay(500);
			await assertMemoryFree(t, client);
		},
	},
	{
		name: 'orders are carried out, and refused with an old fencing number',
		async run(t, {client}) {
			await client.order({
				kind: 'load', name: 'kohus-70b', version: 'v2', fencingNumber: 5,
			});
			await client.order({kind: 'role', role: 'prefill', fencingNumber: 5});
			t.deepEqual(await failure(t, client.order({
				kind: 'unload', name: 'kohus-70b', version: 'v2', fencingNumber: 4,
			})), {code: '4006', ran: 'no'});
			t.like(await client.load(), {models: ['stand-in', 'kohus-70b', 'kohus-70b@v2'], role: 'prefill'});
		},
	},
	{
		name: 'an engine that ignores fencing numbers obeys an old one',
		options: {fencing: 'ignored'},
		async run(t, {client}) {
			await client.order({kind: 'role', role: 'prefill', fencingNumber: 5});
			await client.order({kind: 'role', role: 'decode', fencingNumber: 4});
			t.like(await client.load(), {role: 'decode'});
		},
	},
	{
		name: 'cached prefixes are exported, imported elsewhere, and refused when damaged',
		async run(t, {client}) {
			await collect(client.generate(prompt({text: 'a'.repeat(6000)}), never()));
			const {hashes} = await client.cacheSnapshot();
			t.is(hashes.length, 2);
			const exported = await client.exportCache([...hashes, 'unknown'], 'entry-1', 100);
			t.deepEqual(exported.hashes, hashes);
			const moved = {...exported, hashes: exported.hashes.map(hash => hash.replaceAll(/./gv, 'f'))};
			t.deepEqual(await failure(t, client.importCache(moved, 'entry-1', 100)), {code: '4005', ran: 'no'});
			await client.importCache(exported, 'entry-1', 100);
			await delay(150);
			await assertMemoryFree(t, client);
		},
	},
	{
		name: 'load and cache events come late, and some events are lost',
		options: {loadLag: 600, cacheEventLag: 600, lostCacheEventInterval: 2},
		async run(t, {client}) {
			await collect(client.generate(prompt({text: 'a'.repeat(20_000), tokens: 1}), never()));
			t.like(await client.cacheEvents(0), {last: 0});
			t.like(await client.cacheSnapshot(), {last: 3});
			t.like(await client.load(), {age: 600, freeBlocks: 100, running: 0});
			await delay(700);
			const {events, last} = await client.cacheEvents(0);
			t.is(last, 3);
			t.deepEqual(events.map(event => event.sequence), [1, 3]);
		},
	},
	{
		name: 'control calls go on after their connections went silent',
		async run(t, {client, faults}) {
			await client.load();
			faults.apply({silence: true});
			await t.notThrowsAsync(async () => {
				try {
					await client.load();
				} catch {
					await client.load();
				}
			});
		},
	},
];

for (const [kind, start] of [['HTTP', startHttp], ['memory', startMemory]] as const) {
	for (const {name, options, run} of [...streamCases, ...controlCases]) {
		test.serial(`${kind}: ${name}`, async t => {
			const subject = await start({...engineOptions, ...options});
			t.teardown(subject.close);
			await run(t, subject);
		});
	}
}
