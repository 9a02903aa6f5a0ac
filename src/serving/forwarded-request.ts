/**
 * Forwards one caller's request to engines: starts attempts, retries and hedges them, and ends the request.
 *
 * @module
 */
import {match} from 'ts-pattern';
import {errorCatalogue, type ErrorCode} from '../errors/catalogue.js';
import {errorMessage} from '../errors/errors.js';
import {RequestLifecycle} from '../request/request-lifecycle.js';
import {delay, onceAborted} from '../request/time-limit.js';
import type {LogFields} from '../telemetry/log.js';
import {type AnswerObservation, answerEndOf} from './answer-durations.js';
import {AttemptTally} from './attempt-tally.js';
import type {EngineChoiceResult, ChosenEngine} from './engine-chooser.js';
import {EventOrder} from './event-order.js';
import type {AttemptOutcome, EngineAttempt, EngineAttemptListener} from './engine-attempt.js';
import {startEngineAttempt} from './engine-attempt-start.js';
import type {ForwardedRequestOptions} from './forwarded-request-options.js';
import {HedgedAttempts, type InFlightAttempt} from './hedged-attempts.js';
import {type RequestProgress, RequestReporter} from './request-reporter.js';
import {establishedEventCount, observeAttempt} from './observed-attempt.js';
import {shutdownReason} from './shutdown.js';

/** Time in milliseconds before a request's deadline at which an unfinished request is ended. */
const deadlineMargin = 15;

/** Maximum number of attempts that reach no engine. They have a limit of their own, because a failed connection executes nothing. */
const maximumUnsentAttempts = 4;

/** Minimum time in milliseconds until the deadline for a retry. */
const minimumTimeForRetry = 30;

/** Retry-After in milliseconds of a request that engines rejected or that reached none. */
const rejectedRetryAfter = 150;

/** Maximum delay in milliseconds before another engine is chosen to continue a started response: a few scheduler iterations, in which slots become free. */
const maximumResumeDelay = 100;

/** One request, from admission to its end. */
export class ForwardedRequest {
	readonly #options: ForwardedRequestOptions;
	readonly #lifecycle: RequestLifecycle;
	readonly #reporter: RequestReporter;
	readonly #tally: AttemptTally;
	readonly #abortController = new AbortController();
	readonly #attempts: HedgedAttempts;
	readonly #order: EventOrder;
	#lastEngine: ChosenEngine | undefined;
	#isEnded = false;
	#deadlineTimer: NodeJS.Timeout | undefined;
	#observation: AnswerObservation | undefined;

