/**
 * A caller, for tests.
 *
 * @module
 */
import {request} from 'undici';
import {z} from 'zod';
import {testKey} from './processes.js';

/** What a caller asks. */
export type Question = {
	content: string;
	/** @default 8 */
	tokens?: number;
	/** @default false */
	stream?: boolean;
	/** @default {} */
	headers?: Record<string, string>;
};

/** What a caller gets. */
export type Reply = {status: number; headers: Record<string, string | string[] | undefined>; text: string};

const chunkShape = z.object({choices: z.array(z.object({delta: z.object({content: z.string().optional()})}))});
const wholeShape = z.object({choices: z.array(z.object({message: z.object({content: z.string()})})).length(1)});

/** Body of a chat-completions request. */
export function chatBody({content, tokens = 8, stream = false}: Question): string {
	return JSON.stringify({
		model: 'stand-in', stream, max_tokens: tokens, messages: [{role: 'user', content}],
	});
}

/** Asks at an entry's callers' address. */
export async function ask(address: string, question: Question): Promise<Reply> {
	const response = await request(`http://${address}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${testKey}`, 'content-type': 'application/json', ...question.headers},
		body: chatBody(question),
	});
	return {status: response.statusCode, headers: response.headers, text: await response.body.text()};
}

/** Text of a whole answer. */
export function wholeText({text}: Reply): string {
	return wholeShape.parse(JSON.parse(text)).choices[0]!.message.content;
}

/** Text of a streamed answer, and whether it ended as whole. */
export function streamedText({text}: Reply): {answer: string; isWhole: boolean} {
	const events = text.split('\n\n').filter(event => event.startsWith('data: ')).map(event => event.slice('data: '.length));
	const chunks = events.filter(event => event !== '[DONE]').map(event => chunkShape.parse(JSON.parse(event)));
	return {
		answer: chunks.flatMap(chunk => chunk.choices.map(choice => choice.delta.content ?? '')).join(''),
		isWhole: events.at(-1) === '[DONE]',
	};
}
