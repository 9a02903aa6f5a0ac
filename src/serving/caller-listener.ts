/**
 * Listens for callers and applies the configured limits to their connections.
 *
 * @module
 */
import http from 'node:http';
import type {Socket} from 'node:net';
import {errorBody} from '../entry/error-response.js';
import {errorCatalogue} from '../errors/catalogue.js';
import {CarobquayError} from '../errors/errors.js';
import type {MemoryBudget} from '../memory/memory-budget.js';
import {bufferGarbage} from '../memory/process-memory.js';
import {openServer} from '../startup/ports.js';
import type {EventLog} from '../telemetry/log.js';
import {ConnectionLimit} from './connection-limit.js';
import {LingeringConnections} from './lingering-connections.js';
import type {CallerLimits} from './model.js';
import {maximumOutstanding, OutstandingRequests} from './outstanding-requests.js';
import {ReadTurns, usualFreeTurns} from './read-turns.js';

/** Greatest size in bytes of a request's headers; a little above the deployments' limit of 16 KiB. */
const maximumHeaderBytes = 24_576;

/** Time in milliseconds between two checks for connections that exceed the header timeout. */
const connectionCheckInterval = 500;

/** Time in milliseconds that an idle connection stays open beyond the timeout that callers are told. */
const keepAliveMargin = 1000;

/** Length of the queue of connections that are not yet accepted. */
const backlog = 1024;

/** Bytes of a body that take their turn like one chunk, so that one read of a connection takes a whole turn of it. */
const bytesPerPart = 128;

/** Parts of the limit of a body after which the connection of a body that is over it is closed; its caller has been answered before. */
const closingBodyShare = 2;

/** Handles one request of a caller. @param hasMemory - Whether there is memory for it; it is refused otherwise. */
export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse, hasMemory: boolean) => void;

/** Statuses of answers to what the parser rejects, by its error codes; others get status 400. */
const rejectionStatuses: Readonly<Record<string, number>> = {HPE_HEADER_OVERFLOW: 431, HPE_CHUNK_EXTENSIONS_OVERFLOW: 413, ERR_HTTP_REQUEST_TIMEOUT: 408};

/** Status and body of the answer to a head that the parser rejects. */
const {status: malformedStatus, remedy} = errorCatalogue[1013];
const malformedBody = errorBody(new CarobquayError('1013', {message: `the request is not valid HTTP. ${remedy}`, ran: 'no'}), undefined);

/** Codes of errors within the head of a request, other than in its first word: bytes that are no request get no answer behind a request. */
const headErrors: ReadonlySet<string> = new Set(['HPE_INVALID_URL', 'HPE_INVALID_VERSION', 'HPE_INVALID_HEADER_TOKEN', 'HPE_INVALID_CONTENT_LENGTH', 'HPE_INVALID_TRANSFER_ENCODING', 'HPE_HEADER_OVERFLOW']);

/** Error code of a connection that the client has closed within a head. */
const endWithinHead = 'HPE_INVALID_EOF_STATE';

/** HTTP server for callers. */
export class CallerListener {
	readonly #server: http.Server;
	/** Newest request and its response by connection. */
	readonly #newest = new WeakMap<Socket, {request: http.IncomingMessage; response: http.ServerResponse}>();
	/** Connections that close after the responses to what was received before an error. */
	readonly #failed = new WeakSet<Socket>();
	readonly #lingering = new LingeringConnections();
	readonly #readTurns = new ReadTurns({freeTurns: usualFreeTurns});
	readonly #connections: ConnectionLimit;
	readonly #outstanding: OutstandingRequests;
	/** Limit in bytes of a body; infinite until a configuration is known. */
	#maximumBodyBytes = Number.POSITIVE_INFINITY;