	constructor(options: ForwardedRequestOptions) {
		this.#options = options;
		this.#reporter = new RequestReporter(options);
		const {route, headerValues, arrivedAt, customer} = options;
		this.#lifecycle = new RequestLifecycle({
			requestId: headerValues.requestId ?? 'without id',
			customer: customer?.name ?? 'anonymous',
			requestClass: route.name,
			deadlineAt: arrivedAt + Math.min(route.timeout, headerValues.timeout ?? route.timeout),
			nonIdempotent: !this.#isRetryable,
			idempotencyKey: undefined,
		});
		this.#tally = new AttemptTally(this.#lifecycle);
		this.#order = route.isResumable ? new EventOrder(headerValues.lastEventId, {of: options.numbering, service: options.service.name}) : new EventOrder(undefined);
		this.#attempts = new HedgedAttempts({
			startAttempt: this.#startAttempt.bind(this),
			canHedge: () => this.#isRetryable && this.#canRetry && this.#continuationObstacle === undefined && !options.guard.isIsolated
				&& this.#tally.unsent < maximumUnsentAttempts && options.retryBudget.hasRetry(options.service.name),
			chooseHedgeEngine: async () => {
				const choice = await this.#chooseEngine();
				return choice?.kind === 'chosen' ? choice.engine : undefined;
			},
			admitHedge: this.#admitHedge.bind(this),
			onHedgeFailure: error => {
				this.#reporter.reportHedgeFailure(errorMessage(error));
			},
			canContinueElsewhere: () => this.#continuationObstacle === undefined,
			onEvent: this.#onEvent.bind(this),
			onAttemptEnd: this.#onAttemptEnd.bind(this),
		});
	}

	/** Serves the request. Resolves when it has ended. */
	async run(): Promise<void> {
		const {retryBudget, service, startSignal} = this.#options;
		retryBudget.recordRequest(service.name);
		this.#deadlineTimer = setTimeout(() => {
			this.#onDeadline();
		}, Math.max(0, this.#lifecycle.timeRemaining - deadlineMargin));
		try {
			if (startSignal !== undefined) {
				await Promise.race([startSignal, onceAborted(this.#abortController.signal)]);
			}

			if (!this.#isEnded) {
				this.#begin();
			}

			while (!this.#isEnded) {
				await this.#runAttempt(); // eslint-disable-line no-await-in-loop
			}
		} finally {
			clearTimeout(this.#deadlineTimer);
		}
	}

	/** Ends the request and aborts its attempts, because the caller has disconnected. */
	cancel(): void {
		if (!this.#isEnded) {
			this.#options.callerResponse.markCallerGone();
			this.#finish('caller-left', 0);
		}
	}

	/** Ends the request, because this instance has closed its connection within a response, or an earlier one. */
	loseConnection(): void {
		if (!this.#isEnded) {
			this.#options.callerResponse.markCallerGone();
			this.#finish('broken-off', 0, {reason: 'its connection was closed within a response'});
		}
	}

	/** Ends the request, because this process is about to end. A caller that has no part of the answer yet gets an error. */
	abandon(): void {
		this.giveUp({code: '3006', reason: shutdownReason, retryAfter: errorCatalogue[3006].retryAfter!}, {code: '4010', reason: 'this instance has stopped before the end of the answer'});
	}

	/** Refuses the request if no engine can have run it, fails it otherwise; does nothing if it has ended. */
	giveUp(refusal: {code: ErrorCode; reason: string; retryAfter: number}, failure: {code: ErrorCode; reason: string}): void {
		if (this.#isEnded) {
			return;
		}

		for (let unconnected = this.#attempts.unconnectedCount; unconnected > 0; unconnected--) {
			this.#lifecycle.markAttemptNotRun();
		}

		if (this.#lifecycle.ran === 'no' && !this.#options.callerResponse.hasStarted) {
			this.#refuse(refusal.code, refusal.reason, refusal.retryAfter);
		} else {
			this.#fail(failure.code, failure.reason);
		}
	}

	get #isRetryable(): boolean {
		const {kind, isResumable} = this.#options.route;
		return kind === 'idempotent' || isResumable;
	}

	/** Why no other engine may go on with the answer from what the caller has of it; undefined if one may. */
	get #continuationObstacle(): string | undefined {
		const {callerResponse, route} = this.#options;
		if (callerResponse.hasStarted && !route.isResumable) {
			return `route "${route.name}" does not allow it`;
		}

		return this.#order.isResumable ? undefined : 'the events that the caller has bear no ids that tell their order';
	}

	/** Whether another attempt is allowed by the deadline and the route's maximum, without executing a non-idempotent request twice. */
	get #canRetry(): boolean {
		return this.#lifecycle.canBeginAttempt && this.#tally.sent + this.#attempts.size < this.#options.route.maximumAttempts && this.#lifecycle.timeRemaining > minimumTimeForRetry;
	}

	/** Begins to count the time of the answer, unless the request is quarantined. */
	#begin(): void {
		const {service, guard, answerDurations, headerValues} = this.#options;
		const decision = guard.decide();
		if (decision.kind === 'quarantined') {
			this.#refuseQuarantined(decision.fingerprint, decision.retryAfter);
			return;
		}

		this.#observation = answerDurations.begin(service, headerValues);
	}

	/** Sends the request to one engine, and hedges it, until a response is complete or all attempts have failed. */
	async #runAttempt(): Promise<void> {
		const choice = await this.#chooseEngine();
		if (!choice) {
			return;
		}

		if (choice.kind === 'refused') {
			if (this.#options.callerResponse.hasStarted && choice.isTransient && this.#lifecycle.timeRemaining > minimumTimeForRetry) {
				await delay(Math.min(choice.retryAfter, maximumResumeDelay), this.#abortController.signal);
				return;
			}

			this.#refuse(choice.code, choice.reason, choice.retryAfter);
			return;
		}

		const outcome = await this.#attempts.run(choice.engine);
		if (outcome.kind === 'broken') {
			await this.#options.guard.settled();
		}

		if (!this.#isEnded) {
			this.#handleOutcome(outcome);
		}
	}

	/** @returns undefined if the request ended in the meantime. */
	async #chooseEngine(): Promise<EngineChoiceResult | undefined> {
		const {chooser, route, service, customer, headerValues, callerResponse, guard, body} = this.#options;
		await guard.waitForJudgement();
		const choice = await chooser.choose({
			requestId: headerValues.requestId ?? '', service, route, customer, headerValues, remaining: this.#lifecycle.timeRemaining,
			timeUntilAbandoned: this.#lifecycle.ran === 'no' && !callerResponse.hasStarted ? this.#options.timeUntilAbandoned() : Number.POSITIVE_INFINITY,
			excluded: new Set([...this.#tally.excludedEngines, ...this.#attempts.engineIds]),
			isIsolated: guard.isIsolated, attempt: this.#tally.sent + this.#attempts.size + 1,
			isStreamInterrupted: callerResponse.hasStarted && this.#attempts.size === 0, signal: this.#abortController.signal, bodyBytes: body?.length,
		});
		// After a pause of the process, the deadline may have passed before its timer has fired.
		if (!this.#isEnded && choice.kind === 'chosen' && !this.#lifecycle.canBeginAttempt) {
			this.#onDeadline();
		}

		if (!this.#isEnded && choice.kind === 'chosen' && this.#attempts.size === 0 && guard.blockedBy !== undefined) {
			this.#refuseQuarantined(guard.blockedBy);
		}

		if (!this.#isEnded) {
			return choice;
		}

		if (choice.kind === 'chosen') {
			choice.engine.release();
		}

		return undefined;
	}

	#startAttempt(engine: ChosenEngine, listener: EngineAttemptListener): EngineAttempt {
		this.#options.onPassOn?.();
		this.#lastEngine = engine;
		this.#lifecycle.admit();
		this.#lifecycle.markWaiting();
		this.#lifecycle.beginAttempt();
		return startEngineAttempt(this.#options, engine, {lifecycle: this.#lifecycle, order: this.#order, listener});
	}

	#admitHedge(idleAttempt: InFlightAttempt, timeout: number, hedgeEngine: ChosenEngine): boolean {
		const {retryBudget, service, guard} = this.#options;
		if (guard.blockedBy !== undefined || !retryBudget.tryRetry(service.name)) {
			return false;
		}

		this.#reporter.recordRetry();
		this.#tally.excludeBroken(idleAttempt);
		this.#reporter.reportHedge(idleAttempt, timeout, hedgeEngine.record.id, this.#progress);
		return true;
	}

	#onEvent(gap: number, {engine, eventCount}: InFlightAttempt): void {
		if (eventCount === establishedEventCount) {
			this.#options.guard.recordSoundness();
		}

		this.#lastEngine = engine;
		this.#lifecycle.beginStreaming();
		this.#reporter.recordEvent();
		this.#observation?.recordEvent();
		engine.recorder.recordEvent(gap);
	}

	/** Counts an attempt that has ended, excludes its engine from further ones and reports its failure. */
	#onAttemptEnd(inFlight: InFlightAttempt, outcome: AttemptOutcome): void {
		if (inFlight.isSuperseded) {
			this.#tally.recordSuperseded();
			return;
		}

		if (this.#isEnded) {
			return;
		}

		this.#options.guard.recordAttempt(observeAttempt(inFlight, outcome));
		this.#tally.record(inFlight, outcome);
		if (outcome.kind !== 'complete') {
			this.#reporter.reportFailedAttempt(inFlight, outcome, this.#progress, this.#attempts.size);
		}
	}

	/** Ends the request, or lets another attempt start, after the last attempt in flight has ended. */
	#handleOutcome(outcome: AttemptOutcome): void {
		const obstacle = this.#continuationObstacle;
		if (outcome.kind !== 'complete' && obstacle !== undefined) {
			this.#fail('4003', `${'reason' in outcome ? outcome.reason : outcome.kind}; no other engine may go on: ${obstacle}`);
			return;
		}

		match(outcome)
			.with({kind: 'complete'}, ({status}) => {
				this.#finish('answered', status);
			})
			.with({kind: 'unreachable'}, {kind: 'misdirected'}, end => {
				if (this.#tally.unsent >= maximumUnsentAttempts) {
					this.#refuse('3005', `no engine could be reached: ${end.kind === 'unreachable' ? end.reason : 'other engines use their addresses'}`, rejectedRetryAfter);
				}
			})
			.with({kind: 'rejected'}, () => {
				this.#retryOr(() => {
					this.#refuse('3002', `engine "${this.#lastEngine?.record.id}" rejected the request`, rejectedRetryAfter);
				});
			})
			.with({kind: 'failure'}, ({forwardResponse}) => {
				this.#retryOr(() => {
					this.#finish('engine-failure', forwardResponse());
				});
			})
			.with({kind: 'broken'}, ({reason}) => {
				if (this.#options.guard.isIsolated) {
					this.#fail('4003', reason);
					return;
				}

				this.#retryOr(() => {
					this.#fail('4003', reason);
				});
			})
			.exhaustive();
	}

	/** Lets another attempt start, or ends the request if no retry is allowed. */
	#retryOr(endRequest: () => void): void {
		const {retryBudget, service} = this.#options;
		if (this.#canRetry && retryBudget.tryRetry(service.name)) {
			this.#reporter.recordRetry();
			return;
		}

		endRequest();
	}

	/** Refuses a request that was not executed, or fails one that may have been. */
	#refuse(code: ErrorCode, reason: string, retryAfter: number): void {
		if (this.#lifecycle.ran !== 'no') {
			this.#fail('4003', reason);
			return;
		}

		const status = this.#options.callerResponse.sendError(code, reason, 'no', Math.min(retryAfter, this.#lifecycle.timeRemaining / 3));
		this.#finish('refused', status, {code, reason, retry_after: Math.round(retryAfter)});
	}

	/** Ends a request that is kept from engines. @param retryAfter - In milliseconds; undefined if the request had been admitted before. */
	#refuseQuarantined(fingerprint: string, retryAfter: number = errorCatalogue[3007].retryAfter!): void {
		const reason = `engines have crashed on requests with fingerprint "${fingerprint}"`;
		if (this.#lifecycle.ran !== 'no') {
			this.#fail('4003', reason);
			return;
		}

		const status = this.#options.callerResponse.sendError('3007', reason, 'no', retryAfter);
		this.#finish('refused', status, {code: '3007', reason, retry_after: Math.round(retryAfter)});
	}

	/** Ends a request that cannot get a complete response any more. */
	#fail(code: ErrorCode, reason: string): void {
		const {callerResponse} = this.#options;
		if (callerResponse.hasStarted) {
			callerResponse.destroy();
			this.#finish('broken-off', 0, {code, reason});
			return;
		}

		this.#finish('failed', callerResponse.sendError(code, reason, this.#lifecycle.ran), {code, reason});
	}

	#onDeadline(): void {
		this.giveUp({code: '3004', reason: 'no engine accepted the request before its deadline', retryAfter: 0}, {code: '4001', reason: 'deadline exceeded'});
	}

	#finish(outcome: string, status: number, fields: LogFields = {}): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		this.#observation?.end(answerEndOf(outcome, status));
		this.#lifecycle.end();
		this.#abortController.abort();
		this.#attempts.abort();
		this.#reporter.reportEnd(outcome, status, this.#progress, {engine: this.#lastEngine?.record.id, ran: this.#lifecycle.ran, ...fields});
	}

	get #progress(): RequestProgress {
		return {sentAttempts: this.#tally.sent, unsentAttempts: this.#tally.unsent, lastEventId: this.#order.lastId};
	}
}
