/**
 * One caller's request on its way to an engine: where it is sent, when it is sent again and how it ends.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {match} from 'ts-pattern';
import type {ErrorCode} from '../errors/catalogue.js';
import {errorMessage} from '../errors/errors.js';
import {RequestLifecycle} from '../request/request-lifecycle.js';
import {delay} from '../request/time-limit.js';
import type {EventLog, LogFields} from '../telemetry/log.js';
import type {CallerResponse} from './caller-response.js';
import type {EngineChoiceResult, ChosenEngine, EngineChooser} from './engine-chooser.js';
import {EngineAttempt, type AttemptOutcome, type EngineAttemptListener} from './engine-attempt.js';
import type {
	CustomerKeys, RequestHeaderValues, RequestProtocol, Route, Service,
} from './model.js';
import {HedgedAttempts, type InFlightAttempt} from './hedged-attempts.js';
import type {RetryBudget} from './retry-budget.js';
import type {ServingMetrics} from './serving-metrics.js';

/** Time in milliseconds before the end of a request's time at which it gets its final answer. */
const deadlineMargin = 15;

/** Tries that reached no engine before the request is refused; connections that fail cost no run. */
const maximumUnsentAttempts = 4;

/** Least time in milliseconds that must be left to send a request again. */
const minimumTimeForRetry = 30;

/** Retry-After in milliseconds of a request that engines turned away. */
const rejectedRetryAfter = 150;

/** Time in milliseconds after which an engine is looked for again for an answer that has begun; a few passes, in which places become free. */
const maximumResumeDelay = 100;

/** What a request is answered with, and what it needs on its way. */
export type ForwardedRequestOptions = {
	method: string;
	path: string;
	rawHeaders: readonly string[];
	body: Uint8Array | undefined;
	headerValues: RequestHeaderValues;
	route: Route;
	service: Service;
	customer: CustomerKeys | undefined;
	/** Monotonic time in milliseconds at which the request arrived. */
	arrivedAt: number;
	callerResponse: CallerResponse;
	protocol: RequestProtocol;
	chooser: EngineChooser;
	retryBudget: RetryBudget;
	metrics: ServingMetrics;
	log: EventLog;
	/** Version of the configuration that the request is served by. */
	configurationVersion: number;
};

/** A request from its admission to its end. */
export class ForwardedRequest {
	readonly #options: ForwardedRequestOptions;
	readonly #lifecycle: RequestLifecycle;
	readonly #excludedEngines = new Set<string>();
	readonly #abortController = new AbortController();
	#sentAttempts = 0;
	#unsentAttempts = 0;
	readonly #attempts: HedgedAttempts;
	#lastEngine: ChosenEngine | undefined;
	#lastEventId: number | undefined;
	#firstEventAt: number | undefined;
	#isEnded = false;
	#deadlineTimer: NodeJS.Timeout | undefined;

