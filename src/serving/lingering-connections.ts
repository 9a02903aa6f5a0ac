/**
 * Connections that close while their clients may still read or send.
 *
 * @module
 */
import type {Socket} from 'node:net';

/** Time in milliseconds for which input is discarded after the last response. */
const lingerTimeout = 2000;

/**
 * Closes connections of clients without a reset.
 *
 * A socket that is closed with unread input, or that receives some later, is reset; what the client has not received by
 * then is lost.
 */
export class LingeringConnections {
	readonly #sockets = new Set<Socket>();

	/** Number of connections whose clients have not closed them yet. */
	get size(): number {
		return this.#sockets.size;
	}

	has(socket: Socket): boolean {
		return this.#sockets.has(socket);
	}

	/** Sends what was written and the end, and closes the connection when the client has done so too, or after a timeout. */
	close(socket: Socket): void {
		if (socket.destroyed || this.#sockets.has(socket)) {
			return;
		}

		this.#sockets.add(socket);
		let timer: NodeJS.Timeout | undefined;
		socket.once('close', () => {
			clearTimeout(timer);
			this.#sockets.delete(socket);
		});
		socket.end(() => {
			timer = setTimeout(() => {
				socket.destroy();
			}, lingerTimeout);
		});
		socket.resume();
	}
}
