import test from 'ava';
import {request} from 'undici';
import {z} from 'zod';
import {ask, chatBody} from './support/client.js';
import {ProcessFleet, testKey} from './support/processes.js';

const errorShape = z.object({
	error: z.object({
		code: z.number(), message: z.string().min(1), mend: z.string().min(1), ran: z.enum(['no', 'yes', 'unknown']), retry_after_ms: z.number().optional(),
	}),
});

type Case = {
	name: string;
	/** @default '/v1/chat/completions' */
	path?: string;
	headers?: Record<string, string>;
	body?: string;
	status: number;
	code: number;
	/** Part of what was sent, which the message must name. */
	names: string;
};

const good = chatBody({content: 'hello'});

const cases: Case[] = [
	{
		name: 'malformed JSON', body: '{"model":', status: 400, code: 1001, names: '9 bytes',
	},
	{
		name: 'a body that is no object', body: '[]', status: 400, code: 1002, names: 'object',
	},
	{
		name: 'no messages', body: '{"model":"stand-in"}', status: 400, code: 1002, names: 'messages',
	},
	{
		name: 'a message without a role', body: '{"model":"stand-in","messages":[{"content":"x"}]}', status: 400, code: 1002, names: 'messages.0',
	},
	{
		name: 'a model of a wrong type', body: '{"model":7,"messages":[{"role":"user","content":"x"}]}', status: 400, code: 1002, names: 'model',
	},
	{
		name: 'a negative token limit', body: '{"model":"stand-in","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}', status: 400, code: 1002, names: 'max_tokens',
	},
	{
		name: 'a body over the limit', body: 'x'.repeat(70_000), status: 413, code: 1003, names: '65536',
	},
	{
		name: 'an unknown model', body: good.replace('stand-in', 'gpt-0'), status: 404, code: 1004, names: 'gpt-0',
	},
	{
		name: 'an unknown class', headers: {'carobquay-class': 'express'}, status: 400, code: 1005, names: 'express',
	},
	{
		name: 'a deadline in the past', headers: {'carobquay-deadline': '-5'}, status: 400, code: 1006, names: '-5',
	},
	{
		name: 'a deadline that is no number', headers: {'carobquay-deadline': 'soon'}, status: 400, code: 1007, names: 'soon',
	},
	{
		name: 'a mark that is no flag', headers: {'carobquay-non-idempotent': 'maybe'}, status: 400, code: 1007, names: 'maybe',
	},
	{
		name: 'an unknown route', path: '/v2/chat', status: 404, code: 1008, names: '/v2/chat',
	},
	{
		name: 'an operators\' route on the callers\' port', path: '/v1/configuration', status: 404, code: 1008, names: '/v1/configuration',
	},
	{
		name: 'an unknown service', path: '/v1/services/booking-api/slots', status: 404, code: 1009, names: 'booking-api',
	},
	{
		name: 'no key', headers: {authorization: ''}, status: 401, code: 2001, names: 'Authorization',
	},
	{
		name: 'a key of nobody', headers: {authorization: 'Bearer wrong'}, status: 401, code: 2001, names: 'no declared customer',
	},
	{
		name: 'a prompt that fits no engine', body: chatBody({content: 'word '.repeat(10_000)}), status: 413, code: 3003, names: 'question',
	},
];

const fleet = await ProcessFleet.start({
	entries: 1, engines: 1, settings: '[limits]\nbody = 64 KiB\n', engineArguments: ['--blocks', '64'],
});

test.after.always(async () => {
	await fleet.stop();
});

for (const {name, path = '/v1/chat/completions', headers = {}, body = good, status, code, names} of cases) {
	test.serial(`${name}: ${status}, code ${code}, not run`, async t => {
		const response = await request(`http://${fleet.entries[0]!.callers}${path}`, {
			method: 'POST',
			headers: {authorization: `Bearer ${testKey}`, 'content-type': 'application/json', ...headers},
			body,
		});
		const {error} = errorShape.parse(await response.body.json());
		t.is(response.statusCode, status);
		t.is(error.code, code);
		t.is(error.ran, 'no');
		t.is(response.headers['carobquay-ran'], 'no');
		t.true(error.message.includes(names), `the message does not name what was sent: ${error.message}`);
	});
}

test.serial('the operators\' port refuses callers\' routes', async t => {
	const response = await request(`http://${fleet.entries[0]!.operators}/v1/chat/completions`, {
		method: 'POST', headers: {authorization: `Bearer ${testKey}`}, body: good,
	});
	t.is(response.statusCode, 404);
	await response.body.dump();
});

test.serial('an answer counts its first token in the metrics', async t => {
	const entry = fleet.entries[0]!;
	const answered = await ask(entry.callers, {content: 'hello'});
	t.is(answered.status, 200);
	const metrics = await request(`http://${entry.operators}/metrics`);
	const text = await metrics.body.text();
	t.true(text.includes('carobquay_first_token_seconds_count{class="question"} 1\n'), 'no first token was counted');
});
