/**
 * Talks to the operators' port of an instance.
 *
 * @module
 */
import {request} from 'undici';
import {z} from 'zod';
import {errorCatalogue, type ErrorCode} from '../errors/catalogue.js';
import {CarobquayError, errorMessage} from '../errors/errors.js';

/** How commands reach an instance. */
export type OperatorOptions = {
	/** Operators' address, as "IP:port". */
	address: string;
	/** Operators' key; undefined where the port needs none. */
	key?: string;
};

/** Longest wait for an answer in milliseconds. */
const answerTimeout = 30_000;

const errorShape = z.object({
	error: z.object({
		code: z.number(), message: z.string(), ran: z.enum(['no', 'yes', 'unknown']), retry_after_ms: z.number().optional(),
	}),
});

function isErrorCode(code: string): code is ErrorCode {
	return Object.hasOwn(errorCatalogue, code);
}

/** Client of one operators' port. */
export class OperatorClient {
	readonly #options: OperatorOptions;

	constructor(options: OperatorOptions) {
		this.#options = options;
	}

	/**
	 * Asks and reads a JSON answer.
	 *
	 * @throws {CarobquayError} as the instance reports it, or 4002 or 6003 where it cannot be reached.
	 */
	async ask<Shape extends z.ZodType>(method: 'GET' | 'PUT', path: string, shape: Shape, body?: string): Promise<z.infer<Shape>> {
		const {status, text} = await this.#send(method, path, body);
		const parsed: unknown = JSON.parse(text);
		if (status < 300) {
			return shape.parse(parsed);
		}

		const {error} = errorShape.parse(parsed);
		const code = String(error.code);
		throw new CarobquayError(isErrorCode(code) ? code : '5900', {
			message: error.message, ran: error.ran, retryAfter: error.retry_after_ms,
		});
	}

	async #send(method: 'GET' | 'PUT', path: string, body: string | undefined): Promise<{status: number; text: string}> {
		const {address, key} = this.#options;
		try {
			const response = await request(`http://${address}${path}`, {
				method,
				body,
				headers: key === undefined ? {} : {authorization: `Bearer ${key}`},
				headersTimeout: answerTimeout,
				bodyTimeout: answerTimeout,
			});
			return {status: response.statusCode, text: await response.body.text()};
		} catch (error) {
			const sent = method === 'PUT' && !errorMessage(error).includes('ECONNREFUSED');
			throw new CarobquayError(sent ? '6003' : '4002', {message: `operators' port ${address}: ${errorMessage(error)}`, cause: error});
		}
	}
}
