/**
 * Runs the prompts of deferred requests and collects their answers.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import type {DeferredRunner} from '../deferred/deferred-run.js';
import type {Deferred} from '../deferred/item.js';
import type {AnswerSink, AnswerCompletion} from '../request/answer-sink.js';
import {RequestLifecycle, type RequestMetadata} from '../request/request-lifecycle.js';
import type {PromptReader} from '../request/prompt-reader.js';
import type {PromptRunner} from '../request/prompt-runner.js';
import type {BodyMemory} from './body.js';
import {wholeAnswer, type ChatAnswerContext} from './chat-answer.js';
import {promptFacts} from './facts.js';

/** What the runner works with. */
export type DeferredPromptsOptions = {
	reader: PromptReader;
	prompts: PromptRunner;
	/** Memory that bodies share with those of other requests. */
	memory: BodyMemory;
};

/** Runs deferred requests through the same runner as all others. */
export class DeferredPrompts implements DeferredRunner {
	readonly #options: DeferredPromptsOptions;
	#runs = 0;

	constructor(options: DeferredPromptsOptions) {
		this.#options = options;
	}

	async run(request: Deferred, loadBody: () => Promise<Uint8Array>, signal: AbortSignal): Promise<Uint8Array> {
		const {reader, prompts, memory} = this.#options;
		memory.take(request.bodyBytes);
		try {
			const body = [await loadBody()];
			const summary = await reader.summarize(body);
			this.#runs += 1;
			// Engines and the router tell the runs of two owners, or of two tries, apart by their ids.
			const life = new RequestLifecycle({...termsOf(request), requestId: `${request.id}.${request.attempt}.${this.#runs}`});
			const answer = new CollectedAnswer({requestId: request.id, model: summary.model, includeUsage: true});
			await prompts.run({lifecycle: life, body, facts: promptFacts(life, summary)}, answer, signal);
			return answer.bytes;
		} finally {
			memory.give(request.bodyBytes);
		}
	}
}

/** Terms of a deferred request, with its deadline on the clock of this process. */
export function termsOf({
	id, customer, requestClass, deadline, nonIdempotent,
}: Deferred): RequestMetadata {
	return {
		requestId: id,
		customer,
		requestClass,
		deadlineAt: performance.now() + deadline - Date.now(),
		nonIdempotent,
		idempotencyKey: undefined,
	};
}

/** Holds an answer until it is whole. */
class CollectedAnswer implements AnswerSink {
	readonly #context: ChatAnswerContext;
	#texts: string[] = [];
	#body = '';

	constructor(context: ChatAnswerContext) {
		this.#context = context;
	}

	/** The whole answer in JSON. */
	get bytes(): Uint8Array {
		return Buffer.from(this.#body);
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

	async complete(completion: AnswerCompletion): Promise<void> {
		this.#body = wholeAnswer(this.#context, this.#texts, completion);
	}
}
