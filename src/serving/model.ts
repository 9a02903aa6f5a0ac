/**
 * Types shared by serving, placement and the platform's adapter: routes, services, engines, customers and headers.
 *
 * All times are in milliseconds and all sizes in tokens or bytes, as the field says.
 *
 * @module
 */

/** Whether a request may be repeated, and whether its response is a stream of events. */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A service that receives a share of a route's requests. */
export type RouteTarget = {
	service: string;
	/** Share of the requests, relative to the weights of the route's other targets. */
	weight: number;
};

/** One route of the configuration. */
export type Route = {
	name: string;
	/** Value of the Host header, in lower case. */
	host: string;
	/** Path prefix, which begins and ends with a slash. */
	prefix: string;
	kind: RequestKind;
	/** Whether another engine may continue an interrupted stream. */
	isResumable: boolean;
	/** Longest time that a caller is kept waiting. */
	timeout: number;
	/** Time to the response, or to the first event of a stream, that counts as on time. */
	latencyTarget: number;
	/** Longest gap between two events that counts as on time; undefined on routes without streams. */
	eventGapTarget: number | undefined;
	/** Maximum number of engines that one request may be sent to. */
	maximumAttempts: number;
	/** Whether requests without an API key are accepted. */
	allowsAnonymous: boolean;
	/** Rank of its requests, 0 being the most urgent; undefined where none is stated. A customer's own rank takes precedence. */
	priority?: number | undefined;
	/** Regions whose engines may run its requests; undefined for all. An empty list allows none. */
	homeRegions?: readonly string[] | undefined;
	/** Whether its prompts share leading parts, which an engine may still hold. */
	reusesPrefix?: boolean;
	targets: readonly RouteTarget[];
};

/** Capacity and speed of an engine of language models, as its operator publishes them. */
export type EngineProfile = {
	/** Requests that one engine runs at once. */
	slots: number;
	/** Tokens that one engine's KV cache holds. */
	kvCacheTokens: number;
	/** Time of one decode step without any request. */
	baseStepTime: number;
	/** Time that each decoding request adds to a step. */
	stepTimePerRequest: number;
	/** Time that each thousand tokens of a decoding request's context add to a step. */
	stepTimePerThousandTokens: number;
	/** Prompt tokens prefilled in a millisecond, attention not included. */
	prefillTokensPerMillisecond: number;
	/** Attention time of a prefill for a million pairs of a prompt token and any earlier one. */
	attentionTimePerMillionPairs: number;
	/** Decode steps of one scheduler iteration while any request decodes; also the tokens of one event. */
	stepsPerIteration: number;
	/** Mean tokens of a prompt and of an answer. */
	meanTokens: {prompt: number; answer: number};
};

/** One service of the configuration. */
export type Service = {
	name: string;
	/** Profile of its engines; undefined for services that run no language model. */
	engineProfile: EngineProfile | undefined;
	/** Undefined where engines take any rate of requests from their start on. */
	coldStart?: ColdStart | undefined;
	/** Path at which its engines answer health checks; undefined where none is stated. */
	healthPath?: string | undefined;
};

/** What engines of a service tolerate while they are cold. */
export type ColdStart = {
	/** Time for which an engine is cold after its start. */
	duration: number;
	/** Requests a second that a cold engine tolerates from all instances together. */
	requestsPerSecond: number;
};

/** Limits on what callers send. */
export type CallerLimits = {
	maximumBodyBytes: number;
	headerTimeout: number;
	idleTimeout: number;
};

/** A customer and its API keys. */
export type CustomerKeys = {
	name: string;
	apiKeys: readonly string[];
	/** Rank of its requests, which takes precedence over that of the route; undefined where none is stated. */
	priority?: number | undefined;
	/** Regions whose engines may run its requests, beside those of the route; undefined for all. An empty list allows none. */
	homeRegions?: readonly string[] | undefined;
};

/** One accepted configuration. */
export type ServingConfiguration = {
	/** Increases with every accepted configuration. */
	version: number;
	routes: readonly Route[];
	services: ReadonlyMap<string, Service>;
	limits: CallerLimits;
	/** Undefined where requests need no API keys. */
	customers: readonly CustomerKeys[] | undefined;
	/** Descriptions of optional fields that have invalid values and are not applied. */
	invalidFields?: readonly string[];
};

/** Whether an engine accepts new requests, as it reports itself. */
export type EngineState = 'ready' | 'draining';

/** One engine as it describes itself in the platform's store. */
export type EngineRecord = {
	/** Name of the engine; one that restarts may keep it. */
	id: string;
	service: string;
	host: string;
	port: number;
	/** Address as "IP:port". */
	address: string;
	failureDomain: string;
	slots: number;
	state: EngineState;
	/** Unix time in milliseconds of its start, which differs after a restart under the same id. Undefined where it is not stated. */
	startedAt: number | undefined;
	/** Time for which it stays cold from the moment of the entry; undefined or 0 where it is not cold. */
	coldRemaining?: number | undefined;
};

