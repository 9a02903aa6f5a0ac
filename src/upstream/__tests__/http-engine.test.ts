import {createServer} from 'node:http';
import test, {type ExecutionContext} from 'ava';
import {CarobquayError} from '../../errors/errors.js';
import type {EngineMessage} from '../engine.js';
import {HttpEngine} from '../http-engine.js';
import {toServerSentEvent} from '../http-engine-protocol.js';

const requestIdentity = {requestId: 'request-1', attempt: 2};

function token(offset: number, identity = requestIdentity): EngineMessage {
	return {
		kind: 'token', ...identity, offset, text: ` ${offset}`,
	};
}

const accepted: EngineMessage = {kind: 'accepted', ...requestIdentity, streamId: 'stream-1'};
const end: EngineMessage = {
	kind: 'end', ...requestIdentity, offset: 2, reason: 'stop', usage: {promptTokens: 1, cachedTokens: 0, answerTokens: 2},
};

/** Runs an engine that answers everything with the same events; returns a client of it. */
async function startScriptedEngine(t: ExecutionContext, events: string, status = 200): Promise<HttpEngine> {
	const server = createServer((incoming, outgoing) => {
		incoming.resume();
		outgoing.writeHead(status, {'content-type': 'text/event-stream'});
		outgoing.end(events);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	const port = typeof address === 'object' ? address?.port : undefined;
	const client = new HttpEngine({name: 'engine-1', address: `127.0.0.1:${port}`});
	t.teardown(async () => {
		await client.close();
		server.close();
	});
	return client;
}

async function readUntilFailure(messages: AsyncIterable<EngineMessage>): Promise<{received: EngineMessage[]; code: string | undefined}> {
	const received: EngineMessage[] = [];
	try {
		for await (const message of messages) {
			received.push(message);
		}
	} catch (error) {
		return {received, code: error instanceof CarobquayError ? error.code : 'unnumbered'};
	}

	return {received, code: undefined};
}

function events(...messages: EngineMessage[]): string {
	return messages.map(message => toServerSentEvent(message)).join('');
}

const completeStream = [accepted, token(0), token(1), end];
const noneDropped = {crossed: 0, repeated: 0, malformed: 0};

const cases: Array<{name: string; sent: string; received: EngineMessage[]; code?: string; dropped?: Partial<HttpEngine['droppedMessages']>}> = [
	{name: 'a whole answer', sent: events(...completeStream), received: completeStream},
	{
		name: 'a repeated token', sent: events(accepted, token(0), token(0), token(1), end), received: completeStream, dropped: {duplicate: 1},
	},
	{
		name: 'a late token', sent: events(accepted, token(0), token(1), token(0), end), received: completeStream, dropped: {duplicate: 1},
	},
	{
		name: 'a token of another request',
		sent: events(accepted, token(0), token(1, {...requestIdentity, requestId: 'request-9'}), token(1), end),
		received: completeStream,
		dropped: {misrouted: 1},
	},
	{
		name: 'a token of an earlier attempt',
		sent: events(accepted, token(0, {...requestIdentity, attempt: 1}), token(0), token(1), end),
		received: completeStream,
		dropped: {misrouted: 1},
	},
	{
		name: 'a malformed message', sent: `${events(accepted)}data: {"kind":\n\n${events(...completeStream.slice(1))}`, received: completeStream, dropped: {malformed: 1},
	},
	{
		name: 'a missing token', sent: events(accepted, token(1), end), received: [accepted], code: '4003',
	},
	{
		name: 'an end too early', sent: events(accepted, token(0), end), received: [accepted, token(0)], code: '4003',
	},
	{
		name: 'no end', sent: events(accepted, token(0)), received: [accepted, token(0)], code: '4003',
	},
	{
		name: 'messages after the end', sent: events(...completeStream, token(2)), received: completeStream,
	},
];

for (const {name, sent, received, code, dropped} of cases) {
	test(`stream with ${name}`, async t => {
		const client = await startScriptedEngine(t, sent);
		t.deepEqual(await readUntilFailure(client.generate({
			...requestIdentity, owner: 'entry-1', body: [new TextEncoder().encode('{}')], priority: 0, timeRemaining: 1000, orphanLifetime: 1000,
		}, new AbortController().signal)), {received, code});
		t.deepEqual(client.droppedMessages, {...noneDropped, ...dropped});
	});
}

const statusCases = [
	{
		status: 503, body: '{"error":"queue-full"}', code: '4005', ran: 'no',
	},
	{
		status: 503, body: '<html>', code: '4003', ran: 'unknown',
	},
	{
		status: 500, body: '{"error":"failed"}', code: '4003', ran: 'unknown',
	},
	{
		status: 409, body: '{"error":"stale-fencing-number"}', code: '4006', ran: 'no',
	},
];

for (const {status, body, code, ran} of statusCases) {
	test(`status ${status} with ${body}: error ${code}, ran ${ran}`, async t => {
		const client = await startScriptedEngine(t, body, status);
		const error = await t.throwsAsync(client.sendCommand({kind: 'role', role: 'mixed', fencingNumber: 1}), {instanceOf: CarobquayError});
		t.like(error, {code, ran});
	});
}

test('a resumed stream must be the one asked for, from the offset asked for', async t => {
	const client = await startScriptedEngine(t, events({...accepted, streamId: 'stream-9'}, token(0), accepted, token(0), token(1), end));
	t.deepEqual(await readUntilFailure(client.resume('stream-1', 1, new AbortController().signal)), {received: [accepted, token(1), end], code: undefined});
	t.deepEqual(client.droppedMessages, {...noneDropped, crossed: 2, repeated: 1});
});
