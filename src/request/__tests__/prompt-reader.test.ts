import {Buffer} from 'node:buffer';
import test from 'ava';
import {PromptReader} from '../prompt-reader.js';

/** A body that is received by the worker thread. */
const body = Buffer.from(JSON.stringify({model: 'm', messages: [{role: 'user', content: 'word '.repeat(40_000)}]}));

test('a body whose worker thread dies while it is received gives 5900, not an error of the body', async t => {
	const reader = new PromptReader();
	const prompt = reader.begin();
	prompt.push(body.subarray(0, 100_000));
	await reader.close();
	prompt.push(body.subarray(100_000));

	await t.throwsAsync(prompt.finish(), {message: /worker thread/v});
});

test('a body that is received after the worker thread died is read', async t => {
	const reader = new PromptReader();
	reader.begin().push(body);
	await reader.close();

	await t.notThrowsAsync(reader.summarize([body]));
	await reader.close();
});
