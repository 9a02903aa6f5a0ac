/**
 * Answers in the form of chat completions: whole, or as server-sent events.
 *
 * @module
 */
import type {ServerResponse} from 'node:http';
import {match} from 'ts-pattern';
import type {EndReason, Usage} from '../upstream/engine.js';
import type {CarobquayError} from '../errors/errors.js';
import type {AnswerSink, AnswerCompletion} from '../request/answer-sink.js';
import type {ResponseWriter} from './response-writer.js';
import {errorBody, errorHeaders} from './error-response.js';
import {headerNames} from './headers.js';

/** What an answer repeats of its request. */
export type ChatAnswerContext = {requestId: string; model: string; includeUsage: boolean};

/** An answer that can also report a failure in its own form. */
export interface ChatAnswer extends AnswerSink {
	fail(error: CarobquayError): Promise<void>;
}

function finishReason(reason: EndReason): 'stop' | 'length' {
	return match(reason)
		.with('length', () => 'length' as const)
		.with('stop', 'cancelled', 'deadline', () => 'stop' as const)
		.exhaustive();
}

function usageFields(usage: Usage) {
	return {
		prompt_tokens: usage.promptTokens,
		completion_tokens: usage.answerTokens,
		total_tokens: usage.promptTokens + usage.answerTokens,
		prompt_tokens_details: {cached_tokens: usage.cachedTokens},
	};
}

/** Seconds since 1970. */
function unixTime(): number {
	return Math.floor(Date.now() / 1000);
}

/** Body of a whole answer. */
export function wholeAnswer({requestId, model}: ChatAnswerContext, texts: readonly string[], {reason, usage}: Pick<AnswerCompletion, 'reason' | 'usage'>): string {
	return JSON.stringify({
		id: requestId,
		object: 'chat.completion',
		created: unixTime(),
		model,
		choices: [{index: 0, message: {role: 'assistant', content: texts.join('')}, finish_reason: finishReason(reason)}],
		usage: usageFields(usage),
	});
}

/** Sends the whole answer at its end. */
export class WholeChatAnswer implements ChatAnswer {
	readonly #response: ServerResponse;
	readonly #context: ChatAnswerContext;
	#texts: string[] = [];

	constructor(response: ServerResponse, context: ChatAnswerContext) {
		this.#response = response;
		this.#context = context;
	}

	get isStreamed(): boolean {
		return false;
	}

	writeToken(text: string): undefined {
		this.#texts.push(text);
		return undefined;
	}

	restart(): void {
		this.#texts = [];
	}

	async complete({reason, usage}: AnswerCompletion): Promise<void> {
		const {requestId} = this.#context;
		const body = wholeAnswer(this.#context, this.#texts, {reason, usage});
		this.#response.writeHead(200, {
			'content-type': 'application/json',
			[headerNames.requestId]: requestId,
			[headerNames.ran]: 'yes',
		});
		this.#response.end(body);
	}

	async fail(error: CarobquayError): Promise<void> {
		this.#response.writeHead(error.entry.status, errorHeaders(error, this.#context.requestId));
		this.#response.end(errorBody(error, this.#context.requestId));
	}
}

/** Sends tokens as they come. */
export class StreamedChatAnswer implements ChatAnswer {
	readonly #response: ServerResponse;
	readonly #writer: ResponseWriter;
	readonly #context: ChatAnswerContext;
	readonly #created = unixTime();

	constructor(response: ServerResponse, writer: ResponseWriter, context: ChatAnswerContext) {
		this.#response = response;
		this.#writer = writer;
		this.#context = context;
	}

	get isStreamed(): boolean {
		return true;
	}

	writeToken(text: string): Promise<void> | undefined {
		if (!this.#response.headersSent) {
			this.#begin();
			return this.#send([{index: 0, delta: {role: 'assistant', content: text}, finish_reason: null}]);
		}

		return this.#send([{index: 0, delta: {content: text}, finish_reason: null}]);
	}

	restart(): void {
		throw new Error('a streamed answer cannot start over');
	}

	async complete({reason, usage}: AnswerCompletion): Promise<void> {
		if (!this.#response.headersSent) {
			this.#begin();
		}

		await this.#send([{index: 0, delta: {}, finish_reason: finishReason(reason)}]);
		if (this.#context.includeUsage) {
			await this.#send([], usageFields(usage));
		}

		this.#response.end('data: [DONE]\n\n');
	}

	/** An answer under way ends with an error event and without "[DONE]", so that it never looks whole. */
	async fail(error: CarobquayError): Promise<void> {
		if (!this.#response.headersSent) {
			this.#response.writeHead(error.entry.status, errorHeaders(error, this.#context.requestId));
			this.#response.end(errorBody(error, this.#context.requestId));
			return;
		}

		this.#response.end(`event: error\ndata: ${errorBody(error, this.#context.requestId)}\n\n`);
	}

	#begin(): void {
		this.#response.writeHead(200, {
			'content-type': 'text/event-stream',
			'cache-control': 'no-store',
			[headerNames.requestId]: this.#context.requestId,
		});
	}

	#send(choices: readonly unknown[], usage?: unknown): Promise<void> | undefined {
		const event = {
			id: this.#context.requestId, object: 'chat.completion.chunk', created: this.#created, model: this.#context.model, choices, usage,
		};
		return this.#writer.write(`data: ${JSON.stringify(event)}\n\n`);
	}
}