	/**
	 * @param memory - Bounds what is kept for callers.
	 * @param maximumConnections - Largest number of open connections.
	 */
	constructor(handler: RequestHandler, memory: MemoryBudget, maximumConnections = Number.POSITIVE_INFINITY) {
		this.#outstanding = new OutstandingRequests(memory);
		this.#server = http.createServer({
			maxHeaderSize: maximumHeaderBytes, connectionsCheckingInterval: connectionCheckInterval, requestTimeout: 0, noDelay: true,
		}, (request, response) => {
			this.#receive(request, response, handler);
		});
		this.#connections = new ConnectionLimit(maximumConnections, socket => this.#hasReceivedRequest(socket));
		this.#server.on('connection', socket => {
			this.#connections.add(socket);
			// The server calls it after the last response of a connection.
			socket.destroySoon = () => {
				this.#outstanding.release(socket);
				this.#readTurns.release(socket);
				this.#lingering.close(socket);
			};
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this.#handleClientError(error, socket);
		});
	}

	/** Number of connections that were closed because there were too many. */
	get closedCount(): number {
		return this.#connections.closedCount;
	}

	/** Number of connections that close as soon as their clients have received everything. */
	get lingeringCount(): number {
		return this.#lingering.size;
	}

	/** Applies the limits of a configuration from now on. */
	applyLimits({headerTimeout, idleTimeout, maximumBodyBytes}: CallerLimits): void {
		this.#maximumBodyBytes = maximumBodyBytes;
		this.#server.headersTimeout = headerTimeout;
		this.#server.keepAliveTimeout = idleTimeout + keepAliveMargin;
	}

	/** @throws the error of the socket; it may be opened again then. */
	async listen({host, port}: {host: string; port: number}, log: EventLog): Promise<void> {
		await openServer(this.#server, {host, port, backlog}, log);
	}

	/** Accepts no new connections and closes those without a request in progress. */
	close(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	/** Whether a connection has a request that was received and is not answered. Only its newest one may be half received. */
	#hasReceivedRequest(socket: Socket): boolean {
		const newest = this.#newest.get(socket);
		const isNewestReceived = newest !== undefined && newest.request.complete && !newest.response.writableFinished;
		return isNewestReceived || this.#outstanding.countOf(socket) > 1;
	}

	#receive(request: http.IncomingMessage, response: http.ServerResponse, handler: RequestHandler): void {
		const {socket} = request;
		if (socket.destroyed) {
			// What was read before a connection is closed is still parsed.
			return;
		}

		this.#connections.recordUse(socket);
		const decision = this.#outstanding.add(request, response);
		const isClosing = this.#failed.has(socket) || this.#lingering.has(socket);
		if (!isClosing && decision !== 'dropped') {
			this.#newest.set(socket, {request, response});
			handler(request, response, decision === 'accepted');
			// The handler has begun to read or to discard the body, and this must not begin before.
			this.#observeBody(request);
			return;
		}

		request.resume();
		if (isClosing ? this.#outstanding.countOf(socket) > maximumOutstanding : !this.#closeAfterNewest(socket)) {
			socket.destroy();
		}
	}

	/** Shares the event loop with others and ends a body that goes on though it has been refused. */
	#observeBody(request: http.IncomingMessage): void {
		const {socket} = request;
		let received = 0;
		request.on('data', (chunk: Uint8Array) => {
			bufferGarbage.record(chunk.length);
			this.#readTurns.recordParts(socket, 1 + Math.floor(chunk.length / bytesPerPart));
			received += chunk.length;
			if (received > closingBodyShare * this.#maximumBodyBytes) {
				socket.destroy();
			}
		});
	}

	/** Closes a connection for which there is no memory after the response to its newest request. @returns false if that would keep too much. */
	#closeAfterNewest(socket: Socket): boolean {
		const newest = this.#newest.get(socket);
		if (newest === undefined || newest.response.writableFinished || this.#outstanding.countOf(socket) > maximumOutstanding) {
			return false;
		}

		this.#failed.add(socket);
		newest.response.once('finish', () => {
			socket.destroySoon();
		});
		return true;
	}

	/** Answers what is not HTTP, or too late, and closes its connection; not before the responses to complete requests that came before it. */
	#handleClientError({code = ''}: NodeJS.ErrnoException, socket: Socket): void {
		if (this.#lingering.has(socket)) {
			return;
		}

		const newest = this.#newest.get(socket);
		const isAnswered = newest?.response.writableFinished ?? true;
		if (newest !== undefined && socket.writable && !isAnswered && code !== endWithinHead && (newest.request.complete || newest.response.socket === null)) {
			if (!this.#failed.has(socket)) {
				this.#failed.add(socket);
				this.#closeAfterResponses(code, socket, newest);
			}

			return;
		}

		// The response to a request whose body is wrong; one that waits behind another response has no socket.
		const canAnswerNewest = newest?.response.socket === socket && !newest.response.headersSent;
		if (socket.writable && (isAnswered || canAnswerNewest)) {
			this.#reject(code, socket);
		}

		socket.destroy();
	}

	/** Closes a connection after the response to its newest request, or to the one before it if the body of the newest is wrong. A head behind a complete request is answered after that one. */
	#closeAfterResponses(code: string, socket: Socket, {request, response}: {request: http.IncomingMessage; response: http.ServerResponse}): void {
		response.once('finish', () => {
			if (request.complete && headErrors.has(code)) {
				this.#reject(code, socket);
			}

			socket.destroySoon();
		});
		if (request.complete) {
			return;
		}

		response.once('socket', () => {
			if (!response.headersSent) {
				this.#reject(code, socket);
				socket.destroySoon();
			}
		});
	}

	#reject(code: string, socket: Socket): void {
		const status = rejectionStatuses[code] ?? malformedStatus;
		const body = status === malformedStatus ? malformedBody : '';
		const bodyFields = body === '' ? '' : `Content-Type: application/json\r\nContent-Length: ${body.length}\r\n`;
		socket.write(`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nConnection: close\r\n${bodyFields}\r\n${body}`);
	}
}
