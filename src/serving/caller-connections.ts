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
	readonly #cut = new WeakSet<Socket>();
	/** Newest stream of each connection; all others on it are sent before. */
	readonly #newestStreams = new WeakMap<Socket, {response: http.ServerResponse; sent: Promise<void>}>();

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

	/** Records that this instance closes the connection of a request within a response. */
	recordCut({socket}: http.IncomingMessage): void {
		this.#cut.add(socket);
	}

	isCut({socket}: http.IncomingMessage): boolean {
		return this.#cut.has(socket);
	}

	/**
	 * Records the response to a request that may be passed on.
	 *
	 * @param isStream - Whether it is sent in several writes, so that it may break off and take those behind it with it.
	 * @returns a promise that resolves when the streams before it have been sent completely, and never if they are not;
	 * undefined if there are none.
	 */
	addResponse({socket}: http.IncomingMessage, response: http.ServerResponse, isStream: boolean): Promise<void> | undefined {
		const earlier = this.#newestStreams.get(socket);
		if (isStream) {
			this.#newestStreams.set(socket, {
				response, sent: new Promise(resolve => {
					response.once('finish', resolve);
				}),
			});
		}

		return earlier?.response.writableFinished ? undefined : earlier?.sent;
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
