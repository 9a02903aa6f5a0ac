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
export type ExchangeOptions = {
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
export type AnswerHead = {
	status: number;
	headers: NodeJS.Dict<string | string[]>;
	rawHeaders: readonly string[];
};

/** Why an exchange ended without a whole answer. `unreachable` means that nothing was sent. */
export type ExchangeFailure = 'unreachable' | 'broken';

/** Told what happens on the connection; after `ended` or `failed` nothing more comes. */
export interface ExchangeListener {
	head(head: AnswerHead): void;
	data(bytes: Uint8Array): void;
	/** The answer is whole. */
	ended(): void;
	failed(failure: ExchangeFailure, reason: string): void;
}

/** One request on its way. */
export class Exchange {
	readonly #listener: ExchangeListener;
	readonly #socket: net.Socket;
	readonly #request: http.ClientRequest;
	readonly #connectTimer: NodeJS.Timeout | undefined;
	#isConnected = false;
	#response: http.IncomingMessage | undefined;
	#isOver = false;
	#socketError: string | undefined;

	constructor({
		host, port, method, path, headers, body, connectTimeout,
	}: ExchangeOptions, listener: ExchangeListener) {
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
			this.#isConnected = true;
			clearTimeout(this.#connectTimer);
		});
		this.#connectTimer = setTimeout(() => {
			this.#fail(`no connection within ${connectTimeout} ms`);
		}, connectTimeout);
		this.#request = http.request({
			createConnection: () => this.#socket,
			method,
			path,
			headers: [...headers, ...lengthHeader(method, body)].flat(),
			setHost: false,
		});
		this.#request.on('error', error => {
			// Bytes after a whole answer belong to no request; the answer's end is still to come.
			if (!(this.#response?.complete ?? false)) {
				this.#fail(error.message);
			}
		});
		this.#request.on('response', response => {
			this.#receive(response);
		});
		this.#request.end(body);
	}

	/** Whether any byte may have reached the engine. */
	get maySend(): boolean {
		return this.#isConnected;
	}

	/** Closes the connection; the listener is told nothing more. */
	abort(): void {
		this.#finish();
	}

	#receive(response: http.IncomingMessage): void {
		if (this.#isOver) {
			return;
		}

		this.#response = response;
		this.#listener.head({
			status: response.statusCode ?? 0, headers: response.headers, rawHeaders: response.rawHeaders,
		});
		response.on('data', (bytes: Uint8Array) => {
			if (!this.#isOver) {
				this.#listener.data(bytes);
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
				this.#listener.ended();
			}
		});
	}

	#fail(reason: string): void {
		const failure: ExchangeFailure = this.#isConnected ? 'broken' : 'unreachable';
		if (this.#finish()) {
			this.#listener.failed(failure, reason);
		}
	}

	/** Ends the exchange once. @returns whether it was under way. */
	#finish(): boolean {
		if (this.#isOver) {
			return false;
		}

		this.#isOver = true;
		clearTimeout(this.#connectTimer);
		this.#socket.destroy();
		return true;
	}
}

/** Methods whose requests have no body unless one is given. */
const bodilessMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS']);

function lengthHeader(method: string, body: Uint8Array | undefined): Array<[string, string]> {
	if (body === undefined && bodilessMethods.has(method)) {
		return [];
	}

	return [['Content-Length', String(body?.length ?? 0)]];
}
