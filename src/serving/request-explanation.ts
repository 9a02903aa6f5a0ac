/**
 * `GET /explain`: where a request that an operator describes would go now, and why.
 *
 * @module
 */
import {errorCatalogue} from '../errors/catalogue.js';
import {CarobquayError} from '../errors/errors.js';
import type {ExplainedEngine} from '../placement/placement-explanation.js';
import {
	type ChoiceExplanation, type ChoiceSources, explainChoice, type ExplainedDecision,
} from './choice-explanation.js';
import type {
	CustomerKeys, PromptPart, Route, Service,
} from './model.js';
import type {RouteTable} from './route-table.js';
import type {ServingState} from './shutdown.js';

/** Options of a `RequestExplainer`. */
export type RequestExplainerOptions = ChoiceSources & {
	/** Routes of the active configuration; undefined until one has been received. */
	routes: () => RouteTable | undefined;
	state: () => ServingState;
	/** Time in milliseconds until requests are abandoned; infinite unless this instance is shutting down. */
	timeUntilAbandoned: () => number;
};

/** Parameters of the query. */
const parameterNames: ReadonlySet<string> = new Set(['host', 'path', 'customer', 'prompt_tokens', 'answer_tokens', 'prefix', 'body_bytes', 'remaining_ms', 'service', 'excluded']);

/** Largest number that is accepted, as in the headers of requests. */
const maximumNumber = 1e9;

/** The described request. */
type DescribedRequest = {
	host: string;
	path: string;
	customer: string | undefined;
	promptTokens: number | undefined;
	answerTokens: number | undefined;
	prefix: readonly PromptPart[];
	bodyBytes: number | undefined;
	remaining: number | undefined;
	service: string | undefined;
	excluded: ReadonlySet<string>;
};

/** Answers operators who describe requests. */
export class RequestExplainer {
	readonly #options: RequestExplainerOptions;

	constructor(options: RequestExplainerOptions) {
		this.#options = options;
	}

	/** @throws {CarobquayError} If the query can't be read (1002), no route or service matches (1008, 1009) or no configuration is known (5008). */
	explain(query: URLSearchParams): Record<string, unknown> {
		const request = readRequest(query);
		const routes = this.#options.routes();
		if (!routes) {
			throw new CarobquayError('5008', {message: 'no configuration has been received yet'});
		}

		const {host, path} = request;
		const route = routes.findRoute(host, path);
		if (!route) {
			throw new CarobquayError('1008', {message: `no route for host "${host}" and path "${path}"`});
		}

		const customer = findCustomer(routes, request.customer);
		const service = findService(routes, route, request.service);
		const state = this.#options.state();
		const explanation = this.#explainChoice(request, {route, customer, service});
		const decision = this.#refusalBeforeChoice(request, routes, {route, customer, state}) ?? explanation.decision;
		return {
			state, route: route.name, service: service.name, customer: customer?.name, ...describeExplanation({...explanation, decision}),
		};
	}

	#explainChoice(request: DescribedRequest, {route, customer, service}: {route: Route; customer: CustomerKeys | undefined; service: Service}): ChoiceExplanation {
		const {promptTokens, answerTokens, prefix, bodyBytes, remaining: timeout, excluded} = request;
		return explainChoice(this.#options, {
			requestId: '', service, route, customer, remaining: Math.min(route.timeout, timeout ?? route.timeout), timeUntilAbandoned: this.#options.timeUntilAbandoned(),
			bodyBytes, excluded, isIsolated: false, attempt: 1, isStreamInterrupted: false, signal: new AbortController().signal,
			headerValues: {
				requestId: undefined, timeout: timeout ?? route.timeout, apiKey: undefined, sharedPromptParts: [], leadingPromptParts: prefix, promptTokens,
				maximumAnswerTokens: answerTokens ?? 0, answerTokensHint: undefined, lastEventId: undefined,
			},
		});
	}

	/** Refusal of a request for which no engine is chosen. */
	#refusalBeforeChoice({bodyBytes = 0}: DescribedRequest, routes: RouteTable, {route, customer, state}: {
		route: Route; customer: CustomerKeys | undefined; state: ServingState;
	}): ExplainedDecision | undefined {
		if (state === 'closing') {
			return {kind: 'refuse', reason: 'shutting-down', retryAfter: errorCatalogue[3006].retryAfter};
		}

		if (routes.requiresApiKeys && !customer && !route.allowsAnonymous) {
			return {kind: 'refuse', reason: 'no-api-key', retryAfter: undefined};
		}

		return bodyBytes > routes.configuration.limits.maximumBodyBytes ? {kind: 'refuse', reason: 'body-too-large', retryAfter: undefined} : undefined;
	}
}

function invalid(name: string, expected: string, found: string): CarobquayError {
	return new CarobquayError('1002', {message: `parameter "${name}" should be ${expected}, found "${found}"`});
}

