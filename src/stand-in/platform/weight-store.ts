/**
 * HTTP stand-in of the platform's weight store.
 *
 * @module
 */
import {z} from 'zod';
import {CarobquayError} from '../../errors/errors.js';
import {MemoryWeightStore, type MemoryWeightStoreOptions} from '../../platform/memory/memory-weight-store.js';
import {type ServerOptions} from '../server.js';
import {type RunningStandIn, serveStandIn} from './server.js';

const admissionBody = z.strictObject({name: z.string(), version: z.string()});
const entryBody = admissionBody.extend({bytes: z.int().nonnegative()});

/** Starts a weight store stand-in; PUT /admin/weights declares an entry. */
export async function startWeightStoreStandIn(options: MemoryWeightStoreOptions & ServerOptions = {}): Promise<RunningStandIn<MemoryWeightStore>> {
	const weights = new MemoryWeightStore({...options, timeout: Number.POSITIVE_INFINITY});
	return serveStandIn(weights, application => {
		application.get('/v1/weights', async context => context.json({entries: await weights.list()}));
		application.post('/v1/admissions', async context => {
			const {name, version} = admissionBody.parse(await context.req.json());
			try {
				return context.json(await weights.admit(name, version));
			} catch (error) {
				if (error instanceof CarobquayError && error.code === '1004') {
					return context.json({error: 'unknown-entry', message: error.message}, 404);
				}

				throw error;
			}
		});
		application.put('/admin/weights', async context => {
			const entry = entryBody.parse(await context.req.json());
			weights.declare(entry);
			return context.json(entry);
		});
	}, options);
}
