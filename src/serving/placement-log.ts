/**
 * Log lines of the placement of prompts, and of requests that a shutdown refuses.
 *
 * @module
 */
import {combineHomeRegions} from '../placement/engine-eligibility.js';
import type {CandidateCount} from '../placement/placement-decision.js';
import type {PromptDecision} from '../placement/prompt-placement.js';
import {type EventLog, finiteMilliseconds} from '../telemetry/log.js';
import type {CustomerKeys, Route, Service} from './model.js';

/** The request that a line tells of. */
export type PlacedRequest = {
	requestId: string;
	service: Service;
	route: Pick<Route, 'homeRegions'>;
	customer?: Pick<CustomerKeys, 'homeRegions'> | undefined;
	/** Time in milliseconds left until the request's deadline. */
	remaining: number;
	/** Time in milliseconds until this instance abandons the request; infinite unless it is shutting down. */
	timeUntilAbandoned: number;
	/** Number of this attempt, starting at 1. */
	attempt: number;
};

/** Home regions of a request for the log; undefined where it may run in any. */
export function describeHomeRegions(route: PlacedRequest['route'], customer: PlacedRequest['customer']): string | undefined {
	const homeRegions = combineHomeRegions(route.homeRegions, customer?.homeRegions);
	return homeRegions && [...homeRegions].join(',');
}

/** Writes the decisions on placement. */
export class PlacementLog {
	readonly #log: EventLog;

	constructor(log: EventLog) {
		this.#log = log;
	}

	/** @param longest - Time in milliseconds for which the prompt waits at most. */
	recordWait({requestId, service, remaining, attempt}: PlacedRequest, promptTokens: number, rank: number, longest: number): void {
		this.#log.info('placement.waiting', {
			request: requestId, service: service.name, length: promptTokens, rank, longest: Math.round(longest), remaining: Math.round(remaining), attempt,
		});
	}

	/** @param times - In milliseconds: `duration` in which the answer is expected to end, `waited` for which the prompt has waited here. */
	recordPlacement(
		{requestId, service, remaining, timeUntilAbandoned, attempt}: PlacedRequest, promptTokens: number,
		decision: Extract<PromptDecision, {kind: 'place'}> & CandidateCount, {duration, waited}: {duration: number; waited: number},
	): void {
		const isStopping = Number.isFinite(timeUntilAbandoned);
		this.#log.info('placement.decided', {
			request: requestId, service: service.name, length: promptTokens, engine: decision.primary.id, candidates: decision.candidates,
			readers: decision.prefillHelpers.length, reserved: decision.prefillHelpers.filter(({reservedTokens}) => reservedTokens > 0).length,
			reading: Math.round(decision.prefillTime), hold: Math.round(decision.holdTime), saved: decision.savedPrefill > 0 ? decision.savedPrefill.toFixed(1) : undefined,
			expected: Math.round(decision.expectedLatency), loss: decision.cost.toFixed(2),
			remaining: Math.round(remaining), until_abandoned: finiteMilliseconds(timeUntilAbandoned), expected_end: isStopping ? Math.round(duration) : undefined, attempt,
			waited: waitedField(waited),
		});
	}

	recordRefusal({
		requestId, service, route, customer, remaining, attempt,
	}: PlacedRequest, promptTokens: number, decision: Extract<PromptDecision, {kind: 'refuse'}> & CandidateCount, waited = 0): void {
		this.#log.warn('placement.refused', {
			request: requestId, service: service.name, length: promptTokens, reason: decision.reason, candidates: decision.candidates, cooling: decision.coolingDown,
			remaining: Math.round(remaining), retry_after: Math.round(decision.retryAfter), attempt, waited: waitedField(waited), regions: describeHomeRegions(route, customer),
		});
	}

	/** @param cause - Why the answer is not expected to end before this instance abandons the request. */
	recordShutdownRefusal({requestId, service, remaining, timeUntilAbandoned, attempt}: PlacedRequest, cause: string): void {
		this.#log.warn('placement.refused', {
			request: requestId, service: service.name, reason: 'outlasts-shutdown', cause, remaining: Math.round(remaining), until_abandoned: finiteMilliseconds(timeUntilAbandoned), attempt,
		});
	}
}

/** Omitted for prompts that were decided at once. */
function waitedField(waited: number): number | undefined {
	return waited > 0 ? Math.round(waited) : undefined;
}
