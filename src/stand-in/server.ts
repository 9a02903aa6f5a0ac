/**
 * What all stand-ins share: an HTTP application with faults and the server that runs it.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createServer as createHttpServer, type Server as HttpServer} from 'node:http';
import {
	createServer, type Server, type Socket,
} from 'node:net';
import {getRequestListener, type HttpBindings} from '@hono/node-server';
import {Hono} from 'hono';
import type {ContentfulStatusCode} from 'hono/utils/http-status';
import {type Faults, parseFaultOrder} from './faults.js';
import {GatedConnection} from './gated-connection.js';

/** Time in milliseconds after which a stand-in told over HTTP to refuse connections listens again. */
const defaultRefusal = 5000;

/** Time in milliseconds between attempts to listen again on the same port. */
const listenRetryInterval = 20;

/** An HTTP application of a stand-in. */
export type StandInApplication = Hono<{Bindings: HttpBindings}>;

/** Where a stand-in listens. */
export type ServerOptions = {
	/**
	 * IP number to listen on.
	 * @default '127.0.0.1'
	 */
	host?: string;
	/**
	 * Port to listen on; 0 lets the system choose.
	 * @default 0
	 */
	port?: number;
};

/** A running stand-in. */
export type RunningServer = {
	/** Address as "IP:port". */
	address: string;
	/** Closes the listener and all connections. */
	close: () => Promise<void>;
};

/** Answer to an error, where a stand-in has one of its own for it. */
export type ErrorDescription = (error: Error) => {status: ContentfulStatusCode; error: string; message: string} | undefined;

/**
 * Creates an application that shows faults on every route but those under /admin, whose connections show none either.
 *
 * `POST /admin/faults` takes a fault order, `GET /admin/faults` gives the lasting faults, `DELETE` ends them.
 */
export function createApplication(faults: Faults, describeError: ErrorDescription = () => undefined): StandInApplication {
	const application: StandInApplication = new Hono();
	application.onError((error, context) => {
		const {status, ...body} = describeError(error) ?? describeAnyError(error);
		return context.json(body, status);
	});
	application.use('/admin/*', async (context, next) => {
		const connection: unknown = context.env.incoming.socket;
		if (connection instanceof GatedConnection) {
			connection.setExempt();
		}

		await next();
	});
	application.get('/admin/faults', context => context.json(faults.settings));
	application.delete('/admin/faults', context => {
		faults.clear();
		return context.json(faults.settings);
	});
	application.post('/admin/faults', async context => {
		const order = parseFaultOrder(await context.req.json());
		// Once connections are refused, a new one cannot reach this route to end the fault.
		faults.apply(order.availability === 'refusing' ? {duration: defaultRefusal, ...order} : order);
		return context.json(faults.settings);
	});
	application.use('*', async (context, next) => {
		if (context.req.path.startsWith('/admin/')) {
			await next();
			return;
		}

		if (faults.settings.availability !== 'up') {
			return context.json({error: 'unavailable'}, 503);
		}

		if (!faults.takeRequest()) {
			return context.json({error: 'rate limit'}, 429, {'retry-after': '1'});
		}

		await faults.slowDown();
		await next();
		if (faults.takeLostAnswer()) {
			context.env.incoming.socket.destroy();
		}
	});
	return application;
}

function describeAnyError(error: Error): {status: ContentfulStatusCode; error: string; message: string} {
	const malformed = error instanceof SyntaxError || error.name === 'ZodError' || error.name === '$ZodError';
	return {status: malformed ? 400 : 500, error: malformed ? 'malformed' : 'failed', message: error.message};
}

/** Runs an application on TCP; resolves once it listens. */
export async function startServer(
	application: StandInApplication,
	{host = '127.0.0.1', port = 0, faults}: ServerOptions & {faults: Faults},
): Promise<RunningServer> {
	const server = new StandInServer(application, faults);
	return server.start(host, port);
}

/** Bytes of a request's body, in the pieces in which they came. */
export async function readBody(incoming: AsyncIterable<Uint8Array>): Promise<Uint8Array[]> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of incoming) {
		chunks.push(chunk);
	}

	return chunks;
}

/** A request's body as JSON. */
export async function readJson(incoming: AsyncIterable<Uint8Array>): Promise<unknown> {
	return JSON.parse(Buffer.concat(await readBody(incoming)).toString('utf8'));
}

class StandInServer {
	readonly #http: HttpServer;
	readonly #faults: Faults;
	readonly #connections = new Set<GatedConnection>();
	readonly #sockets = new Set<Socket>();
	#listener: Server | undefined;
	#closed = false;

	constructor(application: StandInApplication, faults: Faults) {
		this.#faults = faults;
		const answer = getRequestListener(application.fetch, {overrideGlobalObjects: false});
		this.#http = createHttpServer({keepAliveTimeout: 0}, (incoming, outgoing) => {
			void answer(incoming, outgoing);
		});
	}

	async start(host: string, port: number): Promise<RunningServer> {
		const bound = await this.#listen(host, port);
		const unsubscribe = this.#faults.subscribe(signal => {
			if (signal === 'availability') {
				this.#follow(host, bound);
			} else {
				this.#interrupt(signal);
			}
		});
		return {
			address: `${host}:${bound}`,
			close: async () => {
				this.#closed = true;
				unsubscribe();
				this.#stop();
				this.#http.close();
			},
		};
	}

	async #listen(host: string, port: number): Promise<number> {
		const listener = createServer({noDelay: true}, socket => {
			this.#accept(socket);
		});
		this.#listener = listener;
		return new Promise((resolve, reject) => {
			listener.once('error', reject);
			listener.listen(port, host, () => {
				const address = listener.address();
				resolve(typeof address === 'object' && address ? address.port : port);
			});
		});
	}

	#accept(socket: Socket): void {
		const connection = new GatedConnection(socket, this.#faults);
		this.#sockets.add(socket);
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
		// A connection that was cut or reset is no failure of the stand-in.
		connection.on('error', () => undefined);
		this.#connections.add(connection);
		connection.on('close', () => {
			this.#connections.delete(connection);
		});
		this.#http.emit('connection', connection);
	}

	#interrupt(signal: 'silence' | 'cut'): void {
		for (const connection of this.#connections) {
			if (connection.exempt) {
				continue;
			}

			if (signal === 'silence') {
				connection.silence();
			} else {
				connection.destroy();
			}
		}
	}

	/** Stops or starts listening, as the faults say. */
	#follow(host: string, port: number): void {
		if (this.#faults.settings.availability === 'refusing') {
			this.#closeListener();
			this.#interrupt('cut');
		} else if (this.#listener === undefined && !this.#closed) {
			this.#listen(host, port).catch(() => {
				this.#listener = undefined;
				setTimeout(() => {
					this.#follow(host, port);
				}, listenRetryInterval);
			});
		}
	}

	#closeListener(): void {
		this.#listener?.close();
		this.#listener = undefined;
	}

	#stop(): void {
		this.#closeListener();
		for (const connection of this.#connections) {
			connection.destroy();
		}

		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}
}
