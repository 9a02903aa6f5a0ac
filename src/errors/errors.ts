/**
 * Base class of all errors that are returned to a caller or an operator.
 *
 * Each error has a number from the error catalogue, which docs/errors.md lists.
 *
 * @module
 */
import {
	errorCatalogue, type ErrorCode, type ErrorEntry, type ExecutionStatus,
} from './catalogue.js';

/** Details of one occurrence of an error. */
export type ErrorDetail = {
	/** What was received or requested, and what was wrong with it. */
	message: string;
	/**
	 * Whether the request was executed.
	 * @default the value in the error catalogue
	 */
	ran?: ExecutionStatus;
	/**
	 * Delay in milliseconds before a retry makes sense.
	 * @default the value in the error catalogue, which offers no retry for some errors
	 */
	retryAfter?: number;
	/** Underlying error or thrown value. */
	cause?: unknown;
};

/** An error with a number, an HTTP status and a statement of whether the request was executed. */
export class CarobquayError extends Error {
	readonly code: ErrorCode;
	readonly ran: ExecutionStatus;
	/** Delay in milliseconds before a retry makes sense; undefined if it does not. */
	readonly retryAfter: number | undefined;

	constructor(code: ErrorCode, detail: ErrorDetail) {
		super(detail.message, {cause: detail.cause});
		this.name = new.target.name;
		this.code = code;
		this.ran = detail.ran ?? errorCatalogue[code].ran;
		this.retryAfter = detail.retryAfter ?? errorCatalogue[code].retryAfter;
	}

	/** Entry of this error in the error catalogue. */
	get entry(): ErrorEntry {
		return errorCatalogue[this.code];
	}
}

/**
 * Converts any thrown value to a numbered error; values other than a CarobquayError become error 5900.
 *
 * @param ran - Whether the request was executed. Ignored for a CarobquayError, which states it itself.
 */
export function toCarobquayError(error: unknown, ran: ExecutionStatus): CarobquayError {
	if (error instanceof CarobquayError) {
		return error;
	}

	return new CarobquayError('5900', {message: `unexpected failure: ${errorMessage(error)}`, ran, cause: error});
}

/** Message of any thrown value. */
export function errorMessage(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
