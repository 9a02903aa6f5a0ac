/**
 * Admits callers' requests: finds the route and the customer, takes the body in and sends the request on its way.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {performance} from 'node:perf_hooks';
import {errorCatalogue, type ErrorCode} from '../errors/catalogue.js';
import {errorMessage} from '../errors/errors.js';
import type {EventLog} from '../telemetry/log.js';
import {CallerResponse} from './caller-response.js';
import type {EngineChooser} from './engine-chooser.js';
import {ForwardedRequest} from './forwarded-request.js';
import type {
	CustomerKeys, RequestHeaderValues, RequestProtocol, Route, Service,
} from './model.js';
import type {RetryBudget} from './retry-budget.js';
import type {RouteTable} from './route-table.js';
import type {ServingMetrics} from './serving-metrics.js';

/** Whether an instance takes new work. */
export type ServingState = 'serving' | 'leaving' | 'closing';

/** What admission works with. */
export type AdmissionOptions = {
	/** Configuration in force; undefined while none is known. */
	routes: () => RouteTable | undefined;
	state: () => ServingState;
	protocol: RequestProtocol;
	chooser: EngineChooser;
	retryBudget: RetryBudget;
	metrics: ServingMetrics;
	log: EventLog;
	/** @default Math.random */
	random?: () => number;
};

/** A request that may be sent on. */
type AdmittedRequest = {
	routes: RouteTable;
	route: Route;
	service: Service;
	customer: CustomerKeys | undefined;
};

type Rejection = {code: ErrorCode; reason: string};

/** The way in for callers' requests. */
export class Admission {
	readonly #options: AdmissionOptions;
	readonly #random: () => number;
	#activeRequestCount = 0;

	constructor(options: AdmissionOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
	}

	/** Requests that are not over. */
	get activeRequestCount(): number {
		return this.#activeRequestCount;
	}

	/** Serves one request. */
	async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const arrivedAt = performance.now();
		this.#activeRequestCount += 1;
		response.once('close', () => {
			this.#activeRequestCount -= 1;
		});
		const facts = this.#options.protocol.parseRequestHeaders(request.headers);
		const answer = new CallerResponse(response, facts.requestId, () => this.#options.state() !== 'serving');
		try {
			const admitted = this.#admit(request, facts);
			if ('code' in admitted) {
				this.#reject(answer, facts, request, admitted);
				return;
			}

			const body = await this.#readBody(request, admitted, facts, arrivedAt);
			if (body !== undefined && 'code' in body) {
				this.#reject(answer, facts, request, body);
				return;
			}

			await this.#forward({
				request, response, answer, facts, arrivedAt,
			}, admitted, body);
		} catch (error) {
			this.#options.log.error('request.unexpected', {request: facts.requestId, reason: errorMessage(error)});
			answer.destroy();
		}
	}

	#admit(request: http.IncomingMessage, facts: RequestHeaderValues): AdmittedRequest | Rejection {
		const routes = this.#options.routes();
		if (!routes) {
			return {code: '5008', reason: 'no configuration is known yet'};
		}

		if (this.#options.state() === 'closing') {
			return {code: '3006', reason: 'this instance is about to stop'};
		}

		const route = routes.findRoute(request.headers.host ?? '', request.url ?? '');
		if (!route) {
			return {code: '1008', reason: `no route for host "${request.headers.host ?? ''}" and path "${request.url ?? ''}"`};
		}

		const customer = facts.apiKey === undefined ? undefined : routes.findCustomer(facts.apiKey);
		if (routes.requiresApiKeys && !customer && !route.allowsAnonymous) {
			return {code: '2001', reason: facts.apiKey === undefined ? 'the request has no key' : 'no customer holds the key'};
		}

		const service = routes.selectService(route, this.#random());
		if (!service) {
			return {code: '3005', reason: `no service is declared for route "${route.name}"`};
		}

		return {
			routes, route, service, customer,
		};
	}

	/** The whole body; undefined where there is none. */
	async #readBody(request: http.IncomingMessage, {routes, route}: AdmittedRequest, facts: RequestHeaderValues, arrivedAt: number): Promise<Uint8Array | undefined | Rejection> {
		const {maximumBodyBytes} = routes.configuration.limits;
		if (Number(request.headers['content-length'] ?? 0) > maximumBodyBytes) {
			return {code: '1003', reason: `body of ${request.headers['content-length']} bytes, allowed are ${maximumBodyBytes}`};
		}

		const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined;
		if (!hasBody) {
			request.resume();
			return undefined;
		}

		const timeout = Math.min(route.timeout, facts.timeout ?? route.timeout) - (performance.now() - arrivedAt);
		return new Promise(resolve => {
			const chunks: Uint8Array[] = [];
			let size = 0;
			const timer = setTimeout(() => {
				resolve({code: '1012', reason: 'the body did not come in time'});
			}, Math.max(0, timeout));
			request.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
				size += chunk.length;
				if (size > maximumBodyBytes) {
					clearTimeout(timer);
					resolve({code: '1003', reason: `body of over ${maximumBodyBytes} bytes`});
				}
			});
			request.once('end', () => {
				clearTimeout(timer);
				resolve(Buffer.concat(chunks));
			});
			request.once('error', error => {
				clearTimeout(timer);
				resolve({code: '1012', reason: `the body broke off: ${error.message}`});
			});
		});
	}

	async #forward(
		{request, response, answer, facts, arrivedAt}: {
			request: http.IncomingMessage; response: http.ServerResponse; answer: CallerResponse; facts: RequestHeaderValues; arrivedAt: number;
		},
		{routes, route, service, customer}: AdmittedRequest,
		body: Uint8Array | undefined,
	): Promise<void> {
		const {protocol, chooser, retryBudget: budget, metrics, log} = this.#options;
		const forwarded = new ForwardedRequest({
			method: request.method ?? 'GET',
			path: request.url ?? '/',
			rawHeaders: request.rawHeaders,
			body,
			headerValues: facts,
			route,
			service,
			customer,
			arrivedAt,
			callerResponse: answer,
			protocol,
			chooser,
			retryBudget: budget,
			metrics,
			log,
			configurationVersion: routes.version,
		});
		response.once('close', () => {
			if (!response.writableFinished) {
				forwarded.cancel();
			}
		});
		if (response.destroyed || request.socket.destroyed) {
			answer.markCallerGone();
			return;
		}

		await forwarded.run();
	}

	#reject(answer: CallerResponse, {requestId}: RequestHeaderValues, request: http.IncomingMessage, {code, reason}: Rejection): void {
		const {retryAfter} = errorCatalogue[code];
		const status = answer.sendError(code, reason, 'no', retryAfter);
		this.#options.metrics.recordRejection(code);
		this.#options.log.warn('request.rejected', {
			request: requestId, code, status, reason, version: this.#options.routes()?.version, retry_after: retryAfter,
		});
		// The rest of a body that nobody reads must not be taken for a next request.
		if (request.complete) {
			return;
		}

		request.resume();
	}
}
