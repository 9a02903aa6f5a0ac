/**
 * Routes of the operators' port that read and change the configuration.
 *
 * @module
 */
import {type Context, Hono} from 'hono';
import {z} from 'zod';
import type {ChangeOrigin, ConfigurationStore} from '../configuration/store.js';
import {CarobquayError} from '../errors/errors.js';

const defaultHistory = 20;
const maximumHistory = 1000;

const generation = z.coerce.number().int().nonnegative();
const originQuery = z.object({change: z.ulid().optional(), operator: z.string().max(128).optional()});
const historyQuery = z.object({limit: z.coerce.number().int().positive().max(maximumHistory).default(defaultHistory)});
const differenceQuery = z.object({from: generation, to: generation});
const rollbackQuery = originQuery.extend({generation});

/** Builds the routes below "/v1/configuration". */
export function configurationRoutes(store: ConfigurationStore): Hono {
	const routes = new Hono();
	routes.get('/', context => context.json({generation: store.current?.configuration.generation ?? 0, text: store.current?.text ?? ''}));
	routes.put('/', async context => {
		const accepted = await store.apply(await context.req.text(), origin(query(context, originQuery)));
		return context.json({generation: accepted.generation});
	});
	routes.get('/history', async context => context.json({entries: await store.history(query(context, historyQuery).limit)}));
	routes.get('/difference', async context => {
		const {from, to} = query(context, differenceQuery);
		return context.json({changes: await store.difference(from, to)});
	});
	routes.put('/rollback', async context => {
		const {generation: target, ...about} = query(context, rollbackQuery);
		const accepted = await store.rollback(target, origin(about));
		return context.json({generation: accepted.generation});
	});
	return routes;
}

function origin({change, operator}: z.infer<typeof originQuery>): ChangeOrigin {
	return {changeId: change, operator};
}

function query<Shape extends z.ZodType>(context: Context, shape: Shape): z.infer<Shape> {
	const parsed = shape.safeParse(context.req.query());
	if (!parsed.success) {
		const issue = parsed.error.issues[0]!;
		throw new CarobquayError('1002', {message: `query parameter "${issue.path.join('.')}": ${issue.message}`});
	}

	return parsed.data;
}
