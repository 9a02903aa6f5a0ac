/**
 * Listens for callers and applies the configured limits to their connections.
 *
 * @module
 */
import http from 'node:http';
import type {CallerLimits} from './model.js';

/** Greatest size in bytes of a request's headers; a little above the deployments' limit of 16 KiB. */
const maximumHeaderBytes = 24_576;

/** Time in milliseconds between two checks for connections that exceed the header timeout. */
const connectionCheckInterval = 500;

/** Time in milliseconds that an idle connection stays open beyond the timeout that callers are told. */
const keepAliveMargin = 1000;

/** Length of the queue of connections that are not yet accepted. */
const backlog = 1024;

/** Handles one request of a caller. */
export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse) => void;

/** HTTP server for callers. */
export class CallerListener {
	readonly #server: http.Server;

	constructor(handler: RequestHandler) {
		this.#server = http.createServer({
			maxHeaderSize: maximumHeaderBytes, connectionsCheckingInterval: connectionCheckInterval, requestTimeout: 0, noDelay: true,
		}, handler);
	}

	/** Applies the limits of a configuration from now on. */
	applyLimits({headerTimeout, idleTimeout}: CallerLimits): void {
		this.#server.headersTimeout = headerTimeout;
		this.#server.keepAliveTimeout = idleTimeout + keepAliveMargin;
	}

	async listen({host, port}: {host: string; port: number}): Promise<void> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host, port, backlog}, () => {
				resolve();
			});
		});
	}

	/** Accepts no new connections and closes those without a request in progress. */
	close(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}
}
