/**
 * Reports when a connection to an engine is established, which is when a request is sent.
 *
 * @module
 */
import type {ConnectionListener, EngineConnector, PendingConnection} from '../upstream/engine-connector.js';

/** Connects as another connector does. */
export class ReportingConnector implements EngineConnector {
	readonly #connector: EngineConnector;
	readonly #onConnected: () => void;

	constructor(connector: EngineConnector, onConnected: () => void) {
		this.#connector = connector;
		this.#onConnected = onConnected;
	}

	connect(listener: ConnectionListener): PendingConnection {
		return this.#connector.connect({
			onConnected: (stream, relay) => {
				this.#onConnected();
				listener.onConnected(stream, relay);
			},
			onFailure(failure) {
				listener.onFailure(failure);
			},
		});
	}
}
