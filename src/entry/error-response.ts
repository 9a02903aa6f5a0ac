/**
 * Errors as callers and operators see them.
 *
 * @module
 */
import type {CarobquayError} from '../errors/errors.js';
import {headerNames} from './headers.js';

/** Body of an error response. */
export function errorBody(error: CarobquayError, requestId: string | undefined): string {
	return JSON.stringify({
		error: {
			code: Number(error.code),
			type: error.entry.name,
			message: error.message,
			mend: error.entry.remedy,
			ran: error.ran,
			request: requestId,
			retry_after_ms: error.retryAfter,
		},
	});
}

/** Headers of an error response. Retry-After is in whole seconds, rounded up. */
export function errorHeaders(error: CarobquayError, requestId: string | undefined): Record<string, string> {
	return {
		'content-type': 'application/json',
		[headerNames.ran]: error.ran,
		...(requestId !== undefined && {[headerNames.requestId]: requestId}),
		...(error.retryAfter !== undefined && {'retry-after': String(Math.ceil(error.retryAfter / 1000))}),
	};
}
