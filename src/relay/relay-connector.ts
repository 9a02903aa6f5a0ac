/**
 * Connects to an engine through another instance.
 *
 * @module
 */
import net from 'node:net';
import type {ConnectionListener, EngineConnector, PendingConnection} from '../upstream/engine-connector.js';
import {InputFirstTimer} from '../upstream/input-first-timer.js';
import {
	decodeRelayStatus, encodeRelayRequest, type RelayRequest, type RelayStatus,
} from './relay-protocol.js';
import {RelayedStream} from './relayed-stream.js';

/** Where to connect to and what to ask for. */
export type RelayConnectorOptions = {
	/** IP address of the relay. */
	relay: string;
	/** Port on which instances relay. */
	port: number;
	/** IP address of this instance, by which the relay knows it. */
	localAddress: string;
	request: RelayRequest;
	/** Timeout in milliseconds until the relay has answered. */
	timeout: number;
	/** Called when the relay has answered that it is not connected, or not at all. */
	onRefusal: (status: Exclude<RelayStatus, 'connected'>) => void;
	/** Called when the stream is open. @returns a function that is called when it has closed. */
	onOpen: () => () => void;
};

/** Asks one instance for a relay. */
export class RelayConnector implements EngineConnector {
	readonly #options: RelayConnectorOptions;

	constructor(options: RelayConnectorOptions) {
		this.#options = options;
	}

	connect({onConnected, onFailure}: ConnectionListener): PendingConnection {
		const {relay, port, localAddress, request, timeout, onRefusal, onOpen} = this.#options;
		const socket = net.connect({
			host: relay, port, localAddress, noDelay: true,
		});
		let isHandedOver = false;
		const timer = new InputFirstTimer();
		const stop = () => {
			timer.stop();
			socket.off('data', onStatus);
			socket.off('error', onError);
			socket.off('end', onEnd);
		};

		const abort = () => {
			stop();
			socket.on('error', () => undefined);
			socket.destroy();
		};

		const fail = (status: Exclude<RelayStatus, 'connected'>, reason: string) => {
			abort();
			onRefusal(status);
			onFailure({reason: `relay ${relay}: ${reason}`, isRefused: false, evidence: status === 'engine-unreachable' ? 'confirmed' : 'unconfirmed'});
		};

		const onError = (error: Error) => {
			fail('unavailable', error.message);
		};

		const onEnd = () => {
			fail('unavailable', 'connection closed without an answer');
		};

		const onStatus = (bytes: Uint8Array) => {
			const status = decodeRelayStatus(bytes[0]!);
			if (status !== 'connected') {
				fail(status, status);
			} else if (bytes.length > 1) {
				fail('unavailable', `${bytes.length - 1} bytes before the request was sent`);
			} else {
				stop();
				isHandedOver = true;
				socket.once('close', onOpen());
				onConnected(new RelayedStream(socket), relay);
			}
		};

		timer.start(timeout, () => {
			fail('unavailable', `no answer within ${timeout} ms`);
		});
		socket.once('error', onError);
		socket.once('end', onEnd);
		socket.once('data', onStatus);
		socket.once('connect', () => {
			socket.write(encodeRelayRequest(request));
		});
		return {
			abort() {
				if (!isHandedOver) {
					abort();
				}
			},
		};
	}
}
