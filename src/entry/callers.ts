/**
 * The callers' port: chat completions, the model list and calls of plain services.
 *
 * @module
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {randomUUID} from 'node:crypto';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import type {HttpBindings} from '@hono/node-server';
import {type Context, Hono} from 'hono';
import type {Configuration, Customer, RequestClass} from '../configuration/model.js';
import {CarobquayError, toCarobquayError} from '../errors/errors.js';
import type {RequestObserver} from '../ledger/observer.js';
import {
	RequestLifecycle, type RequestOutcome, type RequestState, type RequestMetadata,
} from '../request/request-lifecycle.js';
import type {PromptReader} from '../request/prompt-reader.js';
import type {PromptSummary} from '../request/prompt.js';
import type {RequestRunner} from '../request/request-runner.js';
import type {ServiceCall} from '../request/service-runner.js';
import {TimeLimit} from '../request/time-limit.js';
import type {EventLog} from '../telemetry/log.js';
import type {RequestMetrics} from '../telemetry/request-metrics.js';
import type {KeyRing} from './authentication.js';
import {receiveBody, type BodyLimits, type ReceivedBody} from './body.js';
import {onceClosed} from './connection-end.js';
import {StreamedChatAnswer, WholeChatAnswer, type ChatAnswer} from './chat-answer.js';
import type {DeferredCallers} from './deferred-callers.js';
import {errorBody, errorHeaders} from './error-response.js';
import {headerNames, readCallerOptions, type CallerOptions} from './headers.js';
import {
	promptFacts, serviceFacts, serviceMethod, servicePath,
} from './facts.js';
import type {RequestGate} from './request-gate.js';
import {ResponseWriter} from './response-writer.js';
import {TimedAnswer} from './timed-answer.js';

/** What is in force when a request arrives. */
export type InForce = {configuration: Configuration; keys: KeyRing};

/** What the callers' port works with. */
export type CallersOptions = {
	/** @throws {CarobquayError} 3005 where no configuration is known yet. */
	inForce: () => InForce;
	reader: PromptReader;
	requests: RequestRunner;
	gate: RequestGate;
	limits: BodyLimits;
	log: EventLog;
	metrics: RequestMetrics;
	/** Told of what is promised and how it ends. */
	observer: RequestObserver;
	/** Takes the prompts of deferred classes. */
	deferred: DeferredCallers;
};

/** Environment of the callers' routes. */
export type CallerEnvironment = {Bindings: HttpBindings};

type CallerContext = Context<CallerEnvironment>;

/** One request of a customer, before its body is read. */
type Arrival = {
	requestId: string;
	arrivedAt: number;
	customer: Customer;
	options: CallerOptions;
	configuration: Configuration;
	incoming: IncomingMessage;
	outgoing: ServerResponse;
};

/** Builds the application of the callers' port. */
export function callersApplication(options: CallersOptions): Hono<CallerEnvironment> {
	const application = new Hono<CallerEnvironment>();
	const handlers = new CallerHandlers(options);
	application.post('/v1/chat/completions', async context => handlers.handle(context, async arrival => handlers.chat(arrival)));
	application.get('/v1/models', async context => handlers.handle(context, async arrival => handlers.models(arrival)));
	application.get('/v1/requests/:id', async context => handlers.handle(context, async arrival => handlers.fetchDeferred(arrival, context)));
	application.all('/v1/services/:pool/*', async context => handlers.handle(context, async arrival => handlers.service(arrival, context)));
	application.notFound(context => {
		const error = new CarobquayError('1008', {message: `no route ${context.req.method} ${context.req.path} on the callers' port`});
		return context.body(errorBody(error, undefined), 404, errorHeaders(error, undefined));
	});
	return application;
}

/** Handles the requests of callers. */
class CallerHandlers {
	readonly #options: CallersOptions;

	constructor(options: CallersOptions) {
		this.#options = options;
	}

	/** Authenticates, counts the request in, runs it, and reports what fails before an answer begins. */
	async handle(context: CallerContext, run: (arrival: Arrival) => Promise<void>): Promise<Response> {
		const {incoming, outgoing} = context.env;
		const requestId = randomUUID();
		try {
			const leave = this.#options.gate.enter();
			// A shutdown waits until the answer has left the process, as long as the caller reads it.
			onceClosed(incoming, outgoing, leave);
			try {
				await run(this.#arrive(requestId, incoming, outgoing));
			} finally {
				outgoing.setTimeout(this.#options.limits.silence, () => {
					outgoing.destroy();
				});
			}
		} catch (error) {
			this.#reject(requestId, outgoing, toCarobquayError(error, 'no'));
		}

		return RESPONSE_ALREADY_SENT;
	}

	async models({configuration, outgoing}: Arrival): Promise<void> {
		const models = new Set([...configuration.pools.values()].flatMap(pool => pool.models));
		const data = [...models].toSorted().map(id => ({
			id, object: 'model', created: 0, owned_by: 'carobquay',
		}));
		outgoing.writeHead(200, {'content-type': 'application/json'});
		outgoing.end(JSON.stringify({object: 'list', data}));
	}

