/**
 * One HTTP request and its response on a dedicated connection.
 *
 * Connections are not reused, so that a request never receives late bytes of another response and is never sent on a
 * connection that was dropped without notice.
 *
 * @module
 */
import http from 'node:http';
import net from 'node:net';
import type {Duplex} from 'node:stream';
import {bufferGarbage} from '../memory/process-memory.js';
import type {EngineConnector, FailureEvidence, PendingConnection} from '../upstream/engine-connector.js';
import {describeInvalidResponseHead} from './header-fields.js';
import {ReadTurns, usualFreeTurns} from './read-turns.js';
import {ResponseHeadScanner} from './response-head-scanner.js';

/** Most provisional responses (status 1xx) before the final one. */
const maximumProvisionalResponses = 10;

/**
 * Most bytes that a response may take beside its body: more than the heads that the runtime accepts, of 16 KB each, and for each
 * byte of the body as much as chunks of three bytes take.
 */
const maximumFramingBytes = 262_144;
const maximumFramingPerBodyByte = 2;

/** Parts of one response in one turn of the event loop. Responses in larger parts than 512 bytes never wait, as 2 MB are read in a row. */
const partsPerTurn = 4096;

/** Shared by the exchanges of the process, as they share its event loop. */
const readTurns = new ReadTurns({partsPerTurn, freeTurns: usualFreeTurns});

/** The request to send and how to reach its receiver. */
export type HttpExchangeOptions = {
	connector: EngineConnector;
	method: string;
	path: string;
	/** Returns names and values when the request is sent, without Content-Length, which is added. */
	headers: () => ReadonlyArray<[string, string]>;
	/** Complete body; undefined if the request has none. */
	body: Uint8Array | undefined;
};

/** Status and headers of a response, which are valid in a response to a caller as well. */
export type ResponseHead = {
	status: number;
	headers: NodeJS.Dict<string | string[]>;
	rawHeaders: readonly string[];
	/** Whether the end of the body is marked, by a length or a last chunk; otherwise the body ends with the connection. */
	isEndMarked: boolean;
};

/** Receives the events of an exchange. Nothing is called after `onEnd`, `onUnreachable` or `onBroken`. */
export interface HttpExchangeListener {
	onHead(head: ResponseHead): void;
	onData(bytes: Uint8Array): void;
	/** Called when the response is complete. */
	onEnd(): void;
	/** Called when no connection was established, so that nothing was sent. */
	onUnreachable(reason: string, evidence: FailureEvidence, isRefused: boolean): void;
	/** Called when the exchange has ended without a complete response, after bytes may have been sent. */
	onBroken(reason: string): void;
}

/** One request in flight. The constructor connects and sends it. */
export class HttpExchange {
	readonly #options: HttpExchangeOptions;
	readonly #listener: HttpExchangeListener;
	readonly #connection: PendingConnection;
	#stream: Duplex | undefined;
	#relay: string | undefined;
	#response: http.IncomingMessage | undefined;
	#receivedBytes = 0;
	#bodyBytes = 0;
	#isEnded = false;
	#streamError: string | undefined;

