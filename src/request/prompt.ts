/**
 * Summary of a chat-completions request body for routing: model, lengths and prefix hashes.
 *
 * @module
 */
import {z} from 'zod';
import {CarobquayError} from '../errors/errors.js';
import {parseChatBody, type ParsedChatBody, type ChatBodyError} from './chat-body.js';

export {prefixChunkBytes} from './chat-body.js';

/** Maximum number of answer tokens assumed if the caller sets no limit. */
export const defaultAnswerTokens = 256;

const chatFieldsSchema = z.looseObject({
	model: z.string().min(1),
	stream: z.boolean().nullish(),
	max_tokens: z.int().positive().nullish(),
	max_completion_tokens: z.int().positive().nullish(),
	stream_options: z.looseObject({include_usage: z.boolean().nullish()}).nullish(),
});

/** Summary of a prompt without its message texts, so that it stays small for long prompts. */
export type PromptSummary = {
	model: string;
	stream: boolean;
	/** Whether a streamed answer ends with its token counts. */
	includeUsage: boolean;
	/** Maximum number of answer tokens. */
	maximumAnswerTokens: number;
	/** Length of all message texts, in UTF-8 bytes. */
	promptBytes: number;
	/** Length of each message text in UTF-8 bytes, in message order. */
	messageBytes: readonly number[];
	/** Cumulative hash at the end of each complete chunk of text; identifies the chunk and all text before it. */
	prefixHashes: readonly string[];
};

/**
 * Parses a chat-completions body on the calling thread and summarizes it.
 *
 * Takes time proportional to the size of the body; PromptReader does the same for large bodies in a worker thread.
 *
 * @throws {CarobquayError} 1001 if the body is not valid JSON, 1002 if a field has the wrong type.
 */
export function summarizePrompt(body: Uint8Array): PromptSummary {
	return summarizeParsedBody(parseChatBody(body));
}

/**
 * Validates the top-level fields of a parsed body and summarizes it.
 *
 * @throws {CarobquayError} 1001 or 1002 with the error that the parser returned, 1002 if a field has the wrong type.
 */
export function summarizeParsedBody(parsedBody: ParsedChatBody | ChatBodyError): PromptSummary {
	if ('code' in parsedBody) {
		throw new CarobquayError(parsedBody.code, {message: parsedBody.message});
	}

	const parsedFields = chatFieldsSchema.safeParse(parsedBody.fields);
	if (!parsedFields.success) {
		const issue = parsedFields.error.issues[0]!;
		throw new CarobquayError('1002', {message: `field "${issue.path.join('.')}": ${issue.message}`});
	}

	const {
		model, stream, stream_options: streamOptions, max_completion_tokens: completionTokens, max_tokens: tokens,
	} = parsedFields.data;
	return {
		model,
		stream: stream ?? false,
		includeUsage: streamOptions?.include_usage ?? false,
		maximumAnswerTokens: completionTokens ?? tokens ?? defaultAnswerTokens,
		promptBytes: parsedBody.messageBytes.reduce((sum, bytes) => sum + bytes, 0),
		messageBytes: parsedBody.messageBytes,
		prefixHashes: parsedBody.prefixHashes,
	};
}
