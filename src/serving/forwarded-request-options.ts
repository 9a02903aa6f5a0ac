/**
 * What a forwarded request is made of.
 *
 * @module
 */
import type {MemoryBudget} from '../memory/memory-budget.js';
import type {RequestFingerprints} from '../quarantine/request-fingerprint.js';
import type {RequestGuard} from '../quarantine/request-guard.js';
import type {EventLog} from '../telemetry/log.js';
import type {AnswerDurations} from './answer-durations.js';
import type {CallerResponse} from './caller-response.js';
import type {EngineChooser} from './engine-chooser.js';
import type {StreamNumbering} from './event-order.js';
import type {
	CustomerKeys, RequestHeaderValues, RequestProtocol, Route, Service,
} from './model.js';
import type {RetryBudget} from './retry-budget.js';
import type {ServingMetrics} from './serving-metrics.js';

/** Options of a `ForwardedRequest`: the caller's request, its response and what serves it. */
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
	/** Time in milliseconds until this instance abandons its requests; infinite unless it is shutting down. */
	timeUntilAbandoned: () => number;
	/** Resolves when the request may be sent to engines; undefined if it may at once. */
	startSignal?: Promise<void> | undefined;
	callerResponse: CallerResponse;
	protocol: RequestProtocol;
	chooser: EngineChooser;
	answerDurations: AnswerDurations;
	/** Ids of the services' streams. */
	numbering: StreamNumbering;
	retryBudget: RetryBudget;
	fingerprints: RequestFingerprints;
	/** Keeps the request from engines if it may crash them. */
	guard: RequestGuard;
	/** Bounds what this instance keeps for others. */
	memory: MemoryBudget;
	metrics: ServingMetrics;
	log: EventLog;
	/** Called before each attempt at an engine. */
	onPassOn?: (() => void) | undefined;
	/** Version of the configuration with which the request was admitted. */
	configurationVersion: number;
};
