/**
 * HTTP stand-in of the platform's instance list.
 *
 * @module
 */
import {z} from 'zod';
import {MemoryInstanceList, type MemoryInstanceListOptions} from '../../platform/memory/memory-instance-list.js';
import {type ServerOptions} from '../server.js';
import {type RunningStandIn, serveStandIn} from './server.js';

const instanceBody = z.strictObject({
	kind: z.enum(['entry', 'engine', 'service']),
	address: z.string(),
	failureDomain: z.string(),
	region: z.string(),
	state: z.enum(['live', 'leaving']),
	labels: z.record(z.string(), z.string()).default({}),
});

/** Starts an instance list stand-in; PUT /admin/instances/NAME declares an instance, DELETE removes it. */
export async function startInstanceListStandIn(options: MemoryInstanceListOptions & ServerOptions = {}): Promise<RunningStandIn<MemoryInstanceList>> {
	const instances = new MemoryInstanceList({...options, timeout: Number.POSITIVE_INFINITY});
	return serveStandIn(instances, application => {
		application.get('/v1/instances', async context => context.json(await instances.read()));
		application.put('/admin/instances/:name', async context => {
			const instance = {name: context.req.param('name'), ...instanceBody.parse(await context.req.json())};
			instances.declare(instance);
			return context.json(instance);
		});
		application.delete('/admin/instances/:name', context => {
			const removed = instances.remove(context.req.param('name'));
			return context.json({removed}, removed ? 200 : 404);
		});
	}, options);
}
