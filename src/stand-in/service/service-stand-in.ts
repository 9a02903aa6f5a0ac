/**
 * A stand-in of a plain service, such as booking-api or viide-app, on TCP.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {ServiceRequest} from '../../upstream/service.js';
import {serviceHeaders, serviceLoadPath} from '../../upstream/http-service-protocol.js';
import {Faults} from '../faults.js';
import {
	createApplication, readBody, readJson, type RunningServer, type ServerOptions, type StandInApplication, startServer,
} from '../server.js';
import {ServiceHost, type ServiceHostOptions} from './service-host.js';

/** Settings of a service stand-in. */
export type ServiceStandInOptions = ServiceHostOptions & ServerOptions & {
	/**
	 * Faults to show, for tests that set them without HTTP.
	 * @default no faults
	 */
	faults?: Faults;
};

const methodShape = z.enum(['GET', 'POST', 'PUT', 'DELETE']);
const leavingShape = z.object({leaving: z.boolean()});

/** Starts a service stand-in; resolves once it listens. */
export async function startServiceStandIn(options: ServiceStandInOptions = {}): Promise<RunningServer> {
	const {faults = new Faults()} = options;
	const host = new ServiceHost(options, async () => faults.thawed());
	return startServer(createServiceApplication(host, faults), {...options, faults});
}

function createServiceApplication(host: ServiceHost, faults: Faults): StandInApplication {
	const application = createApplication(faults);
	application.get('/admin/effects', context => context.json(host.effects()));
	application.post('/admin/leaving', async context => {
		const order = leavingShape.parse(await readJson(context.env.incoming));
		host.leaving = order.leaving;
		return context.json(order);
	});
	application.get(serviceLoadPath, context => context.json(host.load()));
	application.all('*', async context => {
		const {incoming} = context.env;
		const answer = await host.perform({
			requestId: context.req.header(serviceHeaders.requestId) ?? '',
			attempt: Number(context.req.header(serviceHeaders.attempt) ?? 0),
			method: parseMethod(context.req.method),
			path: incoming.url ?? '/',
			contentType: context.req.header('content-type'),
			body: await readBody(incoming),
			idempotencyKey: context.req.header(serviceHeaders.idempotencyKey),
		});
		return context.body(Buffer.from(answer.body), 200, {
			'content-type': 'application/json',
			[serviceHeaders.requestId]: answer.requestId,
			[serviceHeaders.attempt]: `${answer.attempt}`,
		});
	});
	return application;
}

function parseMethod(method: string): ServiceRequest['method'] {
	return methodShape.parse(method);
}
