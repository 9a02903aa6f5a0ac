/**
 * Runs requests of both kinds, under a claim where they must run at most once in the whole fleet.
 *
 * @module
 */
import type {ClaimableRequest, ClaimedRequests} from '../claim/claimed-requests.js';
import {keepServiceAnswer, restoreServiceAnswer} from '../claim/kept-answers.js';
import {RecordingSink, replay} from '../claim/recording-sink.js';
import type {RequestFacts} from '../routing/decision.js';
import type {ServiceAnswer} from '../upstream/service.js';
import type {AnswerSink} from './answer-sink.js';
import type {PromptRunner} from './prompt-runner.js';
import type {ServiceCall, ServiceRunner} from './service-runner.js';

export type RequestRunnerOptions = {prompts: PromptRunner; services: ServiceRunner; claims: ClaimedRequests};

/** What is sent of a prompt. */
export type PromptContent = {facts: Omit<RequestFacts, 'excluded'>; body: readonly Uint8Array[]};

/** What a caller gets of a service's answer. */
export type CallAnswer = Pick<ServiceAnswer, 'status' | 'contentType' | 'body'>;

/** Runs the requests of one instance. */
export class RequestRunner {
	readonly #options: RequestRunnerOptions;

	constructor(options: RequestRunnerOptions) {
		this.#options = options;
	}

	/**
	 * Runs a prompt; the sink has the whole answer when this resolves.
	 *
	 * @throws {CarobquayError} with the truth about whether the request ran.
	 */
	async prompt(request: ClaimableRequest, {facts, body}: PromptContent, sink: AnswerSink): Promise<void> {
		const {life} = request;
		const {answer, kept} = await this.#options.claims.run(request, async (permit, signal) => {
			const recording = permit && new RecordingSink(sink);
			await this.#options.prompts.run({
				life, body, facts, permit,
			}, recording ?? sink, signal);
			return recording?.answer;
		});
		if (kept && answer?.kind === 'prompt') {
			await replay(answer, sink);
		}
	}

	/**
	 * Makes a call of a service.
	 *
	 * @throws {CarobquayError} with the truth about whether the call ran.
	 */
	async call(request: ClaimableRequest, {facts, call}: Pick<ServiceCall, 'facts' | 'call'>): Promise<CallAnswer> {
		const {life} = request;
		let own: ServiceAnswer | undefined;
		const {answer} = await this.#options.claims.run(request, async (permit, signal) => {
			own = await this.#options.services.run({
				life, facts, call, permit,
			}, signal);
			return permit && keepServiceAnswer(own);
		});
		return own ?? restoreServiceAnswer(answer);
	}
}
