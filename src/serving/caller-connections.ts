/**
 * Which connections of callers close, and after which response.
 *
 * @module
 */
import type http from 'node:http';
import type {Socket} from 'node:net';

/** Connections of one instance's callers. A client may send any number of requests on one before the first response. */
export class CallerConnections {
	readonly #newestRequests = new WeakMap<Socket, http.IncomingMessage>();
	readonly #closing = new WeakSet<Socket>();

	/** Records a request that has arrived. @returns false if its connection closes after an earlier response, so that it gets none. */
	accept(request: http.IncomingMessage): boolean {
		if (this.#closing.has(request.socket)) {
			return false;
		}

		this.#newestRequests.set(request.socket, request);
		return true;
	}

	/** Accepts no further request on the connection of this one, which closes after the last response. */
	closeAfterResponses({socket}: http.IncomingMessage): void {
		this.#closing.add(socket);
	}

	/**
	 * Whether the connection closes after the response to a request, whose head is written now. It does not while a newer
	 * request waits for its response.
	 *
	 * @param isStopping - Whether this instance closes its connections.
	 */
	closesAfter(request: http.IncomingMessage, isStopping: boolean): boolean {
		const {socket} = request;
		if (this.#newestRequests.get(socket) !== request || !(isStopping || this.#closing.has(socket))) {
			return false;
		}

		this.#closing.add(socket);
		return true;
	}
}
