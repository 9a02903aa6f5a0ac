/**
 * Runs one prompt: chooses an engine, reads its stream, resumes or tries again, and ends.
 *
 * @module
 */
import {CarobquayError, toCarobquayError} from '../errors/errors.js';
import type {DivideDecision, RequestFacts, SendDecision} from '../routing/decision.js';
import type {Observation} from '../routing/observation.js';
import type {EngineClient, EngineMessage, Usage} from '../upstream/engine.js';
import type {AnswerSink} from './answer-sink.js';
import {DeliveredText} from './delivered-text.js';
import type {Dispatch, Dispatcher} from './dispatcher.js';
import type {RequestLife} from './life.js';
import {type RetryPolicy, withExecutionStatus} from './retry-policy.js';
import type {SendPermit} from './send-permit.js';
import {delayOrThrow, TimeLimit} from './time-limit.js';

/** Connections tried for one stream after it broke. */
const maximumResumes = 3;

/** Longest wait in milliseconds before a stream is resumed. */
const resumeDelay = 100;

/** Time in milliseconds allowed for cancelling at an engine. */
const cancelTimeout = 2000;

/** What the runner works with. */
export type PromptRunnerOptions = {
	dispatcher: Dispatcher;
	retries: RetryPolicy;
	/** Finds the client of an engine; undefined once the engine has gone. */
	engine: (name: string) => EngineClient | undefined;
	/** Instance and incarnation that own the streams. */
	owner: string;
	/** Time in milliseconds that an engine keeps a stream nobody reads. */
	orphanLifetime: number;
	/** Runs a decided division; absent where this runner is itself running a part. */
	divide?: PromptDivider;
};

/** Runs the parts of a divided prompt as requests of their own. */
export interface PromptDivider {
	run(request: PromptRequest, plan: DivideDecision, sink: AnswerSink, signal: AbortSignal): Promise<void>;
}

/** A prompt to run. */
export type PromptRequest = {
	life: RequestLife;
	facts: Omit<RequestFacts, 'excluded'>;
	body: readonly Uint8Array[];
	/**
	 * Leave to send, where the request needs one.
	 * @default undefined: it may be sent
	 */
	permit?: SendPermit | undefined;
};

/** Runs prompts. */
export class PromptRunner {
	readonly #options: PromptRunnerOptions;

	constructor(options: PromptRunnerOptions) {
		this.#options = options;
	}

	/**
	 * Runs a prompt to its end; the sink has the whole answer when this resolves.
	 *
	 * @param signal - Aborts when the caller leaves or the deadline passes.
	 * @throws {CarobquayError} with the truth about whether the request ran.
	 */
	async run(request: PromptRequest, sink: AnswerSink, signal: AbortSignal): Promise<void> {
		const run = new PromptRun(this.#options, request, sink, signal);
		try {
			await run.run();
		} catch (error) {
			throw withExecutionStatus(toCarobquayError(error, request.life.ran), request.life);
		} finally {
			request.life.end();
		}
	}
}

type AttemptResult = 'ended' | 'try-elsewhere';

/** One prompt while it runs. */
class PromptRun {
	readonly #options: PromptRunnerOptions;
	readonly #request: PromptRequest;
	readonly #life: RequestLife;
	readonly #sink: AnswerSink;
	readonly #signal: AbortSignal;
	readonly #delivered = new DeliveredText();
	readonly #excluded: string[] = [];
	#streamId: string | undefined;
	#sawToken = false;
	#usage: Usage | undefined;

	constructor(options: PromptRunnerOptions, request: PromptRequest, sink: AnswerSink, signal: AbortSignal) {
		this.#options = options;
		this.#request = request;
		this.#life = request.life;
		this.#sink = sink;
		this.#signal = signal;
	}

	async run(): Promise<void> {
		for (let result: AttemptResult = 'try-elsewhere'; result !== 'ended';) {
			const facts: RequestFacts = {...this.#request.facts, excluded: this.#excluded};
			// eslint-disable-next-line no-await-in-loop
			const dispatch = await this.#options.dispatcher.choose(facts, this.#signal, () => {
				this.#life.admit();
				this.#life.wait();
			});
			this.#life.admit();
			if ('kind' in dispatch) {
				// eslint-disable-next-line no-await-in-loop
				await this.#divide(dispatch);
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			result = await this.#attempt(dispatch);
		}
	}

	async #divide(decision: DivideDecision): Promise<void> {
		if (this.#options.divide === undefined) {
			throw new CarobquayError('3003', {message: 'a part of a divided prompt does not fit any engine'});
		}

		await this.#options.divide.run(this.#request, decision, this.#sink, this.#signal);
	}

	async #attempt({decision, reservationId}: Dispatch): Promise<AttemptResult> {
		const {upstream} = decision;
		const {requestId} = this.#life.terms;
		this.#streamId = undefined;
		this.#sawToken = false;
		this.#usage = undefined;
		const engine = this.#options.engine(upstream);
		let attempt = 0;
		try {
			if (engine === undefined) {
				throw new CarobquayError('4002', {message: `engine "${upstream}" has gone`});
			}

			await this.#request.permit?.acquire();
			this.#options.retries.checkCircuitBreaker(upstream);
			this.#options.retries.recordAttempt(this.#life, decision.pool);
			attempt = this.#life.beginAttempt();
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
			const failure = toCarobquayError(error, this.#life.ran);
			this.#settleAttempt(attempt, engine, failure);
			await this.#afterFailure(decision, {failure, sent: attempt > 0});
			return 'try-elsewhere';
		}
	}

