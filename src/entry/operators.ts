/**
 * The operators' port: health, status, metrics, configuration and explanations.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {randomUUID} from 'node:crypto';
import {type Context, Hono} from 'hono';
import type {Registry} from 'prom-client';
import {z} from 'zod';
import type {ConfigurationStore} from '../configuration/store.js';
import {CarobquayError, toCarobquayError} from '../errors/errors.js';
import type {MemberClaim} from '../fleet/messages.js';
import type {Router} from '../routing/router.js';
import type {UpstreamDescription} from '../routing/observation.js';
import {isOperator} from './authentication.js';
import {configurationRoutes} from './configuration-routes.js';
import {errorBody, errorHeaders} from './error-response.js';

/** State of an instance, as operators see it. */
export type InstanceStatus = {
	name: string;
	failureDomain: string;
	region: string;
	version: string;
	incarnation: string;
	ready: boolean;
	generation: number;
	inFlight: number;
	waiting: number;
	bodyBytes: number;
	upstreams: readonly UpstreamDescription[];
	/** Instances of the fleet as this one believes; empty without links between instances. */
	members: readonly MemberClaim[];
};

/** What the operators' port works with. */
export type OperatorsOptions = {
	/** SHA-256 of the operators' key; empty admits everyone. */
	keyHash: string;
	registry: Registry;
	store: ConfigurationStore;
	router: Router;
	status: () => InstanceStatus;
};

const explainQuery = z.object({
	customer: z.string(),
	class: z.string(),
	model: z.string().optional(),
	service: z.string().optional(),
	prompt_bytes: z.coerce.number().int().nonnegative().default(4000),
	answer_tokens: z.coerce.number().int().positive().default(256),
});

/** Longest deadline in milliseconds assumed by an explanation. */
const explainDeadline = 60_000;

/** Builds the application of the operators' port. */
export function operatorsApplication(options: OperatorsOptions): Hono {
	const application = new Hono();
	application.onError(error => failure(toCarobquayError(error, 'no')));
	application.notFound(context => failure(new CarobquayError('1008', {message: `no route ${context.req.method} ${context.req.path} on the operators' port`})));
	application.get('/healthz', context => context.text('ok\n'));
	application.get('/readyz', context => options.status().ready ? context.text('ready\n') : context.text('not ready\n', 503));
	application.use('*', async (context, next) => {
		if (!isOperator(context.req.header('authorization'), options.keyHash)) {
			throw new CarobquayError('2001', {message: 'the operators\' port needs the operators\' key as "Authorization: Bearer KEY"'});
		}

		await next();
	});
	application.get('/metrics', async context => context.body(await options.registry.metrics(), 200, {'content-type': options.registry.contentType}));
	application.get('/v1/status', context => context.json({...options.status(), router: options.router.snapshot()}));
	application.route('/v1/configuration', configurationRoutes(options.store));
	application.get('/v1/explain', context => context.json(explain(options.router, context)));
	return application;
}

function failure(error: CarobquayError): Response {
	return new Response(errorBody(error, undefined), {status: error.entry.status, headers: errorHeaders(error, undefined)});
}

function explain(router: Router, context: Context) {
	const query = explainQuery.safeParse(context.req.query());
	if (!query.success) {
		const issue = query.error.issues[0]!;
		throw new CarobquayError('1002', {message: `query parameter "${issue.path.join('.')}": ${issue.message}`});
	}

	const now = performance.now();
	return router.explain({
		requestId: randomUUID(),
		customer: query.data.customer,
		requestClass: query.data.class,
		model: query.data.service === undefined ? query.data.model : undefined,
		service: query.data.service,
		promptBytes: query.data.prompt_bytes,
		messageBytes: [query.data.prompt_bytes],
		prefixHashes: [],
		maximumAnswerTokens: query.data.answer_tokens,
		deadline: now + explainDeadline,
		excluded: [],
	}, now);
}
