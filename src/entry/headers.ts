/**
 * The headers by which callers say how a request is to be treated.
 *
 * @module
 */
import type {IncomingHttpHeaders} from 'node:http';
import {CarobquayError} from '../errors/errors.js';

/** Names of the headers; docs/callers.md describes them. */
export const headerNames = {
	requestClass: 'carobquay-class',
	deadline: 'carobquay-deadline',
	nonIdempotent: 'carobquay-non-idempotent',
	idempotencyKey: 'idempotency-key',
	requestId: 'carobquay-request',
	ran: 'carobquay-ran',
} as const;

/** Longest idempotency key in characters. */
const maximumKeyLength = 200;

/** What a caller asked for beside the body. */
export type CallerOptions = {
	/** Undefined means the class that the configuration gives. */
	requestClass: string | undefined;
	/** Time in milliseconds until the caller gives up; undefined means the class's. */
	deadline: number | undefined;
	nonIdempotent: boolean;
	idempotencyKey: string | undefined;
};

const deadlinePattern = /^-?\d+$/v;
const keyPattern = /^[\u0021-\u007E]+$/v;

/**
 * Reads the headers of a request.
 *
 * @throws {CarobquayError} 1006 for a deadline that is over, 1007 for a header of another form.
 */
export function readCallerOptions(headers: IncomingHttpHeaders): CallerOptions {
	return {
		requestClass: single(headers, headerNames.requestClass),
		deadline: readDeadline(single(headers, headerNames.deadline)),
		nonIdempotent: readFlag(headers, headerNames.nonIdempotent),
		idempotencyKey: readKey(single(headers, headerNames.idempotencyKey)),
	};
}

function single(headers: IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
}

function readDeadline(text: string | undefined): number | undefined {
	if (text === undefined) {
		return undefined;
	}

	if (!deadlinePattern.test(text)) {
		throw new CarobquayError('1007', {message: `header ${headerNames.deadline}: "${text}" is not a whole number of milliseconds`});
	}

	const deadline = Number(text);
	if (deadline <= 0) {
		throw new CarobquayError('1006', {message: `header ${headerNames.deadline}: ${text} milliseconds lie in the past`});
	}

	return deadline;
}

function readFlag(headers: IncomingHttpHeaders, name: string): boolean {
	const text = single(headers, name);
	if (text === undefined || text === 'false') {
		return false;
	}

	if (text === 'true') {
		return true;
	}

	throw new CarobquayError('1007', {message: `header ${name}: "${text}" is neither true nor false`});
}

function readKey(text: string | undefined): string | undefined {
	if (text !== undefined && (!keyPattern.test(text) || text.length > maximumKeyLength)) {
		throw new CarobquayError('1007', {
			message: `header ${headerNames.idempotencyKey}: expected up to ${maximumKeyLength} printable characters without spaces`,
		});
	}

	return text;
}
