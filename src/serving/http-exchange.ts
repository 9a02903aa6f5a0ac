/**
 * One request and its answer on a connection of its own.
 *
 * The connection is never used again, so that neither late bytes of another answer nor a silently dropped connection can
 * reach a request.
 *
 * @module
 */
import http from 'node:http';
import net from 'node:net';

/** What is sent to an engine. */
export type HttpExchangeOptions = {
	host: string;
	port: number;
	method: string;
	path: string;
	/** Names and values; the length of the body is added. */
	headers: ReadonlyArray<[string, string]>;
	/** Whole body; undefined where the request has none. */
	body: Uint8Array | undefined;
	/** Time in milliseconds to connect. */
	connectTimeout: number;
};

/** Head of an answer. */
export type ResponseHead = {
	status: number;
	headers: NodeJS.Dict<string | string[]>;
	rawHeaders: readonly string[];
};

/** Why an exchange ended without a whole answer. `unreachable` means that nothing was sent. */
export type HttpExchangeFailure = 'unreachable' | 'broken';

/** Told what happens on the connection; after `ended` or `failed` nothing more comes. */
export interface HttpExchangeListener {
	onHead(head: ResponseHead): void;
	onData(bytes: Uint8Array): void;
	/** The answer is whole. */
	onEnd(): void;
	onFailure(failure: HttpExchangeFailure, reason: string): void;
}

/** One request on its way. */
export class HttpExchange {
	readonly #listener: HttpExchangeListener;
	readonly #socket: net.Socket;
	readonly #request: http.ClientRequest;
	readonly #connectTimer: NodeJS.Timeout | undefined;
	#hasConnected = false;
	#response: http.IncomingMessage | undefined;
	#isEnded = false;
	#socketError: string | undefined;

	constructor({
		host, port, method, path, headers, body, connectTimeout,
	}: HttpExchangeOptions, listener: HttpExchangeListener) {
		this.#listener = listener;
		this.#socket = net.connect({host, port, noDelay: true});
		// Attached before the parser's own listener, which takes a reset for the end of an answer without a length.
		this.#socket.on('error', error => {
			this.#socketError = error.message;
			this.#fail(error.message);
		});
		this.#socket.once('end', () => {
			// The runtime reports a reset that comes together with data as the peer's end; only a reset loses the peer's address.
			if (this.#socket.remoteAddress === undefined) {
				this.#socketError = 'connection reset';
			}
		});
		this.#socket.once('connect', () => {
			this.#hasConnected = true;
			clearTimeout(this.#connectTimer);
		});
		this.#connectTimer = setTimeout(() => {
			this.#fail(`no connection within ${connectTimeout} ms`);
		}, connectTimeout);
		this.#request = http.request({
			createConnection: () => this.#socket,
			method,
			path,
			headers: [...headers, ...contentLengthHeader(method, body)].flat(),
			setHost: false,
		});
		this.#request.on('error', error => {
			// Bytes after a whole answer belong to no request; the answer's end is still to come.
			if (!(this.#response?.complete ?? false)) {
				this.#fail(error.message);
			}
		});
		this.#request.on('response', response => {
			this.#onResponse(response);
		});
		this.#request.end(body);
	}

	/** Whether any byte may have reached the engine. */
	get hasConnected(): boolean {
		return this.#hasConnected;
	}

	/** Closes the connection; the listener is told nothing more. */
	abort(): void {
		this.#finish();
	}

	#onResponse(response: http.IncomingMessage): void {
		if (this.#isEnded) {
			return;
		}

		this.#response = response;
		this.#listener.onHead({
			status: response.statusCode ?? 0, headers: response.headers, rawHeaders: response.rawHeaders,
		});
		response.on('data', (bytes: Uint8Array) => {
			if (!this.#isEnded) {
				this.#listener.onData(bytes);
			}
		});
		response.on('error', error => {
			this.#fail(error.message);
		});
		response.on('close', () => {
			this.#fail('connection closed in the middle of the answer');
		});
		response.on('end', () => {
			if (this.#socketError !== undefined || !response.complete) {
				this.#fail(this.#socketError ?? 'answer cut short');
			} else if (this.#finish()) {
				this.#listener.onEnd();
			}
		});
	}

	#fail(reason: string): void {
		const failure: HttpExchangeFailure = this.#hasConnected ? 'broken' : 'unreachable';
		if (this.#finish()) {
			this.#listener.onFailure(failure, reason);
		}
	}

	/** Ends the exchange once. @returns whether it was under way. */
	#finish(): boolean {
		if (this.#isEnded) {
			return false;
		}

		this.#isEnded = true;
		clearTimeout(this.#connectTimer);
		this.#socket.destroy();
		return true;
	}
}

/** Methods whose requests have no body unless one is given. */
const bodilessMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS']);

function contentLengthHeader(method: string, body: Uint8Array | undefined): Array<[string, string]> {
	if (body === undefined && bodilessMethods.has(method)) {
		return [];
	}

	return [['Content-Length', String(body?.length ?? 0)]];
}
