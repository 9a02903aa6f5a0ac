/**
 * Log lines and metrics of one forwarded request.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {RequestFingerprints} from '../quarantine/request-fingerprint.js';
import {type EventLog, finiteMilliseconds, type LogFields} from '../telemetry/log.js';
import type {AttemptOutcome} from './engine-attempt.js';
import type {InFlightAttempt} from './hedged-attempts.js';
import type {
	CustomerKeys, RequestHeaderValues, Route, Service,
} from './model.js';
import type {ServingMetrics} from './serving-metrics.js';

/** Most ids of prompt parts in one line. */
const maximumLoggedParts = 8;

/** What the lines of a request have in common. */
export type RequestReporterOptions = {
	headerValues: RequestHeaderValues;
	fingerprints: RequestFingerprints;
	route: Route;
	service: Service;
	customer: CustomerKeys | undefined;
	rawHeaders: readonly string[];
	/** Monotonic time in milliseconds at which the request arrived. */
	arrivedAt: number;
	/** Time in milliseconds until this instance abandons its requests; infinite unless it is shutting down. */
	timeUntilAbandoned: () => number;
	/** Version of the configuration with which the request was admitted. */
	configurationVersion: number;
	metrics: ServingMetrics;
	log: EventLog;
};

/** How far a request has got. */
export type RequestProgress = {
	/** Attempts that reached an engine, and others. */
	sentAttempts: number;
	unsentAttempts: number;
	lastEventId: string | undefined;
};

/** Reports one request, from its acceptance: its body has been received and it is passed on. */
export class RequestReporter {
	readonly #options: RequestReporterOptions;
	readonly #acceptedAt = performance.now();
	readonly #timeUntilAbandoned: number;
	#firstEventAt: number | undefined;
	#lastEventAt: number | undefined;

	constructor(options: RequestReporterOptions) {
		this.#options = options;
		this.#timeUntilAbandoned = options.timeUntilAbandoned();
	}

	recordEvent(): void {
		this.#lastEventAt = performance.now();
		this.#firstEventAt ??= this.#lastEventAt;
	}

	recordRetry(): void {
		this.#options.metrics.recordRetry(this.#options.service.name);
	}

	/** @param openAttempts - Attempts still in flight. */
	reportFailedAttempt({engine, hasResponse, eventCount}: InFlightAttempt, outcome: AttemptOutcome, {sentAttempts, lastEventId}: RequestProgress, openAttempts: number): void {
		const parts = this.#options.headerValues.sharedPromptParts.slice(0, maximumLoggedParts);
		this.#options.log.info('request.attempt-failed', {
			request: this.#requestId, engine: engine.record.id, outcome: outcome.kind, reason: 'reason' in outcome ? outcome.reason : undefined,
			sent: sentAttempts, open: openAttempts, delivered: lastEventId, answered: hasResponse, events: eventCount,
			parts: parts.length === 0 ? undefined : parts.join(','), fingerprint: this.#options.fingerprints.wholeRequest,
		});
	}

	/** @param timeout - Time in milliseconds for which the engine was idle. */
	reportHedge({engine}: InFlightAttempt, timeout: number, hedgeEngineId: string, {lastEventId}: RequestProgress): void {
		this.#options.log.info('request.relieved', {
			request: this.#requestId, engine: engine.record.id, silent: Math.round(timeout), to: hedgeEngineId, delivered: lastEventId,
		});
	}

	reportHedgeFailure(reason: string): void {
		this.#options.log.error('request.relief-failed', {request: this.#requestId, reason});
	}

	/** @param fields - Further fields of the line. */
	reportEnd(outcome: string, status: number, {sentAttempts, unsentAttempts, lastEventId}: RequestProgress, fields: LogFields): void {
		const {
			route, service, customer, log, metrics, rawHeaders, arrivedAt, configurationVersion, headerValues,
		} = this.#options;
		const now = performance.now();
		const duration = now - arrivedAt;
		const timeToFirstEvent = this.#firstEventAt === undefined ? undefined : this.#firstEventAt - arrivedAt;
		const isFailure = outcome !== 'answered' && outcome !== 'caller-left';
		metrics.recordEnd({
			route: route.name, service: service.name, outcome, duration, timeToFirstEvent, promptTokens: headerValues.promptTokens,
		});
		log[isFailure ? 'warn' : 'info']('request.ended', {
			request: this.#requestId, route: route.name, service: service.name, customer: customer?.name, outcome, status, sent: sentAttempts, unsent: unsentAttempts,
			last_event: lastEventId, first_event_ms: timeToFirstEvent === undefined ? undefined : Math.round(timeToFirstEvent),
			duration_ms: Math.round(duration), silent_ms: isFailure ? Math.round(now - (this.#lastEventAt ?? arrivedAt)) : undefined,
			accepted_ms: isFailure ? Math.round(this.#acceptedAt - arrivedAt) : undefined, until_abandoned: finiteMilliseconds(this.#timeUntilAbandoned),
			body: isChunked(rawHeaders) ? 'chunked' : undefined, version: configurationVersion, ...fields,
		});
	}

	get #requestId(): string | undefined {
		return this.#options.headerValues.requestId;
	}
}

function isChunked(rawHeaders: readonly string[]): boolean {
	return rawHeaders.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'transfer-encoding');
}
