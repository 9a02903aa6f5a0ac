/**
 * HTTP stand-in of the platform's table service.
 *
 * @module
 */
import {z} from 'zod';
import {MemoryTable, type MemoryTableOptions} from '../../platform/memory/memory-table.js';
import {type ServerOptions} from '../server.js';
import {type RunningStandIn, serveStandIn} from './server.js';

const key = z.string().min(1);
const readBody = z.strictObject({keys: z.array(key)});
const transactBody = z.strictObject({
	conditions: z.array(z.strictObject({key, version: z.int().nonnegative()})),
	writes: z.array(z.discriminatedUnion('kind', [
		z.strictObject({kind: z.literal('put'), key, value: z.json()}),
		z.strictObject({kind: z.literal('delete'), key}),
	])),
});

/** Starts a table stand-in; an unanswered call lasts as long as its caller waits. */
export async function startTableStandIn(options: MemoryTableOptions & ServerOptions = {}): Promise<RunningStandIn<MemoryTable>> {
	const table = new MemoryTable({...options, timeout: Number.POSITIVE_INFINITY});
	return serveStandIn(table, application => {
		application.post('/v1/read', async context => {
			const {keys} = readBody.parse(await context.req.json());
			return context.json({items: await table.read(keys)});
		});
		application.get('/v1/items', async context => {
			const {prefix = '', after, limit} = context.req.query();
			return context.json({items: await table.list(prefix, {after, limit: parseLimit(limit)})});
		});
		application.post('/v1/transact', async context => {
			const result = await table.transact(transactBody.parse(await context.req.json()));
			return context.json(result, result.committed ? 200 : 409);
		});
	}, options);
}

/** Reads the limit of a listing from its query. */
export function parseLimit(text: string | undefined): number | undefined {
	return text === undefined ? undefined : z.coerce.number().int().positive().parse(text);
}
