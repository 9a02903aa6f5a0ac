/**
 * Runs prompts: obtains an engine from the dispatcher, reads its stream, and resumes the stream or retries on another
 * engine after a failure.
 *
 * @module
 */
import {CarobquayError, toCarobquayError} from '../errors/errors.js';
import type {RequestFacts, SendDecision} from '../routing/decision.js';
import type {Observation} from '../routing/observation.js';
import type {EngineClient, EngineMessage, Usage} from '../upstream/engine.js';
import type {AnswerSink} from './answer-sink.js';
import {DeliveredText} from './delivered-text.js';
import type {Dispatch, Dispatcher} from './dispatcher.js';
import type {RequestLifecycle} from './request-lifecycle.js';
import {type AttemptPermission, type RetryPolicy, withExecutionStatus} from './retry-policy.js';
import type {SendPermit} from './send-permit.js';
import {delayOrThrow, TimeLimit} from './time-limit.js';

/** Maximum number of times that one broken stream is resumed. */
const maximumResumes = 3;

/** Upper bound in milliseconds of the random delay before a stream is resumed. */
const maximumResumeDelay = 100;

/** Time limit in milliseconds of a call that cancels a stream at an engine. */
const cancelTimeout = 2000;

export type PromptRunnerOptions = {
	dispatcher: Dispatcher;
	retryPolicy: RetryPolicy;
	/** Finds the client of an engine; returns undefined once the engine is no longer listed. */
	findEngine: (name: string) => EngineClient | undefined;
	/** Instance and incarnation that own the streams. */
	owner: string;
	/** Time in milliseconds for which an engine keeps a stream that has no reader before it frees it. */
	orphanLifetime: number;
};

/** A prompt to run. */
export type PromptRequest = {
	lifecycle: RequestLifecycle;
	facts: Omit<RequestFacts, 'excluded'>;
	body: readonly Uint8Array[];
	/**
	 * Permit to obtain before the request is sent.
	 * @default undefined: the request needs no permit
	 */
	permit?: SendPermit | undefined;
};

/** Runs the prompts of one instance. */
export class PromptRunner {
	readonly #options: PromptRunnerOptions;

	constructor(options: PromptRunnerOptions) {
		this.#options = options;
	}

	/**
	 * Runs a prompt to its end; the sink has the complete answer when this resolves.
	 *
	 * @param signal - Aborts when the caller disconnects or the deadline passes.
	 * @throws {CarobquayError} whose `ran` says whether the request ran in any of its attempts.
	 */
	async run(request: PromptRequest, sink: AnswerSink, signal: AbortSignal): Promise<void> {
		const run = new PromptRun(this.#options, request, sink, signal);
		try {
			await run.run();
		} catch (error) {
			throw withExecutionStatus(toCarobquayError(error, request.lifecycle.ran), request.lifecycle);
		} finally {
			request.lifecycle.end();
		}
	}
}

type AttemptResult = 'ended' | 'retry';

/** Execution of one prompt, over all its attempts. */
class PromptRun {
	readonly #options: PromptRunnerOptions;
	readonly #request: PromptRequest;
	readonly #lifecycle: RequestLifecycle;
	readonly #sink: AnswerSink;
	readonly #signal: AbortSignal;
	readonly #deliveredText = new DeliveredText();
	readonly #excludedUpstreams: string[] = [];
	#permission: AttemptPermission | undefined;
	#streamId: string | undefined;
	#hasReceivedToken = false;
	#usage: Usage | undefined;

	constructor(options: PromptRunnerOptions, request: PromptRequest, sink: AnswerSink, signal: AbortSignal) {
		this.#options = options;
		this.#request = request;
		this.#lifecycle = request.lifecycle;
		this.#sink = sink;
		this.#signal = signal;
	}

