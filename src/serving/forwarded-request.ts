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
import type {CallerAnswer} from './caller-answer.js';
import type {EngineChoiceResult, ChosenEngine, EngineChooser} from './engine-chooser.js';
import {EngineAnswer, type AnswerOutcome, type EngineAnswerListener} from './engine-answer.js';
import type {
	CustomerKeys, RequestHeaderValues, RequestProtocol, Route, Service,
} from './model.js';
import {OpenAttempts, type OpenAttempt} from './open-attempts.js';
import type {RetryBudget} from './retry-budget.js';
import type {ServingMetrics} from './serving-metrics.js';

/** Time in milliseconds before the end of a request's time at which it gets its final answer. */
const finalMargin = 15;

/** Tries that reached no engine before the request is refused; connections that fail cost no run. */
const maximumUnsent = 4;

/** Least time in milliseconds that must be left to send a request again. */
const leastRemaining = 30;

/** Retry-After in milliseconds of a request that engines turned away. */
const rejectedRetry = 150;

/** Time in milliseconds after which an engine is looked for again for an answer that has begun; a few passes, in which places become free. */
const begunRetry = 100;

/** What a request is answered with, and what it needs on its way. */
export type ForwardedRequestOptions = {
	method: string;
	path: string;
	rawHeaders: readonly string[];
	body: Uint8Array | undefined;
	facts: RequestHeaderValues;
	route: Route;
	service: Service;
	customer: CustomerKeys | undefined;
	/** Monotonic time in milliseconds at which the request arrived. */
	arrivedAt: number;
	answer: CallerAnswer;
	protocol: RequestProtocol;
	chooser: EngineChooser;
	budget: RetryBudget;
	metrics: ServingMetrics;
	log: EventLog;
	/** Version of the configuration that the request is served by. */
	version: number;
};

