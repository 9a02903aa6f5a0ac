/**
 * `carobquay explain --instance`: shows where an instance on the platform would send a request now, and why.
 *
 * @module
 */
import {match} from 'ts-pattern';
import {z} from 'zod';
import {CarobquayError} from '../errors/errors.js';
import {OperatorClient} from './operator-client.js';
import {print, printJson, printTable} from './output.js';

/** The request that the operator describes. Each text is sent as it is, and checked by the instance. */
export type ExplainPlacementOptions = {
	/** Address that serves the instance's metrics, as "host:port". */
	instance: string;
	json?: boolean;
	host?: string;
	path?: string;
	customer?: string;
	promptTokens?: string;
	answerTokens?: string;
	prefix?: string;
	bodyBytes?: string;
	remaining?: string;
	service?: string;
	exclude?: string;
};

const time = z.number().optional();

const decisionShape = z.discriminatedUnion('kind', [
	z.looseObject({
		kind: z.literal('place'), engine: z.string(), prefillHelpers: z.array(z.looseObject({engine: z.string(), reservedTokens: z.number()})),
		alternatives: z.array(z.string()), holdTime: time, expected: time, limit: time,
	}),
	z.looseObject({
		kind: z.literal('wait'), reason: z.string(), longestWait: time, expected: time, limit: time,
	}),
	z.looseObject({
		kind: z.literal('refuse'), reason: z.string(), retryAfter: time, expected: time, limit: time,
	}),
]);

const explanationShape = z.looseObject({
	state: z.string(), route: z.string(), service: z.string(), customer: z.string().optional(), rank: z.number(), isLessUrgent: z.boolean(),
	homeRegions: z.array(z.string()).optional(),
	decision: decisionShape,
	engines: z.array(z.looseObject({
		engine: z.string(), failureDomain: z.string(), isUsable: z.boolean(), obstacle: z.string().optional(), isCold: z.boolean(), prefillBacklog: time,
		running: z.number(), slowdown: z.number(), savedPrefill: z.number(), expected: time, rank: z.number().optional(),
	})),
});

type Explanation = z.infer<typeof explanationShape>;

/** Asks an instance and prints what it would do. */
export async function explainPlacement(options: ExplainPlacementOptions): Promise<void> {
	if (options.host === undefined || options.path === undefined) {
		throw new CarobquayError('7002', {message: 'explain --instance needs --host and --path'});
	}

	const query = new URLSearchParams(Object.entries({
		host: options.host, path: options.path, customer: options.customer, prompt_tokens: options.promptTokens, answer_tokens: options.answerTokens,
		prefix: options.prefix, body_bytes: options.bodyBytes, remaining_ms: options.remaining, service: options.service, excluded: options.exclude,
	}).flatMap(([name, value]): Array<[string, string]> => value === undefined ? [] : [[name, value]]));
	const explanation = await new OperatorClient({address: options.instance}).ask('GET', `/explain?${query.toString()}`, explanationShape);
	if (options.json) {
		printJson(explanation);
		return;
	}

	printExplanation(explanation);
}

function printExplanation({state, route, service, customer, rank, isLessUrgent, homeRegions, decision, engines}: Explanation): void {
	printTable(['ROUTE', 'SERVICE', 'CUSTOMER', 'RANK', 'LESS URGENT', 'HOME REGIONS', 'INSTANCE'], [
		[route, service, customer ?? 'anonymous', String(rank), isLessUrgent ? 'yes' : 'no', homeRegions?.join(',') ?? 'all', state],
	]);
	print('');
	print(describeDecision(decision));
	print('');
	printTable(['ENGINE', 'DOMAIN', 'USABLE', 'COLD', 'BACKLOG MS', 'RUNNING', 'SLOWDOWN', 'SAVED MS', 'EXPECTED MS', 'RANK'], engines.map(engine => [
		engine.engine,
		engine.failureDomain,
		engine.obstacle ?? 'yes',
		engine.isCold ? 'yes' : '',
		String(engine.prefillBacklog ?? ''),
		String(engine.running),
		String(engine.slowdown),
		String(engine.savedPrefill),
		String(engine.expected ?? ''),
		String(engine.rank ?? ''),
	]));
}

function describeDecision(decision: Explanation['decision']): string {
	const times = [
		...(decision.expected === undefined ? [] : [`first event expected after ${decision.expected} ms`]),
		...(decision.limit === undefined ? [] : [`refused above ${decision.limit} ms`]),
	];
	return match(decision)
		.with({kind: 'place'}, ({engine, prefillHelpers, alternatives, holdTime}) => [
			`place at ${engine}`,
			...(prefillHelpers.length === 0 ? [] : [`with ${prefillHelpers.map(helper => describeHelper(helper)).join(', ')}`]),
			...(alternatives.length === 0 ? [] : [`or, by chance, at ${alternatives.join(', ')}`]),
			...(holdTime === undefined || holdTime === 0 ? [] : [`sent after ${holdTime} ms`]),
			...times,
		])
		.with({kind: 'wait'}, ({reason, longestWait}) => [`wait (${reason})`, `for ${longestWait ?? 0} ms at most`, ...times])
		.with({kind: 'refuse'}, ({reason, retryAfter}) => [`refuse (${reason})`, ...(retryAfter === undefined ? [] : [`retry after ${retryAfter} ms`]), ...times])
		.exhaustive()
		.join('; ');
}

function describeHelper({engine, reservedTokens}: {engine: string; reservedTokens: number}): string {
	return reservedTokens === 0 ? engine : `${engine} (${reservedTokens} tokens reserved)`;
}
