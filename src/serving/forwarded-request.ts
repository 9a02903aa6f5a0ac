/**
 * One caller's request on its way to an engine: where it is sent, when it is sent again and how it ends.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {match} from 'ts-pattern';
import type {ErrorCode} from '../errors/catalogue.js';
import {RequestLife} from '../request/life.js';
import type {EventLog, LogFields} from '../telemetry/log.js';
import type {CallerAnswer} from './caller-answer.js';
import type {ChosenEngine, EngineChooser} from './engine-chooser.js';
import {EngineAnswer, type AnswerOutcome} from './engine-answer.js';
import type {
	CustomerKeys, RequestFacts, RequestProtocol, Route, Service,
} from './model.js';
import type {RepeatBudget} from './repeat-budget.js';
import type {ServingMetrics} from './serving-metrics.js';

/** Time in milliseconds before the end of a request's time at which it gets its final answer. */
const finalMargin = 15;

/** Tries that reached no engine before the request is refused; connections that fail cost no run. */
const maximumUnsent = 4;

/** Least time in milliseconds that must be left to send a request again. */
const leastRemaining = 30;

/** Retry-After in milliseconds of a request that engines turned away. */
const rejectedRetry = 150;

/** What a request is answered with, and what it needs on its way. */
export type ForwardedRequestOptions = {
	method: string;
	path: string;
	rawHeaders: readonly string[];
	body: Uint8Array | undefined;
	facts: RequestFacts;
	route: Route;
	service: Service;
	customer: CustomerKeys | undefined;
	/** Monotonic time in milliseconds at which the request arrived. */
	arrivedAt: number;
	answer: CallerAnswer;
	protocol: RequestProtocol;
	chooser: EngineChooser;
	budget: RepeatBudget;
	metrics: ServingMetrics;
	log: EventLog;
	/** Version of the configuration that the request is served by. */
	version: number;
};

