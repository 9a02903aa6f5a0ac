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
	resumable: boolean;
	/** Longest time that a caller is kept waiting. */
	timeout: number;
	/** Time to the answer, or to the first event of a stream, that counts as on time. */
	target: number;
	/** Longest pause between two events that counts as on time; undefined on routes without streams. */
	gapTarget: number | undefined;
	/** Most engines that one request may be sent to. */
	maximumEngines: number;
	/** Rank of the route; 0 comes first. */
	priority: number;
	/** Whether requests need no key. */
	anonymous: boolean;
	targets: readonly RouteTarget[];
};

/** Speeds of an engine of language models, as its operator publishes them. */
export type EngineCost = {
	/** Requests that one engine runs at once. */
	slots: number;
	/** Tokens that one engine's memory holds. */
	memoryTokens: number;
	/** Time of one token step without any request. */
	step: number;
	/** Time that each writing request adds to a step. */
	stepPerRequest: number;
	/** Time that each thousand tokens of a writing request's context add to a step. */
	stepPerThousandTokens: number;
	/** Prompt tokens read in a millisecond. */
	readRate: number;
	/** Time for a million pairs of a prompt token and any earlier one. */
	pairCost: number;
	/** Steps of one pass while any request writes; also the tokens of one event. */
	stride: number;
	/** Mean tokens of a prompt and of an answer. */
	usual: {prompt: number; answer: number};
};

/** One service of the configuration. */
export type Service = {
	name: string;
	/** Speeds of its engines; undefined for services that run no language model. */
	engineCost: EngineCost | undefined;
};

/** Bounds on what callers send. */
export type CallerLimits = {
	bodyBytes: number;
	headerTimeout: number;
	idleTimeout: number;
};

/** A customer and the keys that stand for it. */
export type CustomerKeys = {
	name: string;
	keys: readonly string[];
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
export type RequestFacts = {
	requestId: string | undefined;
	/** Time that the caller waits; undefined where it does not say. */
	deadline: number | undefined;
	key: string | undefined;
	/** Tokens of the prompt; undefined for requests that carry none. */
	promptTokens: number | undefined;
	maximumAnswerTokens: number;
	/** The caller's guess of the answer's tokens. */
	answerHint: number | undefined;
	/** Number of the last event that the caller has; undefined where it starts at the first. */
	lastEvent: number | undefined;
};

/** What is set on a request that goes to an engine. */
export type ForwardTerms = {
	/** Time that is left of the request's deadline. */
	remaining: number;
	/** Engine that must run the request; another one at its address refuses it. */
	engineId: string;
	customer: string | undefined;
	/** Rank at the engine from 0 (first) to 9; undefined leaves it to the engine. */
	rank: number | undefined;
	/** Engines that read parts of the prompt, as "IP:port" or "IP:port/reservation". */
	readers: readonly string[];
	/** Number of the last event that the caller has, where an engine goes on with a stream. */
	lastEvent: number | undefined;
};

/** What the head of an engine's answer says. */
export type AnswerFacts = {
	/** Whether the engine signed it. */
	signed: boolean;
	requestId: string | undefined;
	/** Whether the engine states that it did not run the request. */
	notRun: boolean;
	/** Whether the body is in some encoding that no caller asked for. */
	encoded: boolean;
	isEventStream: boolean;
	/** Engine that a joint reading failed at, as "IP:port" or its id. */
	faultyEngine: string | undefined;
};

/** How requests and answers are written on the wire. */
export interface RequestProtocol {
	readRequest(headers: NodeJS.Dict<string | string[]>): RequestFacts;
	/** Headers for an engine, as pairs, from the caller's raw headers. */
	forward(rawHeaders: readonly string[], terms: ForwardTerms): Array<[string, string]>;
	readAnswer(headers: NodeJS.Dict<string | string[]>): AnswerFacts;
	/** Headers for the caller, as a flat list, from an engine's raw headers. */
	answer(rawHeaders: readonly string[]): string[];
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
	longestReservation: number;
	/** Time after a request's end at which its memory must be free. */
	memoryRelease: number;
};
