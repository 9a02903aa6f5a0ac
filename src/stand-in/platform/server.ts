/**
 * HTTP application of a platform stand-in: faults, counts, and failures as the adapters expect them.
 *
 * @module
 */
import {type HttpBindings} from '@hono/node-server';
import {type Context, Hono} from 'hono';
import {match} from 'ts-pattern';
import {z} from 'zod';
import {CarobquayError, errorMessage} from '../../errors/errors.js';
import {PlatformFailure} from '../../platform/failure.js';
import {type CallCounts} from '../../platform/memory/call-counts.js';
import {type PlatformFaults} from '../../platform/memory/faults.js';
import {Faults} from '../faults.js';
import {
	type RunningServer, type ServerOptions, type StandInApplication, startServer,
} from '../server.js';
import {parsePlatformFaultOrder, type PlatformFaultOrder, StandInFaults} from './fault-order.js';

/** Time in milliseconds after which a stand-in told over HTTP to refuse connections listens again. */
const defaultRefusal = 5000;

/** A stand-in that is listening. */
export type RunningStandIn<Twin> = RunningServer & {
	/** The state behind the stand-in. */
	twin: Twin;
	/** Changes the faults, as POST /admin/faults does. */
	apply: (order: PlatformFaultOrder) => void;
};

type FaultyTwin = {faults: PlatformFaults; counts: CallCounts};

/** Serves the routes of one stand-in over its twin. */
export async function serveStandIn<Twin extends FaultyTwin>(
	twin: Twin,
	addRoutes: (application: StandInApplication) => void,
	{host, port}: ServerOptions = {},
): Promise<RunningStandIn<Twin>> {
	const connections = new Faults();
	const faults = new StandInFaults(connections, twin.faults);
	const application: StandInApplication = new Hono();
	addAdministration(application, faults, twin.counts);
	addRoutes(application);
	application.onError(answerFailure);
	const server = await startServer(application, {host, port, faults: connections});
	return {
		...server,
		twin,
		apply(order) {
			faults.apply(order);
		},
	};
}

function addAdministration(application: StandInApplication, faults: StandInFaults, counts: CallCounts): void {
	application.post('/admin/faults', async context => {
		const order = parsePlatformFaultOrder(await context.req.json());
		// The connection of this call may be silenced or closed by the order, so its answer goes first.
		context.env.outgoing.once('finish', () => {
			// Once connections are refused, nothing can reach this route to end the fault.
			faults.apply(order.availability === 'refusing' ? {duration: defaultRefusal, ...order} : order);
		});
		return context.json(order);
	});
	application.delete('/admin/faults', context => {
		faults.clear();
		return context.json(faults.settings);
	});
	application.get('/admin/counts', context => context.json({counts: counts.list()}));
}

/** Answers a failed call; where the outcome must stay unknown, cuts the connection. */
function answerFailure(error: Error, context: Context<{Bindings: HttpBindings}>): Response {
	if (error instanceof z.ZodError || error instanceof SyntaxError) {
		return context.json({error: 'malformed', message: errorMessage(error)}, 400);
	}

	const failure = error instanceof CarobquayError ? error.cause : undefined;
	if (!(failure instanceof PlatformFailure)) {
		return context.json({error: 'unexpected', message: errorMessage(error)}, 500);
	}

	return match(failure.kind)
		.with('unavailable', () => context.json({error: 'unavailable', done: false}, 503))
		.with('rate-limited', () => context.json({error: 'rate-limited', done: false}, 429))
		.with('unknown', () => {
			context.env.incoming.socket.destroy();
			return new Response();
		})
		.exhaustive();
}
