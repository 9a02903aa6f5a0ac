/**
 * `carobquay explain`: shows why a request would go where, at an instance of the product's own interface or on the platform.
 *
 * @module
 */
import {z} from 'zod';
import {CarobquayError} from '../errors/errors.js';
import {explainPlacement, type ExplainPlacementOptions} from './explain-placement.js';
import {OperatorClient, type OperatorOptions} from './operator-client.js';
import {print, printJson, printTable} from './output.js';

/** Options of the command. */
export type ExplainOptions = OperatorOptions & Partial<ExplainPlacementOptions> & {
	class?: string;
	model?: string;
	/** UTF-8 bytes of the prompt. */
	promptBytes?: string;
};

/** Used where the prompt is not described. */
const defaultPromptBytes = '4000';
const defaultAnswerTokens = '256';

const explanationShape = z.looseObject({
	pools: z.array(z.object({pool: z.string(), matches: z.boolean(), unmet: z.string().optional()})),
	candidates: z.array(z.object({upstream: z.string(), score: z.number().optional(), excludedBecause: z.string().optional()})),
});

/** Asks an instance and prints the pools and candidates, or the engines, that it would consider. */
export async function explain(options: ExplainOptions): Promise<void> {
	const {instance, customer, class: requestClass, promptBytes = defaultPromptBytes, answerTokens = defaultAnswerTokens} = options;
	if (instance !== undefined) {
		await explainPlacement({...options, instance});
		return;
	}

	if (customer === undefined || requestClass === undefined) {
		throw new CarobquayError('7002', {message: `required option '${customer === undefined ? '--customer <name>' : '--class <name>'}' not specified`});
	}

	const query = new URLSearchParams({
		customer, class: requestClass, prompt_bytes: promptBytes, answer_tokens: answerTokens,
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
