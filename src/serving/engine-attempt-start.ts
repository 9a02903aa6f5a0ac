/**
 * Sends a forwarded request to one engine.
 *
 * @module
 */
import type {RequestLifecycle} from '../request/request-lifecycle.js';
import {EngineAttempt, type EngineAttemptListener} from './engine-attempt.js';
import type {ChosenEngine} from './engine-chooser.js';
import type {EventOrder} from './event-order.js';
import type {ForwardedRequestOptions} from './forwarded-request-options.js';

/** State of a request that its attempts share, and what receives the events of this one. */
export type EngineAttemptContext = {lifecycle: RequestLifecycle; order: EventOrder; listener: EngineAttemptListener};

/** Sends a request, which goes on behind the last event that the caller has. */
export function startEngineAttempt(request: ForwardedRequestOptions, engine: ChosenEngine, {lifecycle, order, listener}: EngineAttemptContext): EngineAttempt {
	const {protocol, rawHeaders, customer, method, path, body, headerValues, callerResponse, memory, service, route} = request;
	return new EngineAttempt({
		exchange: {
			connector: engine.connector,
			method,
			path,
			headers: () => protocol.buildForwardHeaders(rawHeaders, {
				remaining: lifecycle.timeRemaining,
				engineId: engine.record.id,
				customer: customer?.name,
				priority: engine.priority,
				prefillHelpers: engine.prefillHelpers,
				lastEventId: order.lastId === headerValues.lastEventId ? undefined : order.lastId,
			}),
			body,
		},
		protocol,
		requestId: headerValues.requestId,
		callerResponse,
		memory, owner: customer?.name ?? service.name,
		order,
		isStream: route.kind === 'stream',
		firstEventTimeout: engine.firstEventTimeout,
		eventGapTimeout: engine.eventGapTimeout,
		listener,
	});
}
