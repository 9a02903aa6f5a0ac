/**
 * Listens for callers and keeps their connections within the configuration's limits.
 *
 * @module
 */
import http from 'node:http';
import type {CallerLimits} from './model.js';

/** Greatest size in bytes of a request's headers; a little above the deployments' limit of 16 KiB. */
const maximumHeaderBytes = 24_576;

/** Time in milliseconds between two looks for connections that are too slow. */
const connectionCheckInterval = 500;

/** Time in milliseconds that a connection stays open beyond the time that callers are told. */
const keepAliveMargin = 1000;

/** Length of the queue of new connections. */
const backlog = 1024;

/** What the listener serves. */
export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse) => void;

/** The port for callers. */
export class CallerListener {
	readonly #server: http.Server;

	constructor(handler: RequestHandler) {
		this.#server = http.createServer({
			maxHeaderSize: maximumHeaderBytes, connectionsCheckingInterval: connectionCheckInterval, requestTimeout: 0, noDelay: true,
		}, handler);
	}

	/** Puts the limits of a configuration in force for what comes from now on. */
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

	/** Takes no new connections and closes those on which nothing is under way. */
	close(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}
}
