/**
 * The answer to one caller.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {errorBody} from '../entry/error-response.js';
import {errorCatalogue, type ErrorCode, type ExecutionStatus} from '../errors/catalogue.js';
import {CarobquayError} from '../errors/errors.js';

/** Milliseconds in a second; Retry-After is given in seconds with fractions. */
const millisecondsPerSecond = 1000;

/** Greatest number of bytes that may wait for a caller that does not read. */
const maximumBufferedBytes = 1_048_576;

/** Answer on the connection that the request came by. */
export class CallerResponse {
	readonly #response: http.ServerResponse;
	readonly #requestId: string | undefined;
	#isEnded = false;
	readonly #shouldCloseConnection: () => boolean;

	/** @param shouldCloseConnection - Whether the connection is to be closed after the answer. */
	constructor(response: http.ServerResponse, requestId: string | undefined, shouldCloseConnection: () => boolean) {
		this.#response = response;
		this.#requestId = requestId;
		this.#shouldCloseConnection = shouldCloseConnection;
	}

	/** Whether bytes of an answer have gone out. */
	get hasStarted(): boolean {
		return this.#response.headersSent;
	}

	get isEnded(): boolean {
		return this.#isEnded;
	}

	/** A whole answer of an engine. */
	send(status: number, headers: string[], body: Uint8Array): void {
		if (this.#tryEnd()) {
			this.#response.writeHead(status, [...headers, 'Content-Length', String(body.length), ...this.#connectionHeader()]);
			this.#response.end(body);
		}
	}

	/** Head of an answer whose body follows piece by piece. */
	writeHead(status: number, headers: string[]): void {
		if (!this.#isEnded) {
			this.#response.writeHead(status, [...headers, ...this.#connectionHeader()]);
		}
	}

	/** @returns false where the caller does not read, so that the answer was broken off. */
	write(bytes: Uint8Array): boolean {
		if (this.#isEnded) {
			return false;
		}

		this.#response.write(bytes);
		if (this.#response.writableLength > maximumBufferedBytes) {
			this.destroy();
			return false;
		}

		return true;
	}

	/** The streamed answer is whole. */
	end(): void {
		if (this.#tryEnd()) {
			this.#response.end();
		}
	}

	/**
	 * An answer of this instance's own, with a number of the error table.
	 *
	 * @param ran - Whether the request ran.
	 * @param retryAfter - In milliseconds.
	 */
	sendError(code: ErrorCode, message: string, ran: ExecutionStatus, retryAfter?: number): number {
		const {status} = errorCatalogue[code];
		if (this.#tryEnd()) {
			const body = errorBody(new CarobquayError(code, {message, ran, retryAfter}), this.#requestId);
			this.#response.writeHead(status, [
				'Content-Type',
				'application/json',
				'Content-Length',
				String(Buffer.byteLength(body)),
				...(retryAfter === undefined ? [] : ['Retry-After', (retryAfter / millisecondsPerSecond).toFixed(3)]),
				...this.#connectionHeader(),
			]);
			this.#response.end(body);
		}

		return status;
	}

	/** Closes the connection so that the answer does not look whole. */
	destroy(): void {
		if (this.#tryEnd()) {
			this.#response.destroy();
		}
	}

	/** The caller has left. */
	markCallerGone(): void {
		this.#isEnded = true;
	}

	#tryEnd(): boolean {
		const isFirst = !this.#isEnded;
		this.#isEnded = true;
		return isFirst;
	}

	#connectionHeader(): string[] {
		return this.#shouldCloseConnection() ? ['Connection', 'close'] : [];
	}
}