function readRequest(query: URLSearchParams): DescribedRequest {
	for (const name of query.keys()) {
		if (!parameterNames.has(name)) {
			throw new CarobquayError('1002', {message: `parameter "${name}" is not known; known are ${[...parameterNames].join(', ')}`});
		}
	}

	const text = (name: string) => query.get(name) ?? undefined;
	const requiredText = (name: string) => {
		const value = query.get(name) ?? '';
		if (value === '') {
			throw invalid(name, 'given', '');
		}

		return value;
	};

	const wholeNumber = (name: string) => {
		const value = query.get(name);
		if (value === null) {
			return undefined;
		}

		if (!/^\d{1,10}$/v.test(value) || Number(value) > maximumNumber) {
			throw invalid(name, `a whole number from 0 to ${maximumNumber}`, value);
		}

		return Number(value);
	};

	const path = requiredText('path');
	if (!path.startsWith('/')) {
		throw invalid('path', 'a path that begins with a slash', path);
	}

	return {
		host: requiredText('host'), path, customer: text('customer'), promptTokens: wholeNumber('prompt_tokens'), answerTokens: wholeNumber('answer_tokens'),
		prefix: readPrefix(query.get('prefix') ?? ''), bodyBytes: wholeNumber('body_bytes'), remaining: wholeNumber('remaining_ms'), service: text('service'),
		excluded: new Set((query.get('excluded') ?? '').split(',').filter(id => id !== '')),
	};
}

function readPrefix(text: string): PromptPart[] {
	return text === ''
		? []
		: text.split(',').map(part => {
			const [, id, tokens] = /^([^:]+):(\d{1,9})$/v.exec(part) ?? [];
			if (id === undefined) {
				throw invalid('prefix', 'a comma-separated list of ID:TOKENS', text);
			}

			return {id: id.trim().toLowerCase(), tokens: Number(tokens)};
		});
}

function findCustomer({configuration}: RouteTable, name: string | undefined): CustomerKeys | undefined {
	const customer = configuration.customers?.find(known => known.name === name);
	if (name !== undefined && customer === undefined) {
		throw invalid('customer', 'the name of a customer of the configuration', name);
	}

	return customer;
}

/** The service that the operator names, or the one that gets most requests of the route. */
function findService({configuration: {services}}: RouteTable, {name: route, targets}: Route, named: string | undefined): Service {
	if (named !== undefined && !targets.some(({service}) => service === named)) {
		throw invalid('service', `a service of route "${route}", which are ${targets.map(({service}) => service).join(', ')}`, named);
	}

	const name = named ?? targets.toSorted((one, other) => other.weight - one.weight)[0]?.service ?? '';
	const service = services.get(name);
	if (!service) {
		throw new CarobquayError('1009', {message: `service "${name}" of route "${route}" is not configured`});
	}

	return service;
}

function describeExplanation({rank, isLessUrgent, homeRegions, decision, engines}: ChoiceExplanation): Record<string, unknown> {
	return {
		rank, isLessUrgent, homeRegions, decision: describeDecision(decision), engines: engines.map(engine => describeEngine(engine)),
	};
}

function describeDecision(decision: ExplainedDecision): Record<string, unknown> {
	const {expectedLatency, abandonedAfter, sheddingLimit} = {
		expectedLatency: undefined, abandonedAfter: undefined, sheddingLimit: undefined, ...decision.times,
	};
	const times = {expected: wholeTime(expectedLatency), limit: wholeTime(lesser(abandonedAfter, sheddingLimit))};
	if (decision.kind === 'place') {
		return {
			kind: 'place', engine: decision.engine.id, prefillHelpers: decision.prefillHelpers.map(({record, reservedTokens}) => ({engine: record.id, reservedTokens})),
			alternatives: decision.alternatives.map(({id}) => id), holdTime: wholeTime(decision.holdTime), ...times,
		};
	}

	return decision.kind === 'wait'
		? {
			kind: 'wait', reason: decision.reason, longestWait: wholeTime(decision.longest), ...times,
		}
		: {
			kind: 'refuse', reason: decision.reason, retryAfter: wholeTime(decision.retryAfter), ...times,
		};
}

function describeEngine({record, obstacle, isCold, prefillBacklog, running, slowdown, savedPrefill, expectedLatency, rank}: ExplainedEngine): Record<string, unknown> {
	return {
		engine: record.id, failureDomain: record.failureDomain, isUsable: obstacle === undefined, obstacle, isCold, prefillBacklog: wholeTime(prefillBacklog), running,
		slowdown: Number(slowdown.toFixed(2)), savedPrefill: Number(savedPrefill.toFixed(1)), expected: wholeTime(expectedLatency), rank,
	};
}

function lesser(one: number | undefined, other: number | undefined): number | undefined {
	return one === undefined || other === undefined ? undefined : Math.min(one, other);
}

/** Whole milliseconds; undefined where there is no such time, which JSON can't express otherwise. */
function wholeTime(time: number | undefined): number | undefined {
	return time === undefined || !Number.isFinite(time) ? undefined : Math.round(time);
}
