/**
 * A bound to compare with: one decider that knows all engine state at no lag and takes the least time to first token.
 *
 * @module
 */
import type {RequestFacts} from '../../src/routing/decision.js';
import {
	type BaselineEngine, type Choice, type ChoiceContext, leastBy,
} from './baselines.js';
import type {SimulatedEngine} from './simulated-engine.js';

/** Chooses by the engines' own state. */
export class ClairvoyantChoice implements Choice {
	readonly #engines: ReadonlyMap<string, SimulatedEngine>;
	readonly #bytesPerToken: number;
	readonly #priorityOf: (requestClass: string) => number;

	constructor(engines: readonly SimulatedEngine[], bytesPerToken: number, priorityOf: (requestClass: string) => number) {
		this.#engines = new Map(engines.map(engine => [engine.name, engine]));
		this.#bytesPerToken = bytesPerToken;
		this.#priorityOf = priorityOf;
	}

	choose({engines, facts}: ChoiceContext): BaselineEngine {
		const alive = engines.filter(({name}) => this.#engines.get(name)!.alive);
		return leastBy(alive.length > 0 ? alive : engines, ({name}) => this.#timeToFirstToken(this.#engines.get(name)!, facts));
	}

	#timeToFirstToken(engine: SimulatedEngine, facts: RequestFacts): number {
		const {parameters} = engine.model;
		const priority = this.#priorityOf(facts.requestClass);
		let time = prefillTime(engine, 0, facts.promptBytes / this.#bytesPerToken);
		let blocks = engine.model.blocksFor(facts.promptBytes / this.#bytesPerToken, facts.maximumAnswerTokens) - engine.model.load().freeBlocks;
		for (const {request, prefilled, cachedTokens, state} of engine.streams.values()) {
			const begun = !parameters.chunkedPrefill && prefilled > cachedTokens;
			if (state !== 'decoding' && (request.priority >= priority || begun)) {
				time += prefillTime(engine, prefilled, request.promptTokens - prefilled);
			}

			// Memory that is missing has to be waited for, longest where answers have far to go.
			if (blocks > 0 && state === 'decoding') {
				blocks -= engine.model.blocksFor(request.promptTokens, request.answerTokens);
				time += (request.answerTokens / 2) * parameters.stepBase;
			}
		}

		return time;
	}
}

function prefillTime(engine: SimulatedEngine, context: number, tokens: number): number {
	const {prefillPerToken, prefillPerTokenContext, stepBase, chunkTokens} = engine.model.parameters;
	return (tokens * (prefillPerToken + (((context + (tokens / 2)) / 1000) * prefillPerTokenContext))) + ((stepBase * tokens) / chunkTokens);
}