	async chat(arrival: Arrival): Promise<void> {
		const requestClass = this.#classOf(arrival);
		const {body, summary} = await this.#receivePrompt(arrival);
		try {
			this.#checkModel(arrival, summary.model);
			if (requestClass.deferred) {
				await this.#defer(arrival, requestClass, body);
				return;
			}

			const life = this.#begin(arrival, requestClass);
			const answer = new TimedAnswer(chatAnswer(arrival, summary, this.#options.limits.silence), () => {
				this.#options.metrics.recordTimeToFirstToken(requestClass.name, performance.now() - arrival.arrivedAt);
			});
			const content = ['chat', ...body.chunks];
			await this.#runToEnd({arrival, life, fail: async error => answer.fail(error)}, async signals => {
				await this.#options.requests.runPrompt({life, content, ...signals}, {body: body.chunks, facts: promptFacts(life, summary)}, answer);
			});
		} finally {
			body.free();
		}
	}

	/** Answers with a deferred request as it stands. */
	async fetchDeferred({customer, outgoing}: Arrival, context: CallerContext): Promise<void> {
		await this.#options.deferred.fetch(context.req.param('id') ?? '', customer.name, outgoing);
	}

	async service(arrival: Arrival, context: CallerContext): Promise<void> {
		const pool = context.req.param('pool') ?? '';
		const requestClass = this.#classOf(arrival);
		this.#checkService(arrival, pool);
		const body = await receiveBody(arrival.incoming, this.#options.limits, () => undefined, this.#options.gate.expired);
		try {
			const life = this.#begin(arrival, requestClass);
			const fail = async (error: CarobquayError) => {
				sendError(arrival.outgoing, error, arrival.requestId);
			};

			const call: ServiceCall['call'] = {
				method: serviceMethod(context.req.method),
				path: servicePath(context.req.url, pool),
				contentType: arrival.incoming.headers['content-type'],
				body: body.chunks,
			};
			const content = [call.method, pool, call.path, ...body.chunks];
			await this.#runToEnd({arrival, life, fail}, async signals => {
				const answer = await this.#options.requests.callService({life, content, ...signals}, {call, facts: serviceFacts(life, pool)});
				arrival.outgoing.writeHead(answer.status, {
					...(answer.contentType !== undefined && {'content-type': answer.contentType}),
					'content-length': answer.body.byteLength,
					[headerNames.requestId]: arrival.requestId,
					[headerNames.ran]: 'yes',
				});
				arrival.outgoing.end(answer.body);
			});
		} finally {
			body.free();
		}
	}

	#arrive(requestId: string, incoming: IncomingMessage, outgoing: ServerResponse): Arrival {
		const {configuration, keys} = this.#options.inForce();
		return {
			requestId,
			arrivedAt: performance.now(),
			customer: keys.authenticate(incoming.headers.authorization),
			options: readCallerOptions(incoming.headers),
			configuration,
			incoming,
			outgoing,
		};
	}

	/** The class that the caller names, or the first one that the customer may use. */
	#classOf({configuration, customer, options}: Arrival): RequestClass {
		const name = options.requestClass ?? customer.classes[0] ?? [...configuration.classes.keys()][0];
		const requestClass = name === undefined ? undefined : configuration.classes.get(name);
		if (requestClass === undefined) {
			throw new CarobquayError('1005', {message: `class "${name ?? ''}" is not declared; known are: ${[...configuration.classes.keys()].join(', ')}`});
		}

		if (customer.classes.length > 0 && !customer.classes.includes(requestClass.name)) {
			throw new CarobquayError('2003', {message: `customer "${customer.name}" may not use class "${requestClass.name}"`});
		}

		return requestClass;
	}

	async #receivePrompt(arrival: Arrival): Promise<{body: ReceivedBody; summary: PromptSummary}> {
		const reading = this.#options.reader.begin();
		let body: ReceivedBody | undefined;
		try {
			body = await receiveBody(arrival.incoming, this.#options.limits, chunk => {
				reading.push(chunk);
			}, this.#options.gate.expired);
			return {body, summary: await reading.finish()};
		} catch (error) {
			reading.abandon();
			body?.free();
			throw error;
		}
	}

	#checkModel({configuration}: Arrival, model: string): void {
		if (![...configuration.pools.values()].some(pool => pool.models.includes(model))) {
			throw new CarobquayError('1004', {message: `model "${model}" is served by no pool`});
		}
	}

	#checkService({configuration}: Arrival, pool: string): void {
		if (configuration.pools.get(pool)?.kind !== 'service') {
			throw new CarobquayError('1009', {message: `"${pool}" is not a declared service pool`});
		}
	}

	#begin(arrival: Arrival, requestClass: RequestClass): RequestLifecycle {
		const terms = this.#termsOf(arrival, requestClass);
		return new RequestLifecycle(terms, (from, to) => {
			this.#logTransition(terms, from, to);
			if (to === 'admitted') {
				this.#options.observer.admitted(terms, false);
			}
		});
	}

	/** Accepts a prompt durably, to be run by whichever instance lives. */
	async #defer(arrival: Arrival, requestClass: RequestClass, body: ReceivedBody): Promise<void> {
		const terms = this.#termsOf(arrival, requestClass);
		await this.#options.deferred.accept(terms, {time: terms.deadlineAt - performance.now(), body: body.chunks, outgoing: arrival.outgoing});
	}

	#termsOf({requestId, customer, options, arrivedAt}: Arrival, requestClass: RequestClass): RequestMetadata {
		return {
			requestId,
			customer: customer.name,
			requestClass: requestClass.name,
			deadlineAt: arrivedAt + Math.min(options.deadline ?? requestClass.deadline, requestClass.deadline),
			nonIdempotent: options.nonIdempotent || requestClass.nonIdempotent,
			idempotencyKey: options.idempotencyKey,
		};
	}

	#logTransition({requestId}: RequestMetadata, from: RequestState, to: RequestState): void {
		this.#options.log.debug('request.state', {request: requestId, from, to});
	}

	/** Runs a request under its deadline and its caller's presence, and accounts for its end. */
	async #runToEnd(
		{arrival, life, fail}: {arrival: Arrival; life: RequestLifecycle; fail: (error: CarobquayError) => Promise<void>},
		run: (signals: {deadline: AbortSignal; callerLeft: AbortSignal}) => Promise<void>,
	): Promise<void> {
		const limit = new TimeLimit(life.timeRemaining, `request ${arrival.requestId} did not end within its deadline`);
		const caller = new AbortController();
		const shutdown = new AbortController();
		const onExpiry = () => {
			shutdown.abort(new CarobquayError(life.ran === 'no' ? '3006' : '4001', {message: 'this instance shut down before the request ended'}));
		};

		const {expired} = this.#options.gate;
		if (expired.aborted) {
			onExpiry();
		}

		expired.addEventListener('abort', onExpiry, {once: true});
		const onClose = () => {
			if (!arrival.outgoing.writableFinished) {
				caller.abort(new CarobquayError('4009', {message: 'the caller left before the answer ended'}));
			}
		};

		arrival.outgoing.once('close', onClose);
		let failure: CarobquayError | undefined;
		try {
			await run({deadline: AbortSignal.any([limit.signal, shutdown.signal]), callerLeft: caller.signal});
		} catch (error) {
			failure = toCarobquayError(error, life.ran);
			await fail(failure);
		} finally {
			limit.clear();
			expired.removeEventListener('abort', onExpiry);
			arrival.outgoing.off('close', onClose);
			this.#account(arrival, life, failure);
		}
	}

	#account(arrival: Arrival, life: RequestLifecycle, failure: CarobquayError | undefined): void {
		const milliseconds = performance.now() - arrival.arrivedAt;
		const {customer, requestClass} = life.metadata;
		this.#options.metrics.recordRequestEnd({
			customer, requestClass, code: failure?.code ?? '0', duration: milliseconds,
		});
		this.#options.observer.ended(life.metadata, {
			outcome: outcomeOf(failure), code: failure?.code, ran: failure === undefined ? 'yes' : failure.ran, attempts: life.attempt,
		});
		this.#options.log.info('request.ended', {
			request: arrival.requestId,
			customer,
			class: requestClass,
			outcome: failure?.entry.name ?? 'answered',
			code: failure?.code,
			ran: life.ran,
			attempts: life.attempt,
			tokens: life.nextOffset,
			milliseconds: Math.round(milliseconds),
			reason: failure?.message,
		});
	}

	/** Reports a request that failed before it had a life of its own. */
	#reject(requestId: string, outgoing: ServerResponse, error: CarobquayError): void {
		this.#options.metrics.recordRejection(error.code);
		this.#options.log.info('request.rejected', {request: requestId, code: error.code, reason: error.message});
		sendError(outgoing, error, requestId);
	}
}

function outcomeOf(failure: CarobquayError | undefined): RequestOutcome {
	if (failure === undefined) {
		return 'answered';
	}

	return failure.code === '4009' ? 'caller-left' : 'failed';
}

function sendError(outgoing: ServerResponse, error: CarobquayError, requestId: string): void {
	if (outgoing.headersSent || outgoing.destroyed) {
		outgoing.destroy();
		return;
	}

	// The rest of a body that was refused is not read: the connection cannot be used again.
	outgoing.writeHead(error.entry.status, {...errorHeaders(error, requestId), ...(outgoing.req.complete ? {} : {connection: 'close'})});
	outgoing.end(errorBody(error, requestId));
}

function chatAnswer({outgoing, requestId}: Arrival, {model, stream, includeUsage}: PromptSummary, silence: number): ChatAnswer {
	const context = {requestId, model, includeUsage};
	return stream ? new StreamedChatAnswer(outgoing, new ResponseWriter(outgoing, silence), context) : new WholeChatAnswer(outgoing, context);
}
