/**
 * What routing needs to know of a chat-completions body: model, lengths and prefix hashes.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {CarobquayError, errorMessage} from '../errors/errors.js';

/** Bytes of prompt text that one prefix hash adds. */
export const prefixChunkBytes = 2048;

/** Hexadecimal digits kept of each prefix hash. */
const prefixHashDigits = 16;

/** Answer tokens assumed where the caller sets no limit. */
export const defaultAnswerTokens = 256;

const contentPart = z.looseObject({type: z.string(), text: z.string().optional()});
const messageContent = z.union([z.string(), z.array(contentPart)]).nullish();
const chatBody = z.looseObject({
	model: z.string().min(1),
	messages: z.array(z.looseObject({
		role: z.string(),
		content: messageContent,
	})).min(1),
	stream: z.boolean().nullish(),
	max_tokens: z.int().positive().nullish(),
	max_completion_tokens: z.int().positive().nullish(),
});

/** Summary of a prompt; small, whatever the prompt's length. */
export type PromptSummary = {
	model: string;
	stream: boolean;
	/** Greatest number of answer tokens. */
	maximumAnswerTokens: number;
	/** UTF-8 bytes of all message texts. */
	promptBytes: number;
	/** UTF-8 bytes of each message's text, in order. */
	messageBytes: readonly number[];
	/** Hash of each whole chunk of text together with all before it. */
	prefixHashes: readonly string[];
};

/**
 * Reads a chat-completions body.
 *
 * Takes time in proportion to the body: run it in a worker thread for large ones.
 *
 * @throws {CarobquayError} 1001 where it is not JSON, 1002 where a field has a wrong type.
 */
export function summarizePrompt(body: Uint8Array): PromptSummary {
	const parsed = chatBody.safeParse(parseJson(body));
	if (!parsed.success) {
		const issue = parsed.error.issues[0]!;
		throw new CarobquayError('1002', {message: `field "${issue.path.join('.')}": ${issue.message}`});
	}

	const {model, stream, messages, max_completion_tokens: completionTokens, max_tokens: tokens} = parsed.data;
	const texts = messages.map(message => Buffer.from(messageText(message.content)));
	return {
		model,
		stream: stream ?? false,
		maximumAnswerTokens: completionTokens ?? tokens ?? defaultAnswerTokens,
		promptBytes: texts.reduce((sum, text) => sum + text.length, 0),
		messageBytes: texts.map(text => text.length),
		prefixHashes: hashPrefixes(messages.map((message, index) => ({role: message.role, text: texts[index]!}))),
	};
}

function parseJson(body: Uint8Array): unknown {
	try {
		return JSON.parse(Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString('utf8'));
	} catch (error) {
		throw new CarobquayError('1001', {message: `body of ${body.byteLength} bytes is not JSON: ${errorMessage(error)}`});
	}
}

/** Text of a message's content, whether given whole or in parts. */
export function messageText(content: z.infer<typeof messageContent>): string {
	if (typeof content === 'string') {
		return content;
	}

	return (content ?? []).map(part => part.text ?? '').join('');
}

/** Hashes each whole chunk of the messages' text together with all before it. */
export function hashPrefixes(messages: ReadonlyArray<{role: string; text: Uint8Array}>): string[] {
	const text = Buffer.concat(messages.flatMap(message => [Buffer.from(`${message.role}\n`), message.text]));
	const hashes: string[] = [];
	let previous = '';
	for (let start = 0; start + prefixChunkBytes <= text.length; start += prefixChunkBytes) {
		previous = createHash('sha256')
			.update(previous)
			.update(text.subarray(start, start + prefixChunkBytes))
			.digest('hex')
			.slice(0, prefixHashDigits);
		hashes.push(previous);
	}

	return hashes;
}
