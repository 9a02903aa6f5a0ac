/**
 * HTTP stand-in of the platform's object store.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type FaultOptions} from '../../platform/memory/faults.js';
import {MemoryObjects} from '../../platform/memory/memory-objects.js';
import {type ServerOptions} from '../server.js';
import {type RunningStandIn, serveStandIn} from './server.js';
import {parseLimit} from './table.js';

/** Starts an object store stand-in. */
export async function startObjectStoreStandIn(options: FaultOptions & ServerOptions = {}): Promise<RunningStandIn<MemoryObjects>> {
	const objects = new MemoryObjects({...options, timeout: Number.POSITIVE_INFINITY});
	return serveStandIn(objects, application => {
		application.get('/v1/objects', async context => {
			const {prefix = '', after, limit} = context.req.query();
			return context.json({keys: await objects.list(prefix, {after, limit: parseLimit(limit)})});
		});
		application.put('/v1/objects/:key{.+}', async context => {
			const bytes = new Uint8Array(await context.req.arrayBuffer());
			const onlyIfAbsent = context.req.header('if-none-match') === '*';
			const written = await objects.put(context.req.param('key'), bytes, {onlyIfAbsent});
			return context.json({written}, written ? 200 : 412);
		});
		application.get('/v1/objects/:key{.+}', async context => {
			const bytes = await objects.get(context.req.param('key'));
			return bytes ? context.body(Buffer.from(bytes)) : context.json({error: 'absent'}, 404);
		});
		application.delete('/v1/objects/:key{.+}', async context => {
			await objects.delete(context.req.param('key'));
			return context.json({deleted: true});
		});
	}, options);
}