/** One part of a prompt. */
export type PromptPart = {id: string; tokens: number};

/** Values of a request's headers. */
export type RequestHeaderValues = {
	requestId: string | undefined;
	/** Time that the caller waits; undefined where it is not stated. */
	timeout: number | undefined;
	apiKey: string | undefined;
	/** Ids of the parts of the prompt that other prompts may have too, each once: all but the last, which is the request's own. */
	sharedPromptParts: readonly string[];
	/** Leading parts of the prompt in their order, up to the first that is not readable; the last part, the request's own, is left out. */
	leadingPromptParts?: readonly PromptPart[];
	/** Tokens of the prompt; undefined for requests that carry none. */
	promptTokens: number | undefined;
	maximumAnswerTokens: number;
	/** The caller's estimate of the answer's tokens. */
	answerTokensHint: number | undefined;
	/** Id of the last event that the caller has; undefined where it starts at the first. */
	lastEventId: string | undefined;
};

/** Values of the headers that are set on a request to an engine. */
export type ForwardHeaderValues = {
	/** Time left until the request's deadline. */
	remaining: number;
	/** Engine that must run the request; another one at its address refuses it. */
	engineId: string;
	customer: string | undefined;
	/** Priority at the engine from 0 (highest) to 9; undefined leaves it to the engine. */
	priority: number | undefined;
	/** Engines that prefill parts of the prompt, as "IP:port" or "IP:port/reservation". */
	prefillHelpers: readonly string[];
	/** Id of the last event that the caller has, where an engine continues a stream. */
	lastEventId: string | undefined;
};

/** Values of an engine's response headers. */
export type ResponseHeaderValues = {
	/** Whether the engine signed the response. */
	isSigned: boolean;
	requestId: string | undefined;
	/** Whether the engine states that it did not run the request. */
	isNotExecuted: boolean;
	/** Whether the body has a content encoding, which no caller asked for. */
	hasContentEncoding: boolean;
	isEventStream: boolean;
	/** Engine at which a split prefill failed, as "IP:port" or its id. */
	faultyEngine: string | undefined;
	/** Requests a second that the engine accepts from all instances together; undefined if it states none. */
	requestLimit: number | undefined;
	/** Whether the engine is about to leave and accepts nothing new for long. */
	isLeaving: boolean;
	/** Time for which the engine asks this instance to send it nothing; undefined if it does not ask. */
	retryAfter: number | undefined;
	/** Time for which the engine stays cold; undefined where it does not state any. */
	coldRemaining?: number | undefined;
};

/** What a response says about the engine that sent it. */
export type EngineStatement = Pick<ResponseHeaderValues, 'requestLimit' | 'isLeaving' | 'retryAfter' | 'coldRemaining'>;

/** How the headers of requests and responses are parsed and built. */
export interface RequestProtocol {
	parseRequestHeaders(headers: NodeJS.Dict<string | string[]>): RequestHeaderValues;
	/** Headers for an engine, as pairs, from the caller's raw headers. */
	buildForwardHeaders(rawHeaders: readonly string[], values: ForwardHeaderValues): Array<[string, string]>;
	parseResponseHeaders(headers: NodeJS.Dict<string | string[]>): ResponseHeaderValues;
	/** Headers for the caller, as a flat list, from an engine's raw headers. */
	buildResponseHeaders(rawHeaders: readonly string[]): string[];
}

/** Limits that the platform sets, in milliseconds unless the field says otherwise. */
export type ServingBounds = {
	/** Time from SIGTERM to SIGKILL. */
	gracePeriod: number;
	/** Retries allowed for each first attempt. */
	retryRatio: number;
	/** Window of the retry budget. */
	retryWindow: number;
	/** Retries allowed in a window beyond the ratio, for all instances together. */
	retryAllowance: number;
	/** Longest time for which one order reserves memory at an engine. */
	maximumReservationLifetime: number;
	/** Time after a request's end at which its memory must be free. */
	memoryReleaseTimeout: number;
	/** Time after an acknowledgement within which a configuration must be in force. */
	propagationLimit: number;
	/** Time after a disturbance until the limits on times hold again. */
	stabilityWindow: number;
	/** Time after which an engine that is draining or gone must get no request, from the store's acknowledgement of that. */
	drainLimit?: number;
	/** Time after which an evacuated failure domain must get no request, from the store's acknowledgement of the evacuation. */
	evacuationLimit?: number | undefined;
	/** Factor on the rate that a cold engine tolerates, and requests in any second beyond it, at which it may crash. */
	coldExcess?: number;
	coldSlack?: number;
};
