/**
 * `carobquay explain`: shows why a request would go where.
 *
 * @module
 */
import {z} from 'zod';
import {OperatorClient, type OperatorOptions} from './operator-client.js';
import {print, printJson, printTable} from './output.js';

/** Options of the command. */
export type ExplainOptions = OperatorOptions & {
	json?: boolean;
	customer: string;
	class: string;
	model?: string;
	service?: string;
	/** UTF-8 bytes of the prompt. */
	promptBytes: string;
	answerTokens: string;
};

const explanationShape = z.looseObject({
	pools: z.array(z.object({pool: z.string(), matches: z.boolean(), unmet: z.string().optional()})),
	candidates: z.array(z.object({upstream: z.string(), score: z.number().optional(), excludedBecause: z.string().optional()})),
});

/** Asks an instance and prints the pools and candidates it would consider. */
export async function explain(options: ExplainOptions): Promise<void> {
	const query = new URLSearchParams({
		customer: options.customer, class: options.class, prompt_bytes: options.promptBytes, answer_tokens: options.answerTokens,
	});
	if (options.model !== undefined) {
		query.set('model', options.model);
	}

	if (options.service !== undefined) {
		query.set('service', options.service);
	}

	const answer = await new OperatorClient(options).ask('GET', `/v1/explain?${query.toString()}`, explanationShape);
	if (options.json) {
		printJson(answer);
		return;
	}

	printTable(['POOL', 'MATCHES', 'UNMET'], answer.pools.map(pool => [pool.pool, pool.matches ? 'yes' : 'no', pool.unmet ?? '']));
	print('');
	printTable(['UPSTREAM', 'SCORE MS', 'EXCLUDED BECAUSE'], answer.candidates.map(candidate => [
		candidate.upstream, candidate.score?.toFixed(1) ?? '', candidate.excludedBecause ?? '',
	]));
}
