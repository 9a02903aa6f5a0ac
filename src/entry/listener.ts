/**
 * Servers of the callers' and operators' ports.
 *
 * @module
 */
import {createServer, IncomingMessage, type Server} from 'node:http';
import {getRequestListener, type Http2Bindings, type HttpBindings} from '@hono/node-server';

/** Handler of a hono application. */
export type HttpFetch = (request: Request, environment: HttpBindings) => Response | Promise<Response>;

function isFirstVersion(environment: HttpBindings | Http2Bindings): environment is HttpBindings {
	return environment.incoming instanceof IncomingMessage;
}

/** Time limits of a port. */
export type HttpListenerOptions = {
	/**
	 * Longest time in milliseconds in which a request's header must be whole.
	 * @default 10_000
	 */
	headerTimeout?: number;
	/**
	 * Time in milliseconds between two looks for headers that are late.
	 * @default 500
	 */
	headerCheckInterval?: number;
};

/** A port that is being served. */
export class HttpListener {
	readonly #server: Server;

	/** @param fetch - Handler of a hono application. */
	constructor(fetch: HttpFetch, {headerTimeout = defaultHeaderTimeout, headerCheckInterval = defaultHeaderCheckInterval}: HttpListenerOptions = {}) {
		// Hono's stand-ins for Request and Response are for its own use alone.
		const listener = getRequestListener(async (request, environment) => {
			if (!isFirstVersion(environment)) {
				throw new TypeError('only HTTP/1.1 is served');
			}

			return fetch(request, environment);
		}, {overrideGlobalObjects: false});
		this.#server = createServer({headersTimeout: headerTimeout, connectionsCheckingInterval: headerCheckInterval, requestTimeout: 0}, (incoming, outgoing) => {
			void listener(incoming, outgoing);
		});
		this.#server.keepAliveTimeout = keepAliveTimeout;
	}

	/** @returns the address served, as "IP:port". */
	async listen(host: string, port: number): Promise<string> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, () => {
				this.#server.off('error', reject);
				resolve();
			});
		});
		return formatAddress(this.#server.address());
	}

	/** Takes no new connections and closes those that are idle; resolves when all have ended. */
	async close(): Promise<void> {
		return new Promise(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeIdleConnections();
		});
	}

	/** Closes all connections at once. */
	destroy(): void {
		this.#server.closeAllConnections();
	}
}

/** Time in milliseconds in which a header of a few KiB arrives over any link that could carry a prompt. */
const defaultHeaderTimeout = 10_000;

/** Time in milliseconds; a stalled header is closed this much after its limit at most. */
const defaultHeaderCheckInterval = 500;

/** Time in milliseconds that an idle connection of a caller is kept. */
const keepAliveTimeout = 65_000;

function formatAddress(address: ReturnType<Server['address']>): string {
	if (typeof address !== 'object' || !address) {
		throw new TypeError('the server listens on no port');
	}

	return address.family === 'IPv6' ? `[${address.address}]:${address.port}` : `${address.address}:${address.port}`;
}
