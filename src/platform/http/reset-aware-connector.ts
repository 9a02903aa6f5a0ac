/**
 * Connections of undici's pools on which a reset is never taken for the end of a response.
 *
 * undici takes an error with the code ECONNRESET for the end of a response that has neither a length nor a last chunk.
 *
 * @module
 */
import net from 'node:net';
import {type buildConnector, errors} from 'undici';

/** Size in bytes of the receive buffer of a socket, as undici's own connector sets it. */
const receiveBufferBytes = 65_536;

/** Error of a connection that its peer has reset. */
export class ConnectionResetError extends Error {
	constructor(options?: ErrorOptions) {
		super('connection reset by peer', options);
	}
}

/** Socket on which a reset is an error of its own code. */
class ResetAwareSocket extends net.Socket {
	override push(chunk: unknown, encoding?: BufferEncoding): boolean {
		// Node reports a reset that arrives together with data as a regular end. Only after a reset is the remote address unset.
		if (chunk === null && this.remoteAddress === undefined) {
			this.destroy(new ConnectionResetError());
			return false;
		}

		return super.push(chunk, encoding);
	}

	override _destroy(error: Error | null, callback: (error?: Error | null) => void): void { // eslint-disable-line @typescript-eslint/no-restricted-types
		super._destroy(error, failure => {
			callback(isReset(failure) ? new ConnectionResetError({cause: failure}) : failure);
		});
	}
}

/**
 * Creates the connector of a pool.
 *
 * @param timeout - Connect timeout in milliseconds.
 */
export function resetAwareConnector(timeout: number): buildConnector.connector {
	return ({hostname, port}, callback) => {
		const options: net.SocketConstructorOpts & {highWaterMark: number} = {highWaterMark: receiveBufferBytes};
		const socket = new ResetAwareSocket(options);
		const timer = setTimeout(() => {
			// What arrived while the event loop stood still is processed first.
			setImmediate(() => {
				if (socket.connecting) {
					socket.destroy(new errors.ConnectTimeoutError(`no connection to ${hostname}:${port} within ${timeout} ms`));
				}
			});
		}, timeout);
		const onConnectError = (error: Error) => {
			clearTimeout(timer);
			callback(error, null);
		};

		socket.once('error', onConnectError);
		socket.connect({
			host: hostname, port: Number(port), noDelay: true, keepAlive: true,
		}, () => {
			clearTimeout(timer);
			socket.off('error', onConnectError);
			callback(null, socket);
		});
	};
}

function isReset(error: Error | null | undefined): boolean { // eslint-disable-line @typescript-eslint/no-restricted-types
	return error instanceof Error && 'code' in error && error.code === 'ECONNRESET';
}
