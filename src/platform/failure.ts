/**
 * Failures of a call to the platform, and the numbered errors that report them.
 *
 * The adapters and the in-memory twins share this mapping, so that both tell the same truth.
 *
 * @module
 */
import {match} from 'ts-pattern';
import {CarobquayError} from '../errors/errors.js';

/** What is known of a failed call: surely not done, done or not, or refused by a rate limit. */
export type FailureKind = 'unavailable' | 'unknown' | 'rate-limited';

/** Whether a call changes what the platform stores. */
export type CallKind = 'read' | 'write';

/** A call to the platform failed. */
export class PlatformFailure extends Error {
	readonly kind: FailureKind;

	constructor(kind: FailureKind, message: string, cause?: unknown) {
		super(message, {cause});
		this.name = new.target.name;
		this.kind = kind;
	}
}

/** Returns a failure as 5001, 5002 or 5003; any other thrown value is returned as it is. */
export function toTableError(error: unknown, call: CallKind): unknown {
	if (!(error instanceof PlatformFailure)) {
		return error;
	}

	// A read whose answer was lost changed nothing.
	return match([error.kind, call] as const)
		.with(['unavailable', 'read'], ['unavailable', 'write'], ['unknown', 'read'], () => numbered('5001', 'table', error))
		.with(['unknown', 'write'], () => numbered('5002', 'table', error))
		.with(['rate-limited', 'read'], ['rate-limited', 'write'], () => numbered('5003', 'table', error))
		.exhaustive();
}

/** Returns a failure as 5004, with `ran: 'unknown'` where a write may have taken effect. */
export function toObjectsError(error: unknown, call: CallKind): unknown {
	if (!(error instanceof PlatformFailure)) {
		return error;
	}

	const ran = error.kind === 'unknown' && call === 'write' ? 'unknown' : 'no';
	return new CarobquayError('5004', {message: `object store: ${error.message}`, ran, cause: error});
}

/** Returns a failure as 5005. */
export function toInstanceListError(error: unknown): unknown {
	return error instanceof PlatformFailure ? numbered('5005', 'instance list', error) : error;
}

/** Returns a failure as 5006 or 5007. */
export function toWeightsError(error: unknown, call: CallKind): unknown {
	if (!(error instanceof PlatformFailure)) {
		return error;
	}

	return match([error.kind, call] as const)
		.with(['rate-limited', 'read'], ['rate-limited', 'write'], () => numbered('5006', 'weight store', error))
		.with(['unknown', 'write'], () => new CarobquayError('5007', {
			message: `weight store: ${error.message}`, ran: 'unknown', cause: error,
		}))
		.with(['unavailable', 'read'], ['unavailable', 'write'], ['unknown', 'read'], () => numbered('5007', 'weight store', error))
		.exhaustive();
}

/** Returns the error for an entry that the weight store does not hold, 1004. */
export function unknownWeights(name: string, version: string): CarobquayError {
	return new CarobquayError('1004', {message: `weight store: no entry "${name}" of version "${version}"`});
}

function numbered(code: '5001' | '5002' | '5003' | '5005' | '5006' | '5007', service: string, failure: PlatformFailure): CarobquayError {
	return new CarobquayError(code, {message: `${service}: ${failure.message}`, cause: failure});
}
