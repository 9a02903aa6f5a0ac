/**
 * Runs prompts and service calls, under a claim if they must run at most once in the whole fleet.
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

export type RequestRunnerOptions = {promptRunner: PromptRunner; serviceRunner: ServiceRunner; claimedRequests: ClaimedRequests};

/** A prompt's routing facts, and the body to send. */
export type PromptContent = {facts: Omit<RequestFacts, 'excluded'>; body: readonly Uint8Array[]};

/** The part of a service's answer that the caller receives. */
export type ServiceAnswerContent = Pick<ServiceAnswer, 'status' | 'contentType' | 'body'>;

/** Runs the prompts and service calls of one instance. */
export class RequestRunner {
	readonly #options: RequestRunnerOptions;

	constructor(options: RequestRunnerOptions) {
		this.#options = options;
	}

	/**
	 * Runs a prompt; the sink has the complete answer when this resolves.
	 *
	 * @throws {CarobquayError} whose `ran` says whether the request ran.
	 */
	async runPrompt(request: ClaimableRequest, {facts, body}: PromptContent, sink: AnswerSink): Promise<void> {
		const {life: lifecycle} = request;
		const {answer, kept} = await this.#options.claimedRequests.run(request, async (permit, signal) => {
			const recording = permit && new RecordingSink(sink);
			await this.#options.promptRunner.run({
				lifecycle, body, facts, permit,
			}, recording ?? sink, signal);
			return recording?.answer;
		});
		if (kept && answer?.kind === 'prompt') {
			await replay(answer, sink);
		}
	}

	/**
	 * Calls a service.
	 *
	 * @throws {CarobquayError} whose `ran` says whether the call ran.
	 */
	async callService(request: ClaimableRequest, {facts, call}: Pick<ServiceCall, 'facts' | 'call'>): Promise<ServiceAnswerContent> {
		const {life: lifecycle} = request;
		let executedAnswer: ServiceAnswer | undefined;
		const {answer} = await this.#options.claimedRequests.run(request, async (permit, signal) => {
			executedAnswer = await this.#options.serviceRunner.run({
				lifecycle, facts, call, permit,
			}, signal);
			return permit && keepServiceAnswer(executedAnswer);
		});
		return executedAnswer ?? restoreServiceAnswer(answer);
	}
}
