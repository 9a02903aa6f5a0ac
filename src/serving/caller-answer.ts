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
const second = 1000;

/** Greatest number of bytes that may wait for a caller that does not read. */
const maximumWaiting = 1_048_576;

/** Answer on the connection that the request came by. */
export class CallerAnswer {
	readonly #response: http.ServerResponse;
	readonly #requestId: string | undefined;
	#isOver = false;
	readonly #mustClose: () => boolean;

	/** @param mustClose - Whether the connection is to be closed after the answer. */
	constructor(response: http.ServerResponse, requestId: string | undefined, mustClose: () => boolean) {
		this.#response = response;
		this.#requestId = requestId;
		this.#mustClose = mustClose;
	}

	/** Whether bytes of an answer have gone out. */
	get hasBegun(): boolean {
		return this.#response.headersSent;
	}

	get isOver(): boolean {
		return this.#isOver;
	}

	/** A whole answer of an engine. */
	complete(status: number, headers: string[], body: Uint8Array): void {
		if (this.#take()) {
			this.#response.writeHead(status, [...headers, 'Content-Length', String(body.length), ...this.#closing()]);
			this.#response.end(body);
		}
	}

	/** Head of an answer whose body follows piece by piece. */
	begin(status: number, headers: string[]): void {
		if (!this.#isOver) {
			this.#response.writeHead(status, [...headers, ...this.#closing()]);
		}
	}

	/** @returns false where the caller does not read, so that the answer was broken off. */
	write(bytes: Uint8Array): boolean {
		if (this.#isOver) {
			return false;
		}

		this.#response.write(bytes);
		if (this.#response.writableLength > maximumWaiting) {
			this.breakOff();
			return false;
		}

		return true;
	}

	/** The streamed answer is whole. */
	end(): void {
		if (this.#take()) {
			this.#response.end();
		}
	}

	/**
	 * An answer of this instance's own, with a number of the error table.
	 *
	 * @param ran - Whether the request ran.
	 * @param retryAfter - In milliseconds.
	 */
	refuse(code: ErrorCode, message: string, ran: ExecutionStatus, retryAfter?: number): number {
		const {status} = errorCatalogue[code];
		if (this.#take()) {
			const body = errorBody(new CarobquayError(code, {message, ran, retryAfter}), this.#requestId);
			this.#response.writeHead(status, [
				'Content-Type',
				'application/json',
				'Content-Length',
				String(Buffer.byteLength(body)),
				...(retryAfter === undefined ? [] : ['Retry-After', (retryAfter / second).toFixed(3)]),
				...this.#closing(),
			]);
			this.#response.end(body);
		}

		return status;
	}

	/** Closes the connection so that the answer does not look whole. */
	breakOff(): void {
		if (this.#take()) {
			this.#response.destroy();
		}
	}

	/** The caller has left. */
	abandon(): void {
		this.#isOver = true;
	}

	#take(): boolean {
		const isFirst = !this.#isOver;
		this.#isOver = true;
		return isFirst;
	}

	#closing(): string[] {
		return this.#mustClose() ? ['Connection', 'close'] : [];
	}
}
