/**
 * Ends of responses, also of those that wait behind another one on a connection.
 *
 * @module
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

/** Calls a listener once, when a response has closed or its connection has, of which a response that waits behind another one does not hear. */
export function onceClosed({socket}: IncomingMessage, outgoing: ServerResponse, listener: () => void): void {
	let isClosed = false;
	const close = () => {
		// The end of the connection is told while its listeners are being called, from which this one is not removed any more.
		if (isClosed) {
			return;
		}

		isClosed = true;
		socket.off('close', close);
		outgoing.off('close', close);
		listener();
	};

	// A client may send any number of requests before the first response.
	socket.setMaxListeners(0);
	socket.once('close', close);
	outgoing.once('close', close);
}