/** A request from its admission to its end. */
export class ForwardedRequest {
	readonly #options: ForwardedRequestOptions;
	readonly #life: RequestLifecycle;
	readonly #excluded = new Set<string>();
	readonly #over = new AbortController();
	#sent = 0;
	#unsent = 0;
	readonly #attempts: OpenAttempts;
	#chosen: ChosenEngine | undefined;
	#lastEvent: number | undefined;
	#firstEventAt: number | undefined;
	#isOver = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: ForwardedRequestOptions) {
		this.#options = options;
		const {route, facts, arrivedAt, customer} = options;
		this.#life = new RequestLifecycle({
			requestId: facts.requestId ?? 'without id',
			customer: customer?.name ?? 'anonymous',
			requestClass: route.name,
			deadlineAt: arrivedAt + Math.min(route.timeout, facts.timeout ?? route.timeout),
			nonIdempotent: !this.#isRepeatable,
			idempotencyKey: undefined,
		});
		this.#lastEvent = facts.lastEventId;
		this.#attempts = new OpenAttempts({
			start: this.#send.bind(this),
			mayRelieve: () => this.#isRepeatable && this.#mayRepeat && this.#unsent < maximumUnsent && options.budget.hasRetry(options.service.name),
			chooseRelief: async () => {
				const choice = await this.#choose();
				return choice?.kind === 'chosen' ? choice.engine : undefined;
			},
			takeRelief: this.#takeRelief.bind(this),
			reliefFailed: error => {
				options.log.error('request.relief-failed', {...this.#ids, reason: errorMessage(error)});
			},
			delivered: this.#delivered.bind(this),
			closed: this.#record.bind(this),
		});
	}

	/** Serves the request; resolves when it is over. */
	async run(): Promise<void> {
		this.#options.budget.recordRequest(this.#options.service.name);
		this.#timer = setTimeout(() => {
			this.#timeOver();
		}, Math.max(0, this.#life.timeRemaining - finalMargin));
		try {
			while (!this.#isOver) {
				await this.#attempt(); // eslint-disable-line no-await-in-loop
			}
		} finally {
			clearTimeout(this.#timer);
		}
	}

	/** The caller has left: stops all work for it. */
	cancel(): void {
		if (!this.#isOver) {
			this.#options.answer.abandon();
			this.#finish('caller-left', 0);
		}
	}

	get #isRepeatable(): boolean {
		const {kind, isResumable} = this.#options.route;
		return kind === 'idempotent' || isResumable;
	}

	/** Whether sending the request once more can neither run it twice wrongly nor exceed its engines. */
	get #mayRepeat(): boolean {
		return this.#life.canBeginAttempt && this.#sent + this.#attempts.size < this.#options.route.maximumAttempts && this.#life.timeRemaining > leastRemaining;
	}

	/** Asks one engine, and others beside it while it is silent, until an answer is whole or all have failed. */
	async #attempt(): Promise<void> {
		const choice = await this.#choose();
		if (!choice) {
			return;
		}

		if (choice.kind === 'refused') {
			if (this.#options.answer.hasBegun && choice.isTransient && this.#life.timeRemaining > leastRemaining) {
				await delay(Math.min(choice.retryAfter, begunRetry), this.#over.signal);
				return;
			}

			this.#turnAway(choice.code, choice.reason, choice.retryAfter);
			return;
		}

		const outcome = await this.#attempts.run(choice.engine);
		if (!this.#isOver) {
			this.#proceed(outcome);
		}
	}

	/** @returns undefined where the request ended meanwhile. */
	async #choose(): Promise<EngineChoiceResult | undefined> {
		const {chooser, route, service, facts, answer} = this.#options;
		const choice = await chooser.choose({
			requestId: facts.requestId ?? '', service, route, headerValues: facts, remaining: this.#life.timeRemaining,
			excluded: new Set([...this.#excluded, ...this.#attempts.engineIds]),
			attempt: this.#sent + this.#attempts.size + 1, isStreamInterrupted: answer.hasBegun && this.#attempts.size === 0, signal: this.#over.signal,
		});
		// The time may have run out while the process stood still, before its timer could tell.
		if (!this.#isOver && choice.kind === 'chosen' && !this.#life.canBeginAttempt) {
			this.#timeOver();
		}

		if (!this.#isOver) {
			return choice;
		}

		if (choice.kind === 'chosen') {
			choice.engine.release();
		}

		return undefined;
	}

	#send(engine: ChosenEngine, listener: EngineAnswerListener): EngineAnswer {
		const {protocol, rawHeaders, customer, method, path, body, facts, answer} = this.#options;
		this.#chosen = engine;
		this.#life.admit();
		this.#life.markWaiting();
		this.#life.beginAttempt();
		return new EngineAnswer({
			exchange: {
				host: engine.record.host,
				port: engine.record.port,
				method,
				path,
				headers: protocol.buildForwardHeaders(rawHeaders, {
					remaining: this.#life.timeRemaining,
					engineId: engine.record.id,
					customer: customer?.name,
					priority: engine.priority,
					prefillHelpers: engine.prefillHelpers,
					lastEventId: this.#lastEvent === facts.lastEventId ? undefined : this.#lastEvent,
				}),
				body,
			},
			protocol,
			requestId: facts.requestId,
			answer,
			lastEvent: this.#lastEvent,
			firstLimit: engine.firstEventTimeout,
			gapLimit: engine.eventGapTimeout,
			listener,
		});
	}

	#takeRelief({engine}: OpenAttempt, limit: number, relief: ChosenEngine): boolean {
		const {budget, service, metrics, log} = this.#options;
		if (!budget.tryRetry(service.name)) {
			return false;
		}

		metrics.recordRetry(service.name);
		this.#avoid(engine);
		log.info('request.relieved', {
			...this.#ids, engine: engine.record.id, silent: Math.round(limit), to: relief.record.id, delivered: this.#lastEvent,
		});
		return true;
	}

	#delivered(event: number | undefined, gap: number, engine: ChosenEngine): void {
		this.#lastEvent = event ?? this.#lastEvent;
		this.#chosen = engine;
		this.#life.beginStreaming();
		this.#firstEventAt ??= performance.now();
		engine.recordEvent(gap);
	}

	/** Counts an attempt that has ended, and keeps what its end says of the engine. */
	#record({engine, isRelieved, isSuperseded}: OpenAttempt, outcome: AnswerOutcome): void {
		if (isSuperseded) {
			this.#sent += 1;
			return;
		}

		if (this.#isOver) {
			return;
		}

		match(outcome)
			.with({kind: 'complete'}, () => {
				this.#sent += 1;
			})
			.with({kind: 'unreachable'}, () => {
				this.#life.markAttemptNotRun();
				this.#unsent += 1;
				this.#avoid(engine);
			})
			.with({kind: 'misdirected'}, () => {
				this.#life.markAttemptNotRun();
				this.#unsent += 1;
				this.#excluded.add(engine.record.id);
				engine.recordMisdirection();
			})
			.with({kind: 'rejected'}, ({faultyEngine}) => {
				this.#life.markAttemptNotRun();
				this.#sent += 1;
				this.#excluded.add(engine.record.id);
				engine.recordRejection(faultyEngine);
			})
			.with({kind: 'failure'}, () => {
				this.#sent += 1;
				this.#excluded.add(engine.record.id);
			})
			.with({kind: 'broken'}, () => {
				this.#sent += 1;
				if (!isRelieved) {
					this.#avoid(engine);
				}
			})
			.exhaustive();
		if (outcome.kind !== 'complete') {
			this.#options.log.info('request.attempt-failed', {
				...this.#ids, engine: engine.record.id, outcome: outcome.kind, reason: 'reason' in outcome ? outcome.reason : undefined,
				sent: this.#sent, open: this.#attempts.size, delivered: this.#lastEvent,
			});
		}
	}

	/** Goes on after the last open attempt: with another one, or with the end of the request. */
	#proceed(outcome: AnswerOutcome): void {
		match(outcome)
			.with({kind: 'complete'}, ({status}) => {
				this.#finish('answered', status);
			})
			.with({kind: 'unreachable'}, {kind: 'misdirected'}, end => {
				if (this.#unsent >= maximumUnsent) {
					this.#turnAway('3005', `no engine could be reached: ${end.kind === 'unreachable' ? end.reason : 'they are gone from their addresses'}`, rejectedRetry);
				}
			})
			.with({kind: 'rejected'}, () => {
				this.#repeatOr(() => {
					this.#turnAway('3002', `engine "${this.#chosen?.record.id}" did not take the request`, rejectedRetry);
				});
			})
			.with({kind: 'failure'}, ({deliver}) => {
				this.#repeatOr(() => {
					this.#finish('engine-failure', deliver());
				});
			})
			.with({kind: 'broken'}, ({reason}) => {
				this.#repeatOr(() => {
					this.#fail('4003', reason);
				});
			})
			.exhaustive();
	}

	/** Lets the next attempt begin, or ends the request where none is allowed. */
	#repeatOr(end: () => void): void {
		const {budget, service, metrics} = this.#options;
		if (this.#mayRepeat && budget.tryRetry(service.name)) {
			metrics.recordRetry(service.name);
			return;
		}

		end();
	}

	#avoid(engine: ChosenEngine): void {
		this.#excluded.add(engine.record.id);
		engine.recordFailure();
	}

	/** Refuses a request that has not run, or fails one that may have. */
	#turnAway(code: ErrorCode, reason: string, retryAfter: number): void {
		if (this.#life.ran !== 'no') {
			this.#fail('4003', reason);
			return;
		}

		const status = this.#options.answer.refuse(code, reason, 'no', Math.min(retryAfter, this.#life.timeRemaining / 3));
		this.#finish('refused', status, {code, reason, retry_after: Math.round(retryAfter)});
	}

	/** Ends a request whose answer is lost. */
	#fail(code: ErrorCode, reason: string): void {
		const {answer} = this.#options;
		if (answer.hasBegun) {
			answer.breakOff();
			this.#finish('broken-off', 0, {code, reason});
			return;
		}

		this.#finish('failed', answer.refuse(code, reason, this.#life.ran), {code, reason});
	}

	#timeOver(): void {
		if (this.#isOver) {
			return;
		}

		if (this.#attempts.size > 0 && !this.#attempts.maySend) {
			this.#life.markAttemptNotRun();
		}

		if (this.#life.ran === 'no' && !this.#options.answer.hasBegun) {
			this.#turnAway('3004', 'no engine took the request within its time', 0);
		} else {
			this.#fail('4001', 'time over');
		}
	}

	#finish(outcome: string, status: number, fields: LogFields = {}): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		this.#life.end();
		this.#over.abort();
		clearTimeout(this.#timer);
		this.#attempts.abort();
		const {route, service, customer, log, metrics, arrivedAt, version, facts} = this.#options;
		const now = performance.now();
		const firstEvent = this.#firstEventAt === undefined ? undefined : this.#firstEventAt - arrivedAt;
		const isFailure = outcome !== 'answered' && outcome !== 'caller-left';
		metrics.recordEnd({
			route: route.name, service: service.name, outcome, duration: now - arrivedAt, timeToFirstEvent: firstEvent, promptTokens: facts.promptTokens,
		});
		log[isFailure ? 'warn' : 'info']('request.ended', {
			...this.#ids, route: route.name, service: service.name, customer: customer?.name, outcome, status, sent: this.#sent, unsent: this.#unsent,
			engine: this.#chosen?.record.id, ran: this.#life.ran, last_event: this.#lastEvent,
			first_event_ms: firstEvent === undefined ? undefined : Math.round(firstEvent), duration_ms: Math.round(now - arrivedAt), version, ...fields,
		});
	}

	get #ids(): LogFields {
		return {request: this.#options.facts.requestId};
	}
}
