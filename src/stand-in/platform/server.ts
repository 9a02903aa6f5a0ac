/**
 * HTTP server of a platform stand-in: faults, counts, and failures as the adapters expect them.
 *
 * @module
 */
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {createAdaptorServer, type HttpBindings, type ServerType} from '@hono/node-server';
import {type Context, Hono} from 'hono';
import {match} from 'ts-pattern';
import {z} from 'zod';
import {CarobquayError} from '../../errors/errors.js';
import {PlatformFailure} from '../../platform/failure.js';
import {type CallCounts} from '../../platform/memory/call-counts.js';
import {type PlatformFaults} from '../../platform/memory/faults.js';

/** Environment of a stand-in's routes. */
export type StandInEnvironment = {Bindings: HttpBindings};

/** Where a stand-in listens. */
export type ListenOptions = {
	/**
	 * IP number to listen on.
	 * @default '127.0.0.1'
	 */
	host?: string;
	/**
	 * Port to listen on; 0 takes a free one.
	 * @default 0
	 */
	port?: number;
};

/** A stand-in that is listening. */
export type RunningStandIn<Twin> = {
	/** As "IP:port". */
	address: string;
	/** The state behind the stand-in. */
	twin: Twin;
	/** Stops answering on the connections that are open now; new ones are answered. */
	silenceConnections: () => void;
	close: () => Promise<void>;
};

type Faulty = {faults: PlatformFaults; counts: CallCounts};

const milliseconds = z.number().nonnegative();

const faultChange = z.strictObject({
	down: z.boolean(),
	rateLimited: z.boolean(),
	slow: milliseconds,
	/** Time in milliseconds from now; absolute times mean nothing to another process. */
	frozenFor: milliseconds,
	loseRequests: z.int().nonnegative(),
	loseAnswers: z.int().nonnegative(),
	loseAnswerProbability: z.number().min(0).max(1),
	lateEffect: milliseconds,
	/** Silences the connections that are open now. */
	silenceConnections: z.boolean(),
}).partial();

/** Serves the routes of one stand-in over its twin. */
export async function serveStandIn<Twin extends Faulty>(
	twin: Twin,
	addRoutes: (application: Hono<StandInEnvironment>) => void,
	{host = '127.0.0.1', port = 0}: ListenOptions = {},
): Promise<RunningStandIn<Twin>> {
	const sockets = new OpenSockets();
	const application = new Hono<StandInEnvironment>();
	addAdministration(application, twin, sockets);
	application.use('/v1/*', async (context, next) => {
		if (sockets.isSilent(context.env.incoming.socket)) {
			await sockets.closed(context.env.incoming.socket);
			return context.body(null);
		}

		return next();
	});
	addRoutes(application);
	application.onError((error, context) => answerFailure(error, context));

	const server = createAdaptorServer({fetch: application.fetch, overrideGlobalObjects: false});
	server.on('connection', (socket: Socket) => {
		sockets.add(socket);
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return {
		address: `${host}:${boundPort(server.address())}`,
		twin,
		silenceConnections() {
			sockets.silence();
		},
		async close() {
			sockets.destroy();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}

function boundPort(bound: ReturnType<ServerType['address']>): number {
	if (bound === null || typeof bound === 'string') {
		throw new TypeError('the server has no port');
	}

	return bound.port;
}

function addAdministration(application: Hono<StandInEnvironment>, {faults, counts}: Faulty, sockets: OpenSockets): void {
	application.post('/admin/faults', async context => {
		const {frozenFor, silenceConnections, ...change} = faultChange.parse(await context.req.json());
		faults.set(Object.fromEntries(Object.entries(change).filter(([, value]) => value !== undefined)));
		if (frozenFor !== undefined) {
			faults.set({frozenUntil: performance.now() + frozenFor});
		}

		if (silenceConnections) {
			sockets.silence(context.env.incoming.socket);
		}

		return context.json(faults.settings);
	});
	application.get('/admin/counts', context => context.json({counts: counts.list()}));
}

/** Answers a failed call; where the outcome must stay unknown, cuts the connection. */
function answerFailure(error: Error, context: Context<StandInEnvironment>): Response {
	if (error instanceof z.ZodError || error instanceof SyntaxError) {
		return context.json({error: 'malformed', message: error.message}, 400);
	}

	const failure = error instanceof CarobquayError ? error.cause : undefined;
	if (!(failure instanceof PlatformFailure)) {
		return context.json({error: 'unexpected', message: error.message}, 500);
	}

	return match(failure.kind)
		.with('unavailable', () => context.json({error: 'unavailable', done: false}, 503))
		.with('rate-limited', () => context.json({error: 'rate-limited', done: false}, 429))
		.with('unknown', () => {
			context.env.incoming.socket.destroy();
			return context.body(null);
		})
		.exhaustive();
}

/** The connections of a server, and which of them are silent. */
class OpenSockets {
	readonly #open = new Set<Socket>();
	readonly #silent = new WeakSet<Socket>();

	add(socket: Socket): void {
		this.#open.add(socket);
		socket.once('close', () => {
			this.#open.delete(socket);
		});
	}

	/** Silences all connections that are open now but one. */
	silence(except?: Socket): void {
		for (const socket of this.#open) {
			if (socket !== except) {
				this.#silent.add(socket);
			}
		}
	}

	isSilent(socket: Socket): boolean {
		return this.#silent.has(socket);
	}

	async closed(socket: Socket): Promise<void> {
		if (!socket.destroyed) {
			await new Promise(resolve => {
				socket.once('close', resolve);
			});
		}
	}

	destroy(): void {
		for (const socket of this.#open) {
			socket.destroy();
		}
	}
}
