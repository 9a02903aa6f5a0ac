/**
 * Base of all errors that reach a caller or an operator.
 *
 * Each error carries a number from the catalogue, which docs/errors.md lists.
 *
 * @module
 */
import {
	errorCatalogue, type ErrorCode, type ErrorEntry, type ExecutionStatus,
} from './catalogue.js';

/** Particulars of one occurrence of an error. */
export type ErrorDetail = {
	/** What was sent or asked, and what was wrong with it. */
	message: string;
	/**
	 * Whether the request ran.
	 * @default the catalogue's value for the code
	 */
	ran?: ExecutionStatus;
	/**
	 * Time in milliseconds after which asking again makes sense.
	 * @default undefined: the catalogue decides whether a retry is offered at all
	 */
	retryAfter?: number;
	/** The failure that this error reports. */
	cause?: unknown;
};

/** An error with a number, an HTTP status and the truth about whether the request ran. */
export class CarobquayError extends Error {
	readonly code: ErrorCode;
	readonly ran: ExecutionStatus;
	/** Time in milliseconds after which asking again makes sense, if it does. */
	readonly retryAfter: number | undefined;

	constructor(code: ErrorCode, detail: ErrorDetail) {
		super(detail.message, {cause: detail.cause});
		this.name = new.target.name;
		this.code = code;
		this.ran = detail.ran ?? errorCatalogue[code].ran;
		this.retryAfter = detail.retryAfter ?? errorCatalogue[code].retryAfter;
	}

	/** The catalogue's entry for this error. */
	get entry(): ErrorEntry {
		return errorCatalogue[this.code];
	}
}

/**
 * Returns any thrown value as a numbered error.
 *
 * @param ran - Whether the request ran, where the thrown value does not say.
 */
export function toCarobquayError(error: unknown, ran: ExecutionStatus): CarobquayError {
	if (error instanceof CarobquayError) {
		return error;
	}

	return new CarobquayError('5900', {message: `unexpected failure: ${errorMessage(error)}`, ran, cause: error});
}

/** Text of any thrown value. */
export function errorMessage(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