	constructor(options: HttpExchangeOptions, listener: HttpExchangeListener) {
		this.#options = options;
		this.#listener = listener;
		this.#connection = options.connector.connect({
			onConnected: (stream, relay) => {
				this.#relay = relay;
				this.#send(stream);
			},
			onFailure: ({reason, evidence, isRefused}) => {
				if (this.#finish()) {
					listener.onUnreachable(reason, evidence, isRefused);
				}
			},
		});
	}

	/** Whether the connection was established, so that bytes may have reached the server. */
	get hasConnected(): boolean {
		return this.#stream !== undefined;
	}

	/** IP address of the instance that relays the connection; undefined for a direct one, and before it is established. */
	get relay(): string | undefined {
		return this.#relay;
	}

	/** Counts parts of the response that were handled, such as events; a response of very many is read in turns with others. */
	recordParts(count: number): void {
		if (this.#stream && !this.#isEnded) {
			readTurns.recordParts(this.#stream, count);
		}
	}

	/** Closes the connection. The listener is not called any more. */
	abort(): void {
		this.#finish();
	}

	#send(stream: Duplex): void {
		this.#stream = stream;
		// Attached before the HTTP parser's own listener, which treats a reset as the end of a response without a length.
		stream.on('error', error => {
			this.#streamError = error.message;
			this.#fail(error.message);
		});
		stream.once('end', () => {
			// Node reports a reset that arrives together with data as a regular end. Only after a reset is the remote address unset.
			if (stream instanceof net.Socket && stream.remoteAddress === undefined) {
				this.#streamError = 'connection reset';
			}
		});
		const {method, path, headers, body} = this.#options;
		const request = http.request({
			createConnection: () => stream,
			method,
			path,
			headers: [...headers(), ...contentLengthHeader(method, body)].flat(),
			setHost: false,
		});
		request.on('error', error => {
			// Extra bytes after a complete response belong to no request; the response's 'end' event is still to come.
			if (!(this.#response?.complete ?? false)) {
				this.#fail(error.message);
			}
		});
		request.once('socket', () => {
			this.#scan(stream);
		});
		let provisionalResponses = 0;
		request.on('information', () => {
			provisionalResponses += 1;
			if (provisionalResponses > maximumProvisionalResponses) {
				this.#fail(`more than ${maximumProvisionalResponses} provisional responses`);
			}
		});
		request.on('response', response => {
			this.#onResponse(response);
		});
		request.end(body);
	}

	/** Checks what arrives on a stream to which the parser listens already, so that no byte passes it by. */
	#scan(stream: Duplex): void {
		const scanner = new ResponseHeadScanner();
		stream.prependListener('data', (bytes: Uint8Array) => {
			if (!scanner.isFinished && !scanner.scan(bytes)) {
				this.#fail('response is not valid HTTP: a carriage return in its head is not followed by a line feed');
			}

			if (this.#receivedBytes - this.#bodyBytes > maximumFramingBytes + (maximumFramingPerBodyByte * this.#bodyBytes)) {
				this.#fail(`response of ${this.#receivedBytes} bytes has only ${this.#bodyBytes} bytes of body`);
			}

			this.#receivedBytes += bytes.length;
		});
	}

	#onResponse(response: http.IncomingMessage): void {
		if (this.#isEnded) {
			return;
		}

		const {statusCode: status = 0, statusMessage = '', headers, rawHeaders} = response;
		const defect = describeInvalidResponseHead(status, statusMessage, rawHeaders);
		if (defect !== undefined) {
			this.#fail(`response is not valid HTTP: ${defect}`);
			return;
		}

		this.#response = response;
		const isEndMarked = headers['content-length'] !== undefined || (headers['transfer-encoding'] ?? '').toLowerCase().endsWith('chunked');
		this.#listener.onHead({
			status, headers, rawHeaders, isEndMarked,
		});
		response.on('data', (bytes: Uint8Array) => {
			bufferGarbage.record(bytes.length);
			if (!this.#isEnded) {
				this.#bodyBytes += bytes.length;
				this.recordParts(1);
				this.#listener.onData(bytes);
			}
		});
		response.on('error', error => {
			this.#fail(error.message);
		});
		response.on('close', () => {
			this.#fail('connection closed before the end of the response');
		});
		response.on('end', () => {
			if (this.#streamError !== undefined || !response.complete) {
				this.#fail(this.#streamError ?? 'response truncated');
			} else if (this.#finish()) {
				this.#listener.onEnd();
			}
		});
	}

	#fail(reason: string): void {
		if (this.#finish()) {
			this.#listener.onBroken(reason);
		}
	}

	/** Ends the exchange and closes the connection. @returns false if it had already ended. */
	#finish(): boolean {
		if (this.#isEnded) {
			return false;
		}

		this.#isEnded = true;
		this.#connection.abort();
		this.#stream?.destroy();
		return true;
	}
}

/** Methods without a Content-Length header if no body is given. */
const bodilessMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS']);

function contentLengthHeader(method: string, body: Uint8Array | undefined): Array<[string, string]> {
	if (body === undefined && bodilessMethods.has(method)) {
		return [];
	}

	return [['Content-Length', String(body?.length ?? 0)]];
}
