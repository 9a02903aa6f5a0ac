import {Buffer} from 'node:buffer';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {HttpEngine} from '../../../upstream/http-engine.js';
import {startEngineStandIn} from '../engine-stand-in.js';

async function start(t: ExecutionContext) {
	const server = await startEngineStandIn({timeScale: 0.1, parameters: {blocks: 100}});
	const client = new HttpEngine({name: 'engine-1', address: server.address});
	t.teardown(async () => {
		await client.close();
		await server.close();
	});
	const send = async (method: 'GET' | 'POST', path: string, body?: unknown): Promise<unknown> => {
		const answer = await request(`http://${server.address}${path}`, {method, body: body === undefined ? undefined : JSON.stringify(body)});
		return answer.statusCode === 204 ? answer.body.dump() : answer.body.json();
	};

	const run = async (): Promise<void> => {
		const body = [Buffer.from(JSON.stringify({model: 'stand-in', max_tokens: 3, messages: [{role: 'user', content: 'x'.repeat(8000)}]}))];
		for await (const message of client.generate({
			requestId: 'request-1', attempt: 1, owner: 'entry-1', body, priority: 0, timeRemaining: 5000, orphanLifetime: 1000,
		}, new AbortController().signal)) {
			t.is(message.requestId, 'request-1');
		}
	};

	return {client, send, run};
}

test('an engine that is leaving reports so and counts the work that it still gets', async t => {
	const {client, send, run} = await start(t);
	await run();
	await send('POST', '/admin/leaving', {leaving: true});
	t.like(await client.fetchLoad(), {leaving: true});
	await run();
	t.like(await send('GET', '/admin/state'), {acceptedWhileLeaving: 1, streams: []});
});

test('a cleared cache is reported', async t => {
	const {client, send, run} = await start(t);
	await run();
	await send('POST', '/admin/clear-cache');
	const {events, last} = await client.cacheEvents(0);
	t.like(events.at(-1), {kind: 'cleared', sequence: last});
	t.like(await client.cacheSnapshot(), {hashes: [], last});
	t.like(await send('GET', '/admin/state'), {accounts: {free: 100, total: 100}});
});

test('malformed calls are refused with status 400', async t => {
	const {send} = await start(t);
	t.like(await send('POST', '/v1/orders', {kind: 'explode'}), {error: 'malformed'});
	t.like(await send('POST', '/v1/streams', {}), {error: 'malformed'});
});
