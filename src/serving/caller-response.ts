/**
 * Writes the response to one caller's request.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {onceClosed} from '../entry/connection-end.js';
import {errorBody} from '../entry/error-response.js';
import {errorCatalogue, type ErrorCode, type ExecutionStatus} from '../errors/catalogue.js';
import {CarobquayError} from '../errors/errors.js';
import type {MemoryBudget, MemoryReservation} from '../memory/memory-budget.js';

/** Retry-After is written in seconds with fractions. */
const millisecondsPerSecond = 1000;

/** Maximum number of bytes that are buffered for a caller that reads too slowly or not at all. */
const maximumBufferedBytes = 1_048_576;

/** Unread bytes of one response that count in the memory budget, from which on they do; fewer are part of what a request takes. */
const minimumCountedBytes = 16_384;

/** What bounds the unread bytes of all responses. */
export type UnreadBytesOptions = {
	memory: MemoryBudget;
	/** Customer of the request. */
	owner: () => string;
};

/** Response to one request, on the caller's connection. It ends once; later calls have no effect. */
export class CallerResponse {
	readonly #response: http.ServerResponse;
	readonly #requestId: string | undefined;
	#isEnded = false;
	readonly #shouldCloseConnection: () => boolean;
	readonly #onCut: () => void;
	readonly #unreadOptions: UnreadBytesOptions | undefined;
	#unread: MemoryReservation | undefined;

	/**
	 * @param shouldCloseConnection - Whether the connection is closed after the response.
	 * @param onCut - Called before the connection is closed within the response.
	 * @param unread - Undefined where the budget does not count its bytes.
	 */
	constructor(response: http.ServerResponse, requestId: string | undefined, shouldCloseConnection: () => boolean, onCut: () => void = () => undefined, unread?: UnreadBytesOptions) {
		this.#unreadOptions = unread;
		this.#onCut = onCut;
		this.#response = response;
		this.#requestId = requestId;
		this.#shouldCloseConnection = shouldCloseConnection;
	}

	/** Whether the head of the response was sent. */
	get hasStarted(): boolean {
		return this.#response.headersSent;
	}

	/** Sends a complete response of an engine. */
	send(status: number, headers: string[], body: Uint8Array): void {
		if (this.#tryEnd()) {
			this.#response.writeHead(status, [...headers, 'Content-Length', String(body.length), ...this.#connectionHeader()]);
			this.#response.end(body);
			if (!this.#countUnread()) {
				this.#closeConnection();
			}
		}
	}

	/** Sends the head of a response whose body follows in several writes. */
	writeHead(status: number, headers: string[]): void {
		if (!this.#isEnded) {
			this.#response.writeHead(status, [...headers, ...this.#connectionHeader()]);
		}
	}

	/**
	 * Sends a part of the body.
	 *
	 * @returns false if the response has ended. It also ends, with its connection closed, if the caller reads too slowly.
	 */
	write(bytes: Uint8Array): boolean {
		if (this.#isEnded) {
			return false;
		}

		this.#response.write(bytes);
		if (this.#response.writableLength > maximumBufferedBytes || !this.#countUnread()) {
			this.destroy();
		}

		return !this.#isEnded;
	}

	/** Ends a response that was sent in several writes. */
	end(): void {
		if (this.#tryEnd()) {
			this.#response.end();
		}
	}

	/**
	 * Sends an error of this instance as the response.
	 *
	 * @param code - Number of the error in the error catalogue.
	 * @param ran - Whether the request was executed.
	 * @param retryAfter - Retry-After in milliseconds.
	 * @returns the HTTP status of the error.
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

	/** Closes the connection, so that the caller recognizes the response as truncated. */
	destroy(): void {
		if (this.#tryEnd()) {
			this.#onCut();
			this.#response.destroy();
		}
	}

	/** Records that the caller has disconnected. */
	markCallerGone(): void {
		this.#isEnded = true;
	}

	/** Closes the connection at once, even if the response waits behind another one, which keeps its bytes as well. */
	#closeConnection(): void {
		this.#onCut();
		this.#response.req.socket.destroy();
	}

	/** Counts what the response keeps. @returns false if there is no memory for it. */
	#countUnread(): boolean {
		const bytes = this.#response.writableLength;
		if (this.#unreadOptions === undefined || (this.#unread === undefined && bytes < minimumCountedBytes)) {
			return true;
		}

		this.#unread ??= this.#addReservation(this.#unreadOptions);
		return this.#unread.resize(bytes);
	}

	#addReservation({memory, owner}: UnreadBytesOptions): MemoryReservation {
		const reservation = memory.reserve({
			source: 'unread-answers', owner: owner(), bytes: 0, giveUp: () => {
				this.#isEnded = true;
				this.#closeConnection();
			},
		})!;
		this.#response.on('drain', () => {
			reservation.resize(this.#response.writableLength);
		});
		onceClosed(this.#response.req, this.#response, () => {
			reservation.release();
		});
		return reservation;
	}

	/** Marks the response as ended. @returns false if it had already ended. */
	#tryEnd(): boolean {
		const isFirst = !this.#isEnded;
		this.#isEnded = true;
		return isFirst;
	}

	#connectionHeader(): string[] {
		return this.#shouldCloseConnection() ? ['Connection', 'close'] : [];
	}
}
