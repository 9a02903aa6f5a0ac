/**
 * What routing needs to know of a chat-completions body: model, lengths and prefix hashes.
 *
 * @module
 */
import {z} from 'zod';
import {CarobquayError} from '../errors/errors.js';
import {parseChatBody, type ParsedChatBody, type ChatBodyError} from './chat-body.js';

export {prefixChunkBytes} from './chat-body.js';

/** Answer tokens assumed where the caller sets no limit. */
export const defaultAnswerTokens = 256;

const chatFieldsSchema = z.looseObject({
	model: z.string().min(1),
	stream: z.boolean().nullish(),
	max_tokens: z.int().positive().nullish(),
	max_completion_tokens: z.int().positive().nullish(),
	stream_options: z.looseObject({include_usage: z.boolean().nullish()}).nullish(),
});

/** Summary of a prompt; small, whatever the prompt's length. */
export type PromptSummary = {
	model: string;
	stream: boolean;
	/** Whether a streamed answer ends with its usage. */
	includeUsage: boolean;
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
 * Reads a chat-completions body on the calling thread.
 *
 * Takes time in proportion to the body: PromptReader does the same in a worker thread for large ones.
 *
 * @throws {CarobquayError} 1001 where it is not JSON, 1002 where a field has a wrong type.
 */
export function summarizePrompt(body: Uint8Array): PromptSummary {
	return summarizeParsedBody(parseChatBody(body));
}

/**
 * Checks the small fields of an outlined body.
 *
 * @throws {CarobquayError} 1001 or 1002, as the outline's fault says or where a field has a wrong type.
 */
export function summarizeParsedBody(outline: ParsedChatBody | ChatBodyError): PromptSummary {
	if ('code' in outline) {
		throw new CarobquayError(outline.code, {message: outline.message});
	}

	const parsed = chatFieldsSchema.safeParse(outline.fields);
	if (!parsed.success) {
		const issue = parsed.error.issues[0]!;
		throw new CarobquayError('1002', {message: `field "${issue.path.join('.')}": ${issue.message}`});
	}

	const {
		model, stream, stream_options: streamOptions, max_completion_tokens: completionTokens, max_tokens: tokens,
	} = parsed.data;
	return {
		model,
		stream: stream ?? false,
		includeUsage: streamOptions?.include_usage ?? false,
		maximumAnswerTokens: completionTokens ?? tokens ?? defaultAnswerTokens,
		promptBytes: outline.messageBytes.reduce((sum, bytes) => sum + bytes, 0),
		messageBytes: outline.messageBytes,
		prefixHashes: outline.prefixHashes,
	};
}
