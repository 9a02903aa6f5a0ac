/**
 * Requests of callers' connections that have not ended.
 *
 * The HTTP server reads on while the answers to earlier requests wait, so a client that sends requests and reads nothing
 * makes it keep any number of them.
 *
 * @module
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {onceClosed} from '../entry/connection-end.js';
import type {MemoryBudget, MemoryReservation} from '../memory/memory-budget.js';

/** Memory in bytes of one request in progress without its body, with its attempt at an engine. */
export const requestBytes = 24_576;

/** Number of requests in progress on one connection from which it is read no further; those that were already read come in addition. */
export const maximumOutstanding = 64;

/** Number of requests in progress at which a connection is read again. */
const resumeAt = maximumOutstanding / 2;

/** What becomes of a request: `refused` is answered without being handled, `dropped` is not answered, as its connection closes before. */
export type OutstandingDecision = 'accepted' | 'refused' | 'dropped';

/** Requests in progress of one connection. */
type Connection = {
	count: number;
	isThrottled: boolean;
	/** Up to the maximum; never given up. */
	regular: MemoryReservation | undefined;
	/** Beyond it. */
	excess: MemoryReservation | undefined;
};

/** Bounds the requests in progress of each connection, and with the memory budget those of all connections. */
export class OutstandingRequests {
	readonly #memory: MemoryBudget;
	readonly #connections = new WeakMap<Socket, Connection>();

	constructor(memory: MemoryBudget) {
		this.#memory = memory;
	}

	/** Number of requests of a connection that have not ended. */
	countOf(socket: Socket): number {
		return this.#connections.get(socket)?.count ?? 0;
	}

	/** Counts a request until its response, or its connection, has closed. */
	add(request: IncomingMessage, response: ServerResponse): OutstandingDecision {
		const {socket} = request;
		const connection = this.#connections.get(socket) ?? this.#addConnection(socket);
		connection.count += 1;
		onceClosed(request, response, () => {
			this.#remove(socket, connection);
		});
		if (connection.count >= maximumOutstanding && !connection.isThrottled) {
			connection.isThrottled = true;
			socket.pause();
		}

		if (this.#reserve(socket, connection)) {
			return 'accepted';
		}

		return connection.count === 1 ? 'refused' : 'dropped';
	}

	/** Reads a connection on, whatever is in progress on it. */
	release(socket: Socket): void {
		const connection = this.#connections.get(socket);
		if (connection) {
			connection.isThrottled = false;
		}
	}

	#addConnection(socket: Socket): Connection {
		const connection: Connection = {
			count: 0, isThrottled: false, regular: undefined, excess: undefined,
		};
		this.#connections.set(socket, connection);
		socket.on('resume', () => {
			// Also the bodies of requests resume it.
			if (connection.isThrottled) {
				socket.pause();
			}
		});
		return connection;
	}

	#remove(socket: Socket, connection: Connection): void {
		connection.count -= 1;
		if (connection.count === 0 || !socket.destroyed) {
			this.#reserve(socket, connection);
		}

		if (connection.isThrottled && connection.count <= resumeAt) {
			connection.isThrottled = false;
			socket.resume();
		}
	}

	/** Sets what the requests of a connection use. @returns false if there is no room. */
	#reserve(socket: Socket, connection: Connection): boolean {
		const owner = `address ${socket.remoteAddress}`;
		const regularBytes = Math.min(connection.count, maximumOutstanding) * requestBytes;
		const excessBytes = Math.max(0, connection.count - maximumOutstanding) * requestBytes;
		if (excessBytes === 0) {
			connection.excess?.release();
			connection.excess = undefined;
		}

		if (regularBytes === 0) {
			connection.regular?.release();
			connection.regular = undefined;
			return true;
		}

		connection.regular ??= this.#memory.reserve({source: 'request-heads', owner, bytes: 0});
		if (!connection.regular!.resize(regularBytes)) {
			return false;
		}

		if (excessBytes === 0) {
			return true;
		}

		connection.excess ??= this.#memory.reserve({
			source: 'request-heads', owner, bytes: 0, giveUp() {
				connection.regular?.release();
				socket.destroy();
			},
		});
		return connection.excess!.resize(excessBytes);
	}
}
