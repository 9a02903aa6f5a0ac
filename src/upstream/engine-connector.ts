/**
 * Opens connections to engines.
 *
 * @module
 */
import net from 'node:net';
import type {Duplex} from 'node:stream';
import {InputFirstTimer} from './input-first-timer.js';

/** Timeout in milliseconds for connecting to an engine: a few times the latency between failure domains, and less than the retransmission of a lost packet takes. */
export const connectTimeout = 300;

/**
 * What is known about a receiver that was not reached: `confirmed` if another instance, which reaches others, does not
 * reach it either, `unconfirmed` if others were asked and could not tell, `unchecked` if none was asked.
 */
export type FailureEvidence = 'confirmed' | 'unconfirmed' | 'unchecked';

/** Why no connection was established. */
export type ConnectFailure = {
	reason: string;
	/** Whether the address refused the connection, as that of a process that has ended does. */
	isRefused: boolean;
	evidence: FailureEvidence;
};

/** Receives the result of connecting. One of the methods is called, once, unless the connection is aborted before. */
export interface ConnectionListener {
	/**
	 * @param stream - Stream to the engine, on which nothing was sent. An error on it has no listener yet.
	 * @param relay - IP address of the instance that relays the stream; undefined for a direct connection.
	 */
	onConnected(stream: Duplex, relay?: string): void;
	onFailure(failure: ConnectFailure): void;
}

/** A connection that is being established. */
export interface PendingConnection {
	/** Closes the connection, unless it was handed to the listener. The listener is not called any more. */
	abort(): void;
}

/** Opens connections to one engine. */
export interface EngineConnector {
	connect(listener: ConnectionListener): PendingConnection;
}

/** Address to connect to, and the own address to connect from. */
export type DirectConnectorOptions = {
	host: string;
	port: number;
	/** @default the address that the system chooses */
	localAddress?: string;
	/**
	 * Timeout in milliseconds.
	 * @default connectTimeout
	 */
	timeout?: number;
};

/** Connects over this instance's own network path. */
export class DirectConnector implements EngineConnector {
	readonly #options: DirectConnectorOptions;

	constructor(options: DirectConnectorOptions) {
		this.#options = options;
	}

	connect({onConnected, onFailure}: ConnectionListener): PendingConnection {
		const {host, port, localAddress, timeout = connectTimeout} = this.#options;
		const socket = net.connect({
			host, port, localAddress, noDelay: true,
		});
		let isHandedOver = false;
		const timer = new InputFirstTimer();
		const abort = () => {
			if (!isHandedOver) {
				timer.stop();
				socket.off('error', onError);
				socket.on('error', () => undefined);
				socket.destroy();
			}
		};

		const fail = (reason: string, isRefused: boolean) => {
			abort();
			onFailure({reason, isRefused, evidence: 'unchecked'});
		};

		const onError = (error: Error) => {
			fail(error.message, 'code' in error && error.code === 'ECONNREFUSED');
		};

		timer.start(timeout, () => {
			fail(`no connection within ${timeout} ms`, false);
		});
		socket.once('error', onError);
		socket.once('connect', () => {
			timer.stop();
			socket.off('error', onError);
			isHandedOver = true;
			onConnected(socket);
		});
		return {abort};
	}
}
