/**
 * What deciding needs to know of a prompt, and the decision to send it.
 *
 * @module
 */
import type {Customer, RequestClass} from '../configuration/model.js';
import type {InFlightRequest} from '../upstream/load-view.js';
import type {
	Decision, RefuseDecision, RequestFacts, SendDecision, SendReason,
} from './decision.js';
import {planDivision} from './division.js';
import type {Prompt, ScoredEngine} from './engine-choice.js';
import type {EnginePool} from './engine-pool.js';
import type {FleetView, AssignedRequest} from './fleet-view.js';
import {tierOf} from './tiers.js';

/** Wait relative to a prefill that does not disturb learning from its duration. */
const negligibleWait = 0.05;

/** Steps between the priorities of two classes, which leave room for the tiers of one class. */
const classPriorityStep = 4;
const tierPriority = {short: 2, medium: 1, long: 0} as const;

/** A prompt with all that deciding needs. */
export type Assessed = {
	facts: RequestFacts;
	requestClass: RequestClass;
	customer: Customer;
	pools: EnginePool[];
	prompt: Prompt;
	answerTokens: number;
};

/** Estimates a prompt's lengths and tier and finds its pools. */
export function assessPrompt(fleet: FleetView, facts: RequestFacts, {requestClass, customer, longWaits}: AssessContext): Assessed {
	const model = facts.model!;
	const pools = fleet.selection.pools(requestClass.name, model, undefined)
		.map(({pool}) => fleet.pools.get(pool.name)!);
	const promptTokens = fleet.lengthEstimate.expectedTokens(model, facts.promptBytes);
	const answerTokens = fleet.answerEstimate.tokens(requestClass.name, facts.maximumAnswerTokens);
	const prompt: Prompt = {
		requestId: facts.requestId,
		tier: tierOf(pools[0]?.rate.prefillTime(promptTokens) ?? 0),
		promptTokens,
		totalTokens: promptTokens + answerTokens,
		prefixHashes: facts.prefixHashes,
		tokensPerHash: fleet.tokensPerHash(model),
		excluded: facts.excluded,
		longWaits: pools.some(pool => longWaits(pool)),
		attempt: facts.excluded.length,
	};
	return {
		facts, requestClass, customer, pools, prompt, answerTokens,
	};
}

/** What an assessment takes from the configuration and the queue. */
export type AssessContext = {
	requestClass: RequestClass;
	customer: Customer;
	/** Whether long prompts wait for a pool. */
	longWaits: (pool: EnginePool) => boolean;
};

/** Divides or refuses a prompt that fits no engine. */
export function decideUnfit(fleet: FleetView, {facts, requestClass, pools, prompt}: Assessed): Decision | undefined {
	let capacity = 0;
	for (const pool of pools) {
		for (const {totalKvCacheTokens: totalTokens} of pool.members) {
			// An engine that has not reported yet may hold anything; it refuses by itself what it cannot.
			capacity = Math.max(capacity, totalTokens ?? Number.POSITIVE_INFINITY);
		}
	}

	const cautious = fleet.lengthEstimate.conservativeTokens(facts.model!, facts.promptBytes);
	if (cautious + facts.maximumAnswerTokens <= capacity) {
		return undefined;
	}

	const plan = requestClass.divisible
		? planDivision({
			messageTokens: facts.messageBytes.map(bytes => fleet.lengthEstimate.conservativeTokens(facts.model!, bytes)),
			capacity,
			answerTokens: facts.maximumAnswerTokens,
		})
		: undefined;
	if (plan) {
		return {kind: 'divide', promptTokens: prompt.promptTokens, plan};
	}

	const obstacle = requestClass.divisible ? 'and has no message boundaries at which its parts would fit' : `and class "${requestClass.name}" does not allow dividing`;
	return refuse('3003', undefined, `prompt of about ${prompt.promptTokens} tokens exceeds the ${capacity} tokens of the largest engine ${obstacle}`);
}

/** Counts a prompt as in flight at the chosen engine and makes the decision. */
export function sendPrompt(fleet: FleetView, assessed: Assessed, chosen: Chosen): SendDecision {
	const {facts, prompt, answerTokens} = assessed;
	const {engine, now} = chosen;
	const entry: InFlightRequest = {
		requestId: facts.requestId,
		promptTokens: prompt.promptTokens,
		cachedTokens: engine.cachedTokens,
		totalTokens: prompt.promptTokens + answerTokens,
		prefillTime: engine.prefillTime,
		isLong: prompt.tier === 'long',
		hasNoPrefillAhead: engine.wait <= negligibleWait * engine.prefillTime,
		sentAt: now,
		firstTokenAt: undefined,
		lastTokenAt: undefined,
	};
	fleet.assign(facts, engine.view, entry);
	return sendDecision(assessed, chosen);
}

/** The engine that was chosen, and what the decision line says of the choice. */
export type Chosen = {
	engine: ScoredEngine;
	now: number;
	second?: ScoredEngine | undefined;
	candidates?: number;
	reason: SendReason;
};

/** The decision to send a prompt. */
export function sendDecision({pools, prompt, requestClass}: Assessed, {engine, second, candidates = 1, reason}: Chosen): SendDecision {
	const pool = pools.find(candidate => candidate.position(engine.view.name) !== undefined) ?? pools[0]!;
	return {
		kind: 'send',
		upstream: engine.view.name,
		pool: pool.pool.name,
		tier: prompt.tier,
		score: engine.score,
		second: second?.view.name,
		secondScore: second?.score,
		candidates,
		promptTokens: prompt.promptTokens,
		cachedTokens: engine.cachedTokens,
		priority: (requestClass.priority * classPriorityStep) + tierPriority[prompt.tier],
		reserve: false,
		reason,
	};
}

/** The engine of a prompt that is in flight already. */
export function placedEngine({loadView: view, entry}: AssignedRequest): ScoredEngine {
	return {
		view, score: entry.prefillTime, cachedTokens: entry.cachedTokens, prefillTime: entry.prefillTime, wait: 0, fits: true,
	};
}

/** Why the best of the scored engines was chosen. */
export function reasonOf(best: ScoredEngine, scored: readonly ScoredEngine[]): SendReason {
	if (scored.length === 1) {
		return 'only-candidate';
	}

	return best.cachedTokens > 0 ? 'prefix-hit' : 'least-cost';
}

/** A refusal; nothing ran. */
export function refuse(code: RefuseDecision['code'], retryAfter: number | undefined, reason: string): RefuseDecision {
	return {
		kind: 'refuse', code, retryAfter: retryAfter === undefined ? undefined : Math.ceil(retryAfter), reason,
	};
}