/** A request from its admission to its end. */
export class ForwardedRequest {
	readonly #options: ForwardedRequestOptions;
	readonly #life: RequestLife;
	readonly #excluded = new Set<string>();
	readonly #over = new AbortController();
	#sent = 0;
	#unsent = 0;
	#current: EngineAnswer | undefined;
	#chosen: ChosenEngine | undefined;
	#lastEvent: number | undefined;
	#firstEventAt: number | undefined;
	#isOver = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: ForwardedRequestOptions) {
		this.#options = options;
		const {route, facts, arrivedAt, customer} = options;
		this.#life = new RequestLife({
			requestId: facts.requestId ?? 'without id',
			customer: customer?.name ?? 'anonymous',
			requestClass: route.name,
			deadlineAt: arrivedAt + Math.min(route.timeout, facts.deadline ?? route.timeout),
			nonIdempotent: !this.#isRepeatable,
			idempotencyKey: undefined,
		});
		this.#lastEvent = facts.lastEvent;
	}

	/** Serves the request; resolves when it is over. */
	async run(): Promise<void> {
		this.#options.budget.requested(this.#options.service.name);
		this.#timer = setTimeout(() => {
			this.#timeOver();
		}, Math.max(0, this.#life.remaining - finalMargin));
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
		const {kind, resumable} = this.#options.route;
		return kind === 'idempotent' || resumable;
	}

	/** Whether sending the request once more can neither run it twice wrongly nor exceed its engines. */
	get #mayRepeat(): boolean {
		return this.#life.mayAttempt && this.#sent < this.#options.route.maximumEngines && this.#life.remaining > leastRemaining;
	}

	async #attempt(): Promise<void> {
		const {chooser, route, service, facts, log} = this.#options;
		const choice = await chooser.choose({
			requestId: facts.requestId ?? '', service, route, facts, remaining: this.#life.remaining, excluded: this.#excluded, attempt: this.#sent + 1, signal: this.#over.signal,
		});
		if (this.#isOver) {
			if (choice.kind === 'chosen') {
				choice.engine.release();
			}

			return;
		}

		if (choice.kind === 'refused') {
			this.#turnAway(choice.code, choice.reason, choice.retryAfter);
			return;
		}

		// The time may have run out while the process stood still, before its timer could tell.
		if (!this.#life.mayAttempt) {
			choice.engine.release();
			this.#timeOver();
			return;
		}

		this.#chosen = choice.engine;
		this.#life.admit();
		this.#life.beginAttempt();
		const outcome = await this.#send(choice.engine);
		this.#current = undefined;
		choice.engine.release();
		if (this.#isOver) {
			return;
		}

		if (outcome.kind !== 'complete') {
			log.info('request.attempt-failed', {
				...this.#ids, engine: choice.engine.record.id, outcome: outcome.kind, reason: 'reason' in outcome ? outcome.reason : undefined,
				sent: this.#sent, delivered: this.#lastEvent,
			});
		}

		this.#settle(outcome, choice.engine);
	}

	async #send(engine: ChosenEngine): Promise<AnswerOutcome> {
		const {protocol, rawHeaders, customer, method, path, body, facts, route, answer} = this.#options;
		return new Promise(resolve => {
			this.#current = new EngineAnswer({
				exchange: {
					host: engine.record.host,
					port: engine.record.port,
					method,
					path,
					headers: protocol.forward(rawHeaders, {
						remaining: this.#life.remaining,
						engineId: engine.record.id,
						customer: customer?.name,
						rank: engine.rank,
						readers: engine.readers,
						lastEvent: this.#lastEvent === facts.lastEvent ? undefined : this.#lastEvent,
					}),
					body,
				},
				protocol,
				requestId: facts.requestId,
				answer,
				lastEvent: this.#lastEvent,
				isRepeatable: this.#isRepeatable,
				mayRepeat: () => this.#sent + 1 < route.maximumEngines && this.#life.remaining > leastRemaining && this.#options.budget.hasRepeat(this.#options.service.name),
				firstLimit: engine.firstLimit,
				gapLimit: engine.gapLimit,
				onEvent: (event, gap) => {
					this.#delivered(event, gap, engine);
				},
				onOutcome: resolve,
			});
		});
	}

	#delivered(event: number | undefined, gap: number, engine: ChosenEngine): void {
		this.#lastEvent = event ?? this.#lastEvent;
		this.#life.beginStreaming();
		if (this.#firstEventAt === undefined) {
			this.#firstEventAt = performance.now();
		}

		engine.observeEvent(gap);
	}

	#settle(outcome: AnswerOutcome, engine: ChosenEngine): void {
		match(outcome)
			.with({kind: 'complete'}, ({status}) => {
				this.#sent += 1;
				this.#finish('answered', status);
			})
			.with({kind: 'unreachable'}, ({reason}) => {
				this.#didNotRun();
				this.#unsent += 1;
				this.#avoid(engine);
				if (this.#unsent >= maximumUnsent) {
					this.#turnAway('3005', `no engine could be reached: ${reason}`, rejectedRetry);
				}
			})
			.with({kind: 'misdirected'}, () => {
				this.#didNotRun();
				this.#unsent += 1;
				this.#excluded.add(engine.record.id);
				engine.misdirected();
				if (this.#unsent >= maximumUnsent) {
					this.#turnAway('3005', 'engines are gone from their addresses', rejectedRetry);
				}
			})
			.with({kind: 'rejected'}, ({faultyEngine}) => {
				this.#didNotRun();
				this.#sent += 1;
				this.#excluded.add(engine.record.id);
				engine.rejected(faultyEngine);
				this.#repeatOr(() => {
					this.#turnAway('3002', `engine "${engine.record.id}" did not take the request`, rejectedRetry);
				});
			})
			.with({kind: 'failure'}, ({deliver}) => {
				this.#sent += 1;
				this.#excluded.add(engine.record.id);
				this.#repeatOr(() => {
					this.#finish('engine-failure', deliver());
				});
			})
			.with({kind: 'broken'}, {kind: 'stalled'}, ({kind, reason}) => {
				this.#sent += 1;
				this.#avoid(engine);
				this.#repeatOr(() => {
					this.#fail(kind === 'stalled' ? '4004' : '4003', reason);
				});
			})
			.exhaustive();
	}

	#didNotRun(): void {
		this.#life.attemptDidNotRun();
		this.#life.wait();
	}

	/** Lets the next attempt begin, or ends the request where none is allowed. */
	#repeatOr(end: () => void): void {
		const {budget, service, metrics} = this.#options;
		if (this.#mayRepeat && budget.tryRepeat(service.name)) {
			metrics.repeated(service.name);
			this.#life.wait();
			return;
		}

		end();
	}

	#avoid(engine: ChosenEngine): void {
		this.#excluded.add(engine.record.id);
		engine.failed();
	}

	/** Refuses a request that has not run, or fails one that may have. */
	#turnAway(code: ErrorCode, reason: string, retryAfter: number): void {
		if (this.#life.ran !== 'no') {
			this.#fail('4003', reason);
			return;
		}

		const status = this.#options.answer.refuse(code, reason, 'no', Math.min(retryAfter, this.#life.remaining / 3));
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

		if (this.#current && !this.#current.maySend) {
			this.#life.attemptDidNotRun();
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
		this.#current?.abort();
		const {route, service, customer, log, metrics, arrivedAt, version, facts} = this.#options;
		const now = performance.now();
		const firstEvent = this.#firstEventAt === undefined ? undefined : this.#firstEventAt - arrivedAt;
		const isFailure = outcome !== 'answered' && outcome !== 'caller-left';
		metrics.ended({
			route: route.name, service: service.name, outcome, duration: now - arrivedAt, firstEvent, promptTokens: facts.promptTokens,
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
