/**
 * What an instance on the platform serves: routes, services, engines and customers, in the product's own words.
 *
 * All times are in milliseconds and all sizes in tokens or bytes, as the field says.
 *
 * @module
 */

/** How a request may be repeated and how its answer comes. */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A service that gets a share of a route's requests. */
export type RouteTarget = {
	service: string;
	/** Share of the requests, relative to the route's other targets. */
	weight: number;
};

/** One route of the configuration. */
export type Route = {
	name: string;
	/** Value of the Host header, in lower case. */
	host: string;
	/** Beginning of the path, from slash to slash. */
	prefix: string;
	kind: RequestKind;
	/** Whether another engine may go on with an interrupted stream. */
	isResumable: boolean;
	/** Longest time that a caller is kept waiting. */
	timeout: number;
	/** Time to the answer, or to the first event of a stream, that counts as on time. */
	latencyTarget: number;
	/** Longest pause between two events that counts as on time; undefined on routes without streams. */
	eventGapTarget: number | undefined;
	/** Most engines that one request may be sent to. */
	maximumAttempts: number;
	/** Rank of the route; 0 comes first. */
	priority: number;
	/** Whether requests need no key. */
	allowsAnonymous: boolean;
	targets: readonly RouteTarget[];
};

/** Speeds of an engine of language models, as its operator publishes them. */
export type EngineProfile = {
	/** Requests that one engine runs at once. */
	slots: number;
	/** Tokens that one engine's memory holds. */
	kvCacheTokens: number;
	/** Time of one token step without any request. */
	baseStepTime: number;
	/** Time that each writing request adds to a step. */
	stepTimePerRequest: number;
	/** Time that each thousand tokens of a writing request's context add to a step. */
	stepTimePerThousandTokens: number;
	/** Prompt tokens read in a millisecond. */
	prefillTokensPerMillisecond: number;
	/** Time for a million pairs of a prompt token and any earlier one. */
	attentionTimePerMillionPairs: number;
	/** Steps of one pass while any request writes; also the tokens of one event. */
	stepsPerIteration: number;
	/** Mean tokens of a prompt and of an answer. */
	meanTokens: {prompt: number; answer: number};
};

/** One service of the configuration. */
export type Service = {
	name: string;
	/** Speeds of its engines; undefined for services that run no language model. */
	engineProfile: EngineProfile | undefined;
};

/** Bounds on what callers send. */
export type CallerLimits = {
	maximumBodyBytes: number;
	headerTimeout: number;
	idleTimeout: number;
};

/** A customer and the keys that stand for it. */
export type CustomerKeys = {
	name: string;
	apiKeys: readonly string[];
	/** Rank that goes before the route's; undefined where the route's holds. */
	priority: number | undefined;
};

/** One accepted configuration. */
export type ServingConfiguration = {
	/** Rises with every accepted configuration. */
	version: number;
	routes: readonly Route[];
	services: ReadonlyMap<string, Service>;
	limits: CallerLimits;
	/** Undefined where requests need no keys. */
	customers: readonly CustomerKeys[] | undefined;
};

/** Whether an engine takes new work, by its own word. */
export type EngineState = 'ready' | 'draining';

/** One engine as it describes itself in the platform's store. */
export type EngineRecord = {
	/** Name of the engine; one that starts again may keep it. */
	id: string;
	service: string;
	host: string;
	port: number;
	/** Address as "IP:port". */
	address: string;
	failureDomain: string;
	slots: number;
	state: EngineState;
	/** Unix time in milliseconds of its start; tells two lives of one id apart. Undefined where it is not told. */
	startedAt: number | undefined;
};

/** What the headers of a request say. */
export type RequestHeaderValues = {
	requestId: string | undefined;
	/** Time that the caller waits; undefined where it does not say. */
	timeout: number | undefined;
	apiKey: string | undefined;
	/** Tokens of the prompt; undefined for requests that carry none. */
	promptTokens: number | undefined;
	maximumAnswerTokens: number;
	/** The caller's guess of the answer's tokens. */
	answerTokensHint: number | undefined;
	/** Number of the last event that the caller has; undefined where it starts at the first. */
	lastEventId: number | undefined;
};

/** What is set on a request that goes to an engine. */
export type ForwardHeaderValues = {
	/** Time that is left of the request's deadline. */
	remaining: number;
	/** Engine that must run the request; another one at its address refuses it. */
	engineId: string;
	customer: string | undefined;
	/** Rank at the engine from 0 (first) to 9; undefined leaves it to the engine. */
	priority: number | undefined;
	/** Engines that read parts of the prompt, as "IP:port" or "IP:port/reservation". */
	prefillHelpers: readonly string[];
	/** Number of the last event that the caller has, where an engine goes on with a stream. */
	lastEventId: number | undefined;
};

/** What the head of an engine's answer says. */
export type ResponseHeaderValues = {
	/** Whether the engine signed it. */
	isSigned: boolean;
	requestId: string | undefined;
	/** Whether the engine states that it did not run the request. */
	isNotExecuted: boolean;
	/** Whether the body is in some encoding that no caller asked for. */
	hasContentEncoding: boolean;
	isEventStream: boolean;
	/** Engine that a joint reading failed at, as "IP:port" or its id. */
	faultyEngine: string | undefined;
};

/** How requests and answers are written on the wire. */
export interface RequestProtocol {
	parseRequestHeaders(headers: NodeJS.Dict<string | string[]>): RequestHeaderValues;
	/** Headers for an engine, as pairs, from the caller's raw headers. */
	buildForwardHeaders(rawHeaders: readonly string[], terms: ForwardHeaderValues): Array<[string, string]>;
	parseResponseHeaders(headers: NodeJS.Dict<string | string[]>): ResponseHeaderValues;
	/** Headers for the caller, as a flat list, from an engine's raw headers. */
	buildResponseHeaders(rawHeaders: readonly string[]): string[];
}

/** Bounds that the platform sets, in milliseconds unless the field says otherwise. */
export type ServingBounds = {
	/** Time from SIGTERM to SIGKILL. */
	gracePeriod: number;
	/** Requests that may be repeated for each first one. */
	retryRatio: number;
	/** Window of the retry budget. */
	retryWindow: number;
	/** Repeats in a window beyond the ratio, for all instances together. */
	retryAllowance: number;
	/** Longest time for which an engine sets memory aside in one order. */
	maximumReservationLifetime: number;
	/** Time after a request's end at which its memory must be free. */
	memoryReleaseTimeout: number;
};
