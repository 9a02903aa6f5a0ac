/**
 * Admission of callers' requests: finds the route and the customer, receives the body and forwards the request to an engine.
 *
 * @module
 */
import type http from 'node:http';
import {performance} from 'node:perf_hooks';
import {onceClosed} from '../entry/connection-end.js';
import {errorCatalogue} from '../errors/catalogue.js';
import {errorMessage} from '../errors/errors.js';
import type {MemoryBudget} from '../memory/memory-budget.js';
import {CallerRequestFingerprints} from '../quarantine/request-fingerprint.js';
import {RequestGuard} from '../quarantine/request-guard.js';
import type {RequestQuarantine} from '../quarantine/request-quarantine.js';
import {delay} from '../request/time-limit.js';
import type {EventLog} from '../telemetry/log.js';
import type {AnswerDurations} from './answer-durations.js';
import {CallerConnections} from './caller-connections.js';
import {CallerResponse} from './caller-response.js';
import type {EngineChooser} from './engine-chooser.js';
import type {StreamNumbering} from './event-order.js';
import {ForwardedRequest} from './forwarded-request.js';
import {describeInvalidRequestHead} from './header-fields.js';
import type {
	CustomerKeys, RequestHeaderValues, RequestProtocol, Route, Service,
} from './model.js';
import {describeUnfitBody, type Rejection, RequestBody} from './request-body.js';
import type {RetryBudget} from './retry-budget.js';
import type {RouteTable} from './route-table.js';
import type {CutReason, ServingMetrics} from './serving-metrics.js';
import {type ServingState, shutdownReason} from './shutdown.js';

/** Options of an `Admission`. */
export type AdmissionOptions = {
	/** Routes of the active configuration; undefined until one has been received. */
	routes: () => RouteTable | undefined;
	state: () => ServingState;
	/** Time in milliseconds until requests are abandoned; infinite unless this instance is shutting down. */
	timeUntilAbandoned: () => number;
	protocol: RequestProtocol;
	chooser: EngineChooser;
	answerDurations: AnswerDurations;
	numbering: StreamNumbering;
	retryBudget: RetryBudget;
	quarantine: RequestQuarantine;
	/** Bounds what this instance keeps for others. */
	memory: MemoryBudget;
	metrics: ServingMetrics;
	log: EventLog;
	/** @default Math.random */
	random?: () => number;
};

/** A request that may be forwarded, with what the active configuration says about it. */
type AdmittedRequest = {
	routes: RouteTable;
	route: Route;
	service: Service;
	customer: CustomerKeys | undefined;
};

/** A request whose head was received. */
type ReceivedHead = {
	request: http.IncomingMessage;
	/** Undefined if it has none. */
	body: RequestBody | undefined;
	/** In the memory budget. */
	owner: string;
	headerValues: RequestHeaderValues;
	arrivedAt: number;
};

/** How many requests the end of this process has ended that were passed on, and how many of them it had accepted during its shutdown. */
export type AbandonedRequests = {abandoned: number; acceptedInStop: number};

/** A response that has not closed. */
type OpenResponse = {readonly response: http.ServerResponse; requestId: string | undefined};

/** Time in milliseconds in which the answers to abandoned requests are sent. */
const transmissionTime = 20;

const shuttingDown: Rejection = {code: '3006', reason: shutdownReason};

const noMemory: Rejection = {code: '3002', reason: 'this instance has no memory for more requests'};

/** Owner in the memory budget of what requests without a customer keep. */
const anonymousOwner = 'anonymous';

/** Admits or rejects the requests of callers. */
export class Admission {
	readonly #options: AdmissionOptions;
	readonly #random: () => number;
	readonly #connections = new CallerConnections();
	/** Requests that were passed on and have not ended, with the state of this instance at their acceptance. */
	readonly #forwardedRequests = new Map<ForwardedRequest, ServingState>();
	/** Functions that reject the requests whose bodies have not been received. */
	readonly #bodyRejections = new Set<(rejection: Rejection) => void>();
	readonly #openResponses = new Set<OpenResponse>();

	constructor(options: AdmissionOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
	}

	/** Number of requests in flight, up to the close of their responses. */
	get activeRequestCount(): number {
		return this.#openResponses.size;
	}