	/** Reads the stream to its end, resuming it on new connections where it breaks. */
	async #readAnswer(engine: EngineClient, attempt: number, {decision, reservationId}: Dispatch): Promise<void> {
		let messages = engine.generate({
			requestId: this.#life.terms.requestId,
			attempt,
			owner: this.#options.owner,
			body: this.#request.body,
			priority: decision.priority,
			timeRemaining: this.#life.remaining,
			orphanLifetime: this.#options.orphanLifetime,
			reservationId,
			freshConnection: this.#life.terms.nonIdempotent,
		}, this.#signal);
		for (let resumes = 0; ; resumes++) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await this.#consume(messages, engine.name);
				return;
			} catch (error) {
				if (!this.#mayResume(error, resumes)) {
					throw resumes > 0 ? resumeError(error, engine.name) : error;
				}

				// eslint-disable-next-line no-await-in-loop
				await delayOrThrow(Math.random() * resumeDelay, this.#signal);
				this.#life.resume();
				messages = engine.resume(this.#streamId!, this.#life.nextOffset, this.#signal);
			}
		}
	}

	#mayResume(error: unknown, resumes: number): boolean {
		const broken = error instanceof CarobquayError && (error.code === '4003' || error.code === '4004');
		return broken && this.#streamId !== undefined && resumes < maximumResumes && !this.#signal.aborted && this.#life.state === 'streaming';
	}

	async #consume(messages: AsyncIterable<EngineMessage>, upstream: string): Promise<void> {
		for await (const message of messages) {
			if (message.kind === 'accepted') {
				this.#streamId = message.streamId;
				this.#options.retries.recordSuccess(upstream);
			}

			this.#life.beginStreaming();
			if (message.kind === 'token') {
				await this.#takeToken(message.offset, message.text, upstream);
			}

			if (message.kind === 'end') {
				await this.#takeEnd(message, upstream);
				return;
			}
		}

		throw new CarobquayError('4003', {message: `engine "${upstream}" closed the answer before its end`, ran: 'yes'});
	}

	async #takeToken(offset: number, text: string, upstream: string): Promise<void> {
		if (!this.#sawToken) {
			this.#sawToken = true;
			this.#observe({kind: 'first-token', requestId: this.#life.terms.requestId});
		}

		if (this.#life.acceptToken(offset)) {
			this.#delivered.append(text);
			await this.#sink.writeToken(text);
		} else if (!this.#delivered.matches(offset, text)) {
			throw new CarobquayError('4003', {
				message: `engine "${upstream}" answered otherwise than the attempt whose first ${this.#life.nextOffset} tokens were delivered`,
				ran: 'yes',
			});
		}
	}

	async #takeEnd(message: EngineMessage & {kind: 'end'}, upstream: string): Promise<void> {
		const {requestId} = this.#life.terms;
		this.#usage = message.usage;
		if (message.reason === 'deadline') {
			throw new CarobquayError('4001', {message: `engine "${upstream}" stopped request ${requestId} at its deadline`, ran: 'yes'});
		}

		if (message.reason === 'cancelled' || message.offset !== this.#life.nextOffset) {
			throw new CarobquayError('4003', {
				message: `engine "${upstream}" ended with ${message.offset} tokens (${message.reason}) of which ${this.#life.nextOffset} arrived`, ran: 'yes',
			});
		}

		await this.#sink.complete({reason: message.reason, usage: message.usage, upstream});
	}

	/** Records whether a failed attempt can have run, and frees what it may hold at the engine. */
	#settleAttempt(attempt: number, engine: EngineClient | undefined, error: CarobquayError): void {
		if (attempt === 0 || engine === undefined) {
			return;
		}

		if (error.ran === 'no') {
			this.#life.attemptDidNotRun();
		} else {
			this.#cancel(engine);
		}
	}

	/** @throws {CarobquayError} The failure, where no further attempt may be made. */
	async #afterFailure({upstream, pool}: SendDecision, {failure, sent}: {failure: CarobquayError; sent: boolean}): Promise<void> {
		if (sent) {
			this.#options.retries.recordFailure(upstream, failure.code);
		}

		this.#excluded.push(upstream);
		await this.#options.retries.waitBeforeRetry({
			lifecycle: this.#life, pool, error: failure, upstreamsTried: this.#excluded.length,
		}, this.#signal);
		if (!this.#sink.isStreamed) {
			this.#sink.restart();
			this.#delivered.clear();
			this.#life.restartAnswer();
		}

		this.#life.wait();
	}

	/** Frees the stream at the engine, without waiting for it. */
	#cancel(engine: EngineClient): void {
		const limit = new TimeLimit(cancelTimeout, `engine "${engine.name}" did not cancel in time`);
		const cancelled = this.#streamId === undefined
			? engine.cancelRequest(this.#life.terms.requestId, this.#life.attempt, limit.signal)
			: engine.cancel(this.#streamId, limit.signal);
		// An engine that cannot be told frees the stream when its orphan lifetime is over.
		cancelled.catch(() => undefined).finally(() => {
			limit.clear();
		});
	}

	#observe(observation: Observation): void {
		this.#options.dispatcher.observe(observation);
	}
}

/** A resume that was refused or never reached the engine does not mean that the stream did not run. */
function resumeError(error: unknown, upstream: string): CarobquayError {
	const failure = toCarobquayError(error, 'unknown');
	return failure.ran === 'no'
		? new CarobquayError('4003', {message: `the stream at engine "${upstream}" could not be resumed: ${failure.message}`, ran: 'yes', cause: failure})
		: failure;
}