	async run(): Promise<void> {
		for (let result: AttemptResult = 'retry'; result !== 'ended';) {
			const facts: RequestFacts = {...this.#request.facts, excluded: this.#excludedUpstreams};
			// eslint-disable-next-line no-await-in-loop
			const dispatch = await this.#options.dispatcher.awaitDecision(facts, this.#signal, () => {
				this.#lifecycle.admit();
				this.#lifecycle.markWaiting();
			});
			this.#lifecycle.admit();
			if ('kind' in dispatch) {
				throw new CarobquayError('3003', {message: 'the prompt fits on no engine as a whole, and dividing it is not supported'});
			}

			// eslint-disable-next-line no-await-in-loop
			result = await this.#runAttempt(dispatch);
		}
	}

	async #runAttempt({decision, reservationId}: Dispatch): Promise<AttemptResult> {
		const {upstream} = decision;
		const {requestId} = this.#lifecycle.metadata;
		this.#permission = undefined;
		this.#streamId = undefined;
		this.#hasReceivedToken = false;
		this.#usage = undefined;
		const engine = this.#options.findEngine(upstream);
		let attempt = 0;
		try {
			if (engine === undefined) {
				throw new CarobquayError('4002', {message: `engine "${upstream}" is no longer listed`});
			}

			await this.#request.permit?.acquire();
			this.#permission = this.#options.retryPolicy.acquirePermission(upstream);
			this.#options.retryPolicy.recordAttempt(this.#lifecycle, decision.pool);
			attempt = this.#lifecycle.beginAttempt();
			this.#observe({kind: 'sent', requestId, upstream});
			await this.#readAnswer(engine, attempt, {decision, reservationId});
			this.#observe({
				kind: 'ended', requestId, outcome: 'finished', usage: this.#usage,
			});
			return 'ended';
		} catch (error) {
			this.#observe({
				kind: 'ended', requestId, outcome: this.#signal.aborted ? 'cancelled' : 'failed', usage: this.#usage,
			});
			const failure = toCarobquayError(error, this.#lifecycle.ran);
			this.#cleanUpFailedAttempt(attempt, engine, failure);
			await this.#prepareNextAttempt(decision, {failure, wasSent: attempt > 0});
			return 'retry';
		}
	}

	/** Reads the stream to its end and resumes it on a new connection if it breaks. */
	async #readAnswer(engine: EngineClient, attempt: number, {decision, reservationId}: Dispatch): Promise<void> {
		let messages = engine.generate({
			requestId: this.#lifecycle.metadata.requestId,
			attempt,
			owner: this.#options.owner,
			body: this.#request.body,
			priority: decision.priority,
			timeRemaining: this.#lifecycle.timeRemaining,
			orphanLifetime: this.#options.orphanLifetime,
			reservationId,
			freshConnection: this.#lifecycle.metadata.nonIdempotent,
		}, this.#signal);
		for (let resumeCount = 0; ; resumeCount++) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await this.#readMessages(messages, engine.name);
				return;
			} catch (error) {
				if (!this.#canResume(error, resumeCount)) {
					throw resumeCount > 0 ? resumeError(error, engine.name) : error;
				}

				// eslint-disable-next-line no-await-in-loop
				await delayOrThrow(Math.random() * maximumResumeDelay, this.#signal);
				this.#lifecycle.resumeAttempt();
				messages = engine.resume(this.#streamId!, this.#lifecycle.nextOffset, this.#signal);
			}
		}
	}

	#canResume(error: unknown, resumeCount: number): boolean {
		const isBroken = error instanceof CarobquayError && (error.code === '4003' || error.code === '4004');
		return isBroken && this.#streamId !== undefined && resumeCount < maximumResumes && !this.#signal.aborted && this.#lifecycle.state === 'streaming';
	}

	async #readMessages(messages: AsyncIterable<EngineMessage>, upstream: string): Promise<void> {
		for await (const message of messages) {
			if (message.kind === 'accepted') {
				this.#streamId = message.streamId;
				this.#options.retryPolicy.recordSuccess(this.#permission!);
			}

			this.#lifecycle.beginStreaming();
			if (message.kind === 'token') {
				await this.#handleToken(message.offset, message.text, upstream);
			}

			if (message.kind === 'end') {
				await this.#handleEnd(message, upstream);
				return;
			}
		}

		throw new CarobquayError('4003', {message: `engine "${upstream}" closed the stream before the end of the answer`, ran: 'yes'});
	}

	async #handleToken(offset: number, text: string, upstream: string): Promise<void> {
		if (!this.#hasReceivedToken) {
			this.#hasReceivedToken = true;
			this.#observe({kind: 'first-token', requestId: this.#lifecycle.metadata.requestId});
		}

		if (this.#lifecycle.acceptToken(offset)) {
			this.#deliveredText.append(text);
			await this.#sink.writeToken(text);
		} else if (!this.#deliveredText.matches(offset, text)) {
			throw new CarobquayError('4003', {
				message: `engine "${upstream}" sent a different token at offset ${offset} than an earlier attempt, of which ${this.#lifecycle.nextOffset} tokens were delivered`,
				ran: 'yes',
			});
		}
	}

	async #handleEnd(message: EngineMessage & {kind: 'end'}, upstream: string): Promise<void> {
		const {requestId} = this.#lifecycle.metadata;
		this.#usage = message.usage;
		if (message.reason === 'deadline') {
			throw new CarobquayError('4001', {message: `engine "${upstream}" stopped request ${requestId} at its deadline`, ran: 'yes'});
		}

		if (message.reason === 'cancelled' || message.offset !== this.#lifecycle.nextOffset) {
			throw new CarobquayError('4003', {
				message: `engine "${upstream}" ended the answer with ${message.offset} tokens (${message.reason}), of which ${this.#lifecycle.nextOffset} were received`, ran: 'yes',
			});
		}

		await this.#sink.complete({reason: message.reason, usage: message.usage, upstream});
	}

	/** Records that a failed attempt did not run, or cancels the stream that it may still have at the engine. */
	#cleanUpFailedAttempt(attempt: number, engine: EngineClient | undefined, error: CarobquayError): void {
		if (attempt === 0 || engine === undefined) {
			return;
		}

		if (error.ran === 'no') {
			this.#lifecycle.markAttemptNotRun();
		} else {
			this.#cancelStream(engine);
		}
	}

	/**
	 * Waits until the next attempt may be made.
	 *
	 * @throws {CarobquayError} The failure, if no further attempt may be made.
	 */
	async #prepareNextAttempt({upstream, pool}: SendDecision, {failure, wasSent}: {failure: CarobquayError; wasSent: boolean}): Promise<void> {
		if (this.#permission) {
			this.#options.retryPolicy.recordFailure(this.#permission, wasSent ? failure.code : undefined);
		}

		this.#excludedUpstreams.push(upstream);
		await this.#options.retryPolicy.waitBeforeRetry({
			lifecycle: this.#lifecycle, pool, error: failure, upstreamsTried: this.#excludedUpstreams.length,
		}, this.#signal);
		if (!this.#sink.isStreamed) {
			this.#sink.restart();
			this.#deliveredText.clear();
			this.#lifecycle.restartAnswer();
		}

		this.#lifecycle.markWaiting();
	}

	/** Cancels the stream at the engine without waiting for the result. */
	#cancelStream(engine: EngineClient): void {
		const timeLimit = new TimeLimit(cancelTimeout, `engine "${engine.name}" did not cancel a stream within ${cancelTimeout} ms`);
		const cancellation = this.#streamId === undefined
			? engine.cancelRequest(this.#lifecycle.metadata.requestId, this.#lifecycle.attempt, timeLimit.signal)
			: engine.cancel(this.#streamId, timeLimit.signal);
		// A failed cancellation is ignored: the engine frees the stream when its orphan lifetime has passed.
		cancellation.catch(() => undefined).finally(() => {
			timeLimit.clear();
		});
	}

	#observe(observation: Observation): void {
		this.#options.dispatcher.observe(observation);
	}
}

/** Converts the error of a failed resume: even if the resume was refused or never reached the engine, the stream had run. */
function resumeError(error: unknown, upstream: string): CarobquayError {
	const failure = toCarobquayError(error, 'unknown');
	return failure.ran === 'no'
		? new CarobquayError('4003', {message: `stream at engine "${upstream}" could not be resumed: ${failure.message}`, ran: 'yes', cause: failure})
		: failure;
}