	constructor(options: ForwardedRequestOptions) {
		this.#options = options;
		const {route, headerValues: facts, arrivedAt, customer} = options;
		this.#lifecycle = new RequestLifecycle({
			requestId: facts.requestId ?? 'without id',
			customer: customer?.name ?? 'anonymous',
			requestClass: route.name,
			deadlineAt: arrivedAt + Math.min(route.timeout, facts.timeout ?? route.timeout),
			nonIdempotent: !this.#isRetryable,
			idempotencyKey: undefined,
		});
		this.#lastEventId = facts.lastEventId;
		this.#attempts = new HedgedAttempts({
			startAttempt: this.#startAttempt.bind(this),
			canHedge: () => this.#isRetryable && this.#canRetry && this.#unsentAttempts < maximumUnsentAttempts && options.retryBudget.hasRetry(options.service.name),
			chooseHedgeEngine: async () => {
				const choice = await this.#chooseEngine();
				return choice?.kind === 'chosen' ? choice.engine : undefined;
			},
			admitHedge: this.#admitHedge.bind(this),
			onHedgeFailure: error => {
				options.log.error('request.relief-failed', {...this.#logFields, reason: errorMessage(error)});
			},
			onEvent: this.#onEvent.bind(this),
			onAttemptEnd: this.#onAttemptEnd.bind(this),
		});
	}

	/** Serves the request; resolves when it is over. */
	async run(): Promise<void> {
		this.#options.retryBudget.recordRequest(this.#options.service.name);
		this.#deadlineTimer = setTimeout(() => {
			this.#onDeadline();
		}, Math.max(0, this.#lifecycle.timeRemaining - deadlineMargin));
		try {
			while (!this.#isEnded) {
				await this.#runAttempt(); // eslint-disable-line no-await-in-loop
			}
		} finally {
			clearTimeout(this.#deadlineTimer);
		}
	}

	/** The caller has left: stops all work for it. */
	cancel(): void {
		if (!this.#isEnded) {
			this.#options.callerResponse.markCallerGone();
			this.#finish('caller-left', 0);
		}
	}

	get #isRetryable(): boolean {
		const {kind, isResumable} = this.#options.route;
		return kind === 'idempotent' || isResumable;
	}

	/** Whether sending the request once more can neither run it twice wrongly nor exceed its engines. */
	get #canRetry(): boolean {
		return this.#lifecycle.canBeginAttempt && this.#sentAttempts + this.#attempts.size < this.#options.route.maximumAttempts && this.#lifecycle.timeRemaining > minimumTimeForRetry;
	}

	/** Asks one engine, and others beside it while it is silent, until an answer is whole or all have failed. */
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
		if (!this.#isEnded) {
			this.#handleOutcome(outcome);
		}
	}

	/** @returns undefined where the request ended meanwhile. */
	async #chooseEngine(): Promise<EngineChoiceResult | undefined> {
		const {chooser, route, service, headerValues: facts, callerResponse: answer} = this.#options;
		const choice = await chooser.choose({
			requestId: facts.requestId ?? '', service, route, headerValues: facts, remaining: this.#lifecycle.timeRemaining,
			excluded: new Set([...this.#excludedEngines, ...this.#attempts.engineIds]),
			attempt: this.#sentAttempts + this.#attempts.size + 1, isStreamInterrupted: answer.hasStarted && this.#attempts.size === 0, signal: this.#abortController.signal,
		});
		// The time may have run out while the process stood still, before its timer could tell.
		if (!this.#isEnded && choice.kind === 'chosen' && !this.#lifecycle.canBeginAttempt) {
			this.#onDeadline();
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
		const {protocol, rawHeaders, customer, method, path, body, headerValues: facts, callerResponse: answer} = this.#options;
		this.#lastEngine = engine;
		this.#lifecycle.admit();
		this.#lifecycle.markWaiting();
		this.#lifecycle.beginAttempt();
		return new EngineAttempt({
			exchange: {
				host: engine.record.host,
				port: engine.record.port,
				method,
				path,
				headers: protocol.buildForwardHeaders(rawHeaders, {
					remaining: this.#lifecycle.timeRemaining,
					engineId: engine.record.id,
					customer: customer?.name,
					priority: engine.priority,
					prefillHelpers: engine.prefillHelpers,
					lastEventId: this.#lastEventId === facts.lastEventId ? undefined : this.#lastEventId,
				}),
				body,
			},
			protocol,
			requestId: facts.requestId,
			callerResponse: answer,
			lastEventId: this.#lastEventId,
			firstEventTimeout: engine.firstEventTimeout,
			eventGapTimeout: engine.eventGapTimeout,
			listener,
		});
	}

	#admitHedge({engine}: InFlightAttempt, limit: number, relief: ChosenEngine): boolean {
		const {retryBudget: budget, service, metrics, log} = this.#options;
		if (!budget.tryRetry(service.name)) {
			return false;
		}

		metrics.recordRetry(service.name);
		this.#excludeFailedEngine(engine);
		log.info('request.relieved', {
			...this.#logFields, engine: engine.record.id, silent: Math.round(limit), to: relief.record.id, delivered: this.#lastEventId,
		});
		return true;
	}

	#onEvent(event: number | undefined, gap: number, engine: ChosenEngine): void {
		this.#lastEventId = event ?? this.#lastEventId;
		this.#lastEngine = engine;
		this.#lifecycle.beginStreaming();
		this.#firstEventAt ??= performance.now();
		engine.recordEvent(gap);
	}

	/** Counts an attempt that has ended, and keeps what its end says of the engine. */
	#onAttemptEnd({engine, isHedged: isRelieved, isSuperseded}: InFlightAttempt, outcome: AttemptOutcome): void {
		if (isSuperseded) {
			this.#sentAttempts += 1;
			return;
		}

		if (this.#isEnded) {
			return;
		}

		match(outcome)
			.with({kind: 'complete'}, () => {
				this.#sentAttempts += 1;
			})
			.with({kind: 'unreachable'}, () => {
				this.#lifecycle.markAttemptNotRun();
				this.#unsentAttempts += 1;
				this.#excludeFailedEngine(engine);
			})
			.with({kind: 'misdirected'}, () => {
				this.#lifecycle.markAttemptNotRun();
				this.#unsentAttempts += 1;
				this.#excludedEngines.add(engine.record.id);
				engine.recordMisdirection();
			})
			.with({kind: 'rejected'}, ({faultyEngine}) => {
				this.#lifecycle.markAttemptNotRun();
				this.#sentAttempts += 1;
				this.#excludedEngines.add(engine.record.id);
				engine.recordRejection(faultyEngine);
			})
			.with({kind: 'failure'}, () => {
				this.#sentAttempts += 1;
				this.#excludedEngines.add(engine.record.id);
			})
			.with({kind: 'broken'}, () => {
				this.#sentAttempts += 1;
				if (!isRelieved) {
					this.#excludeFailedEngine(engine);
				}
			})
			.exhaustive();
		if (outcome.kind !== 'complete') {
			this.#options.log.info('request.attempt-failed', {
				...this.#logFields, engine: engine.record.id, outcome: outcome.kind, reason: 'reason' in outcome ? outcome.reason : undefined,
				sent: this.#sentAttempts, open: this.#attempts.size, delivered: this.#lastEventId,
			});
		}
	}

	/** Goes on after the last open attempt: with another one, or with the end of the request. */
	#handleOutcome(outcome: AttemptOutcome): void {
		match(outcome)
			.with({kind: 'complete'}, ({status}) => {
				this.#finish('answered', status);
			})
			.with({kind: 'unreachable'}, {kind: 'misdirected'}, end => {
				if (this.#unsentAttempts >= maximumUnsentAttempts) {
					this.#refuse('3005', `no engine could be reached: ${end.kind === 'unreachable' ? end.reason : 'they are gone from their addresses'}`, rejectedRetryAfter);
				}
			})
			.with({kind: 'rejected'}, () => {
				this.#retryOr(() => {
					this.#refuse('3002', `engine "${this.#lastEngine?.record.id}" did not take the request`, rejectedRetryAfter);
				});
			})
			.with({kind: 'failure'}, ({forwardResponse: deliver}) => {
				this.#retryOr(() => {
					this.#finish('engine-failure', deliver());
				});
			})
			.with({kind: 'broken'}, ({reason}) => {
				this.#retryOr(() => {
					this.#fail('4003', reason);
				});
			})
			.exhaustive();
	}

	/** Lets the next attempt begin, or ends the request where none is allowed. */
	#retryOr(end: () => void): void {
		const {retryBudget: budget, service, metrics} = this.#options;
		if (this.#canRetry && budget.tryRetry(service.name)) {
			metrics.recordRetry(service.name);
			return;
		}

		end();
	}

	#excludeFailedEngine(engine: ChosenEngine): void {
		this.#excludedEngines.add(engine.record.id);
		engine.recordFailure();
	}

	/** Refuses a request that has not run, or fails one that may have. */
	#refuse(code: ErrorCode, reason: string, retryAfter: number): void {
		if (this.#lifecycle.ran !== 'no') {
			this.#fail('4003', reason);
			return;
		}

		const status = this.#options.callerResponse.sendError(code, reason, 'no', Math.min(retryAfter, this.#lifecycle.timeRemaining / 3));
		this.#finish('refused', status, {code, reason, retry_after: Math.round(retryAfter)});
	}

	/** Ends a request whose answer is lost. */
	#fail(code: ErrorCode, reason: string): void {
		const {callerResponse: answer} = this.#options;
		if (answer.hasStarted) {
			answer.destroy();
			this.#finish('broken-off', 0, {code, reason});
			return;
		}

		this.#finish('failed', answer.sendError(code, reason, this.#lifecycle.ran), {code, reason});
	}

	#onDeadline(): void {
		if (this.#isEnded) {
			return;
		}

		if (this.#attempts.size > 0 && !this.#attempts.hasConnected) {
			this.#lifecycle.markAttemptNotRun();
		}

		if (this.#lifecycle.ran === 'no' && !this.#options.callerResponse.hasStarted) {
			this.#refuse('3004', 'no engine took the request within its time', 0);
		} else {
			this.#fail('4001', 'time over');
		}
	}

	#finish(outcome: string, status: number, fields: LogFields = {}): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		this.#lifecycle.end();
		this.#abortController.abort();
		clearTimeout(this.#deadlineTimer);
		this.#attempts.abort();
		const {route, service, customer, log, metrics, arrivedAt, configurationVersion: version, headerValues: facts} = this.#options;
		const now = performance.now();
		const firstEvent = this.#firstEventAt === undefined ? undefined : this.#firstEventAt - arrivedAt;
		const isFailure = outcome !== 'answered' && outcome !== 'caller-left';
		metrics.recordEnd({
			route: route.name, service: service.name, outcome, duration: now - arrivedAt, timeToFirstEvent: firstEvent, promptTokens: facts.promptTokens,
		});
		log[isFailure ? 'warn' : 'info']('request.ended', {
			...this.#logFields, route: route.name, service: service.name, customer: customer?.name, outcome, status, sent: this.#sentAttempts, unsent: this.#unsentAttempts,
			engine: this.#lastEngine?.record.id, ran: this.#lifecycle.ran, last_event: this.#lastEventId,
			first_event_ms: firstEvent === undefined ? undefined : Math.round(firstEvent), duration_ms: Math.round(now - arrivedAt), version, ...fields,
		});
	}

	get #logFields(): LogFields {
		return {request: this.#options.headerValues.requestId};
	}
}