	/** Ends all requests, because this process is about to end. Resolves when answers have been sent. */
	async abandonRequests(): Promise<AbandonedRequests> {
		const isAnswering = this.#openResponses.size > 0;
		for (const rejectBody of this.#bodyRejections) {
			rejectBody(shuttingDown);
		}

		const abandoned = [...this.#forwardedRequests];
		for (const [request] of abandoned) {
			request.abandon();
		}

		await delay(isAnswering ? transmissionTime : 0);
		for (const open of this.#openResponses) {
			this.#openResponses.delete(open);
			this.#reportIfCut(open, 'stopped');
		}

		return {abandoned: abandoned.length, acceptedInStop: abandoned.filter(([, state]) => state !== 'serving').length};
	}

	/** Handles one request until its response has ended. @param hasMemory - Whether there is memory for it; it is refused otherwise. */
	async handle(request: http.IncomingMessage, response: http.ServerResponse, hasMemory = true): Promise<void> {
		if (!this.#connections.accept(request)) {
			request.resume();
			return;
		}

		const arrivedAt = performance.now();
		const open: OpenResponse = {response, requestId: undefined};
		this.#openResponses.add(open);
		const closing = new AbortController();
		onceClosed(request, response, () => {
			if (this.#openResponses.delete(open)) {
				this.#reportIfCut(open, 'closed');
			}

			closing.abort();
		});
		let answer: CallerResponse | undefined;
		let body: RequestBody | undefined;
		let owner = anonymousOwner;
		try {
			const headerValues = this.#options.protocol.parseRequestHeaders(request.headers);
			const {requestId} = headerValues;
			open.requestId = requestId;
			answer = new CallerResponse(response, requestId, () => this.#connections.closesAfter(request, this.#options.state() !== 'serving'), () => {
				this.#connections.recordCut(request);
			}, {memory: this.#options.memory, owner: () => owner});
			const admission = hasMemory ? this.#admit(request, headerValues) : noMemory;
			if ('code' in admission) {
				this.#reject(answer, headerValues, request, admission);
				return;
			}

			owner = admission.customer?.name ?? anonymousOwner;

			const earlierStreamsSent = this.#connections.addResponse(request, response, admission.route.kind === 'stream');
			body = hasBody(request) ? new RequestBody(this.#options.memory, owner) : undefined;
			const content = await this.#readBody({
				request, body, owner, headerValues, arrivedAt,
			}, admission);
			if (content !== undefined && 'code' in content) {
				this.#reject(answer, headerValues, request, content);
				return;
			}

			// A body may arrive long after its head.
			if (body !== undefined && this.#options.state() === 'closing') {
				this.#reject(answer, headerValues, request, shuttingDown);
				return;
			}

			await this.#forward({
				request, response, answer, headerValues, arrivedAt, earlierStreamsSent, closed: closing.signal, body,
			}, admission, content);
		} catch (error) {
			this.#options.log.error('request.unexpected', {request: open.requestId, reason: errorMessage(error)});
			(answer ?? response).destroy();
		} finally {
			body?.release();
		}
	}

	/** Reports a response that is complete but that the kernel has not taken as a whole. */
	#reportIfCut({response, requestId}: OpenResponse, reason: CutReason): void {
		if (response.writableEnded && !response.writableFinished) {
			const {log, metrics, state} = this.#options;
			metrics.recordCut(reason);
			log[state() === 'serving' ? 'info' : 'warn']('response.cut', {
				request: requestId, status: response.statusCode, unsent_bytes: response.writableLength, reason,
			});
		}
	}

	#admit(request: http.IncomingMessage, headerValues: RequestHeaderValues): AdmittedRequest | Rejection {
		const defect = describeInvalidRequestHead(request.url ?? '', request.rawHeaders);
		if (defect !== undefined) {
			// What follows on the connection may be smuggled.
			this.#connections.closeAfterResponses(request);
			return {code: '1013', reason: defect};
		}

		const routes = this.#options.routes();
		if (!routes) {
			return {code: '5008', reason: 'no configuration has been received yet'};
		}

		if (this.#options.state() === 'closing') {
			return shuttingDown;
		}

		const route = routes.findRoute(request.headers.host ?? '', request.url ?? '');
		if (!route) {
			return {code: '1008', reason: `no route for host "${request.headers.host ?? ''}" and path "${request.url ?? ''}"`};
		}

		const customer = headerValues.apiKey === undefined ? undefined : routes.findCustomer(headerValues.apiKey);
		if (routes.requiresApiKeys && !customer && !route.allowsAnonymous) {
			return {code: '2001', reason: headerValues.apiKey === undefined ? 'the request has no API key' : 'the API key belongs to no customer'};
		}

		const service = routes.selectService(route, this.#random());
		if (!service) {
			return {code: '3005', reason: `no service is configured for route "${route.name}"`};
		}

		return {
			routes, route, service, customer,
		};
	}

	/** Receives the whole body. @returns undefined if the request has none. */
	async #readBody({request, body, owner, headerValues, arrivedAt}: ReceivedHead, {routes, route}: AdmittedRequest): Promise<Uint8Array | undefined | Rejection> {
		if (body === undefined) {
			request.resume();
			return undefined;
		}

		const {maximumBodyBytes} = routes.configuration.limits;
		const announced = announcedLength(request) ?? 0;
		if (announced > maximumBodyBytes) {
			return {code: '1003', reason: `body of ${announced} bytes exceeds the limit of ${maximumBodyBytes} bytes`};
		}

		return describeUnfitBody(this.#options.memory, owner, announced) ?? body.receive(request, {
			maximumBytes: maximumBodyBytes,
			timeout: Math.min(route.timeout, headerValues.timeout ?? route.timeout) - (performance.now() - arrivedAt),
		}, this.#bodyRejections);
	}

	async #forward(
		{request, response, answer, headerValues, arrivedAt, earlierStreamsSent, closed, body}: {
			request: http.IncomingMessage; response: http.ServerResponse; answer: CallerResponse; headerValues: RequestHeaderValues; arrivedAt: number;
			earlierStreamsSent: Promise<void> | undefined; closed: AbortSignal; body: RequestBody | undefined;
		},
		{routes, route, service, customer}: AdmittedRequest,
		content: Uint8Array | undefined,
	): Promise<void> {
		const {timeUntilAbandoned, protocol, chooser, answerDurations, numbering, retryBudget, quarantine, memory, metrics, log} = this.#options;
		const path = request.url ?? '/';
		const fingerprints = new CallerRequestFingerprints({
			path, customer: customer?.name, body: content, headerValues,
		});
		const startSignal = earlierStreamsSent?.then(() => {
			if (this.#options.state() === 'closing') {
				current?.abandon();
			}
		});
		// Listeners that outlive the request keep neither it nor its body.
		let current: ForwardedRequest | undefined;
		const forwarded = new ForwardedRequest({
			method: request.method ?? 'GET',
			path,
			rawHeaders: request.rawHeaders,
			body: content,
			headerValues,
			route,
			service,
			customer,
			arrivedAt,
			timeUntilAbandoned,
			startSignal,
			callerResponse: answer,
			protocol,
			chooser,
			answerDurations,
			numbering,
			retryBudget,
			memory,
			fingerprints,
			guard: new RequestGuard(quarantine, fingerprints),
			metrics,
			log,
			configurationVersion: routes.version,
			onPassOn() {
				body?.pin();
			},
		});
		current = forwarded;
		closed.addEventListener('abort', () => {
			if (this.#connections.isCut(request)) {
				current?.loseConnection();
			} else if (!response.writableFinished) {
				current?.cancel();
			}
		});
		if (closed.aborted) {
			answer.markCallerGone();
			return;
		}

		this.#forwardedRequests.set(forwarded, this.#options.state());
		body?.onGiveUp(({reason}) => {
			current?.giveUp({code: '3002', reason, retryAfter: errorCatalogue[3002].retryAfter!}, {code: '4003', reason});
		});
		try {
			await forwarded.run();
		} finally {
			current = undefined;
			this.#forwardedRequests.delete(forwarded);
		}
	}

	#reject(answer: CallerResponse, {requestId}: RequestHeaderValues, request: http.IncomingMessage, {code, reason}: Rejection): void {
		const {retryAfter} = errorCatalogue[code];
		if (code === '1003') {
			this.#connections.closeAfterResponses(request);
		}

		const status = answer.sendError(code, reason, 'no', retryAfter);
		this.#options.metrics.recordRejection(code);
		this.#options.log.warn('request.rejected', {
			request: requestId, code, status, reason, version: this.#options.routes()?.version, retry_after: retryAfter,
		});
		// The unread rest of a body is discarded, so that it is not parsed as the next request.
		if (request.complete) {
			return;
		}

		request.resume();
	}
}

function hasBody({headers}: http.IncomingMessage): boolean {
	return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

function announcedLength({headers}: http.IncomingMessage): number | undefined {
	return headers['content-length'] === undefined ? undefined : Number(headers['content-length']);
}
