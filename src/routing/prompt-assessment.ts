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
import type {Prompt, ScoredEngine} from './engine-scorer.js';
import type {EnginePool} from './engine-pool.js';
import type {FleetView, AssignedRequest} from './fleet-view.js';
import {tierForPrefillTime} from './tiers.js';

/** Wait relative to a prefill that does not disturb learning from its duration. */
const negligibleWaitRatio = 0.05;

/** Steps between the priorities of two classes, which leave room for the tiers of one class. */
const classPriorityStep = 4;
const tierPriorityOffset = {short: 2, medium: 1, long: 0} as const;

/** A prompt with all that deciding needs. */
export type AssessedPrompt = {
	facts: RequestFacts;
	requestClass: RequestClass;
	customer: Customer;
	pools: EnginePool[];
	prompt: Prompt;
	answerTokens: number;
};

/** Estimates a prompt's lengths and tier and finds its pools. */
export function assessPrompt(fleet: FleetView, facts: RequestFacts, {requestClass, customer, hasQueuedLongPrompts: longWaits}: AssessmentInput): AssessedPrompt {
	const model = facts.model!;
	const pools = fleet.selection.pools(requestClass.name, model, undefined)
		.map(({pool}) => fleet.pools.get(pool.name)!);
	const promptTokens = fleet.lengthEstimate.expectedTokens(model, facts.promptBytes);
	const answerTokens = fleet.answerEstimate.estimateTokens(requestClass.name, facts.maximumAnswerTokens);
	const prompt: Prompt = {
		requestId: facts.requestId,
		tier: tierForPrefillTime(pools[0]?.rate.prefillTime(promptTokens) ?? 0),
		promptTokens,
		totalTokens: promptTokens + answerTokens,
		prefixHashes: facts.prefixHashes,
		tokensPerHash: fleet.tokensPerHash(model),
		excluded: facts.excluded,
		hasQueuedLongPrompts: pools.some(pool => longWaits(pool)),
		previousAttempts: facts.excluded.length,
	};
	return {
		facts, requestClass, customer, pools, prompt, answerTokens,
	};
}

/** What an assessment takes from the configuration and the queue. */
export type AssessmentInput = {
	requestClass: RequestClass;
	customer: Customer;
	/** Whether long prompts wait for a pool. */
	hasQueuedLongPrompts: (pool: EnginePool) => boolean;
};

/** Divides or refuses a prompt that fits no engine. */
export function decideOversizedPrompt(fleet: FleetView, {facts, requestClass, pools, prompt}: AssessedPrompt): Decision | undefined {
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
export function assignPrompt(fleet: FleetView, assessed: AssessedPrompt, chosen: ChosenEngine): SendDecision {
	const {facts, prompt, answerTokens} = assessed;
	const {engine, assignedAt: now} = chosen;
	const entry: InFlightRequest = {
		requestId: facts.requestId,
		promptTokens: prompt.promptTokens,
		cachedTokens: engine.cachedTokens,
		totalTokens: prompt.promptTokens + answerTokens,
		prefillTime: engine.prefillTime,
		isLong: prompt.tier === 'long',
		hasNoPrefillAhead: engine.expectedWait <= negligibleWaitRatio * engine.prefillTime,
		sentAt: now,
		firstTokenAt: undefined,
		lastTokenAt: undefined,
	};
	fleet.assign(facts, engine.view, entry);
	return buildSendDecision(assessed, chosen);
}

/** The engine that was chosen, and what the decision line says of the choice. */
export type ChosenEngine = {
	engine: ScoredEngine;
	assignedAt: number;
	secondBest?: ScoredEngine | undefined;
	candidateCount?: number;
	reason: SendReason;
};

/** The decision to send a prompt. */
export function buildSendDecision({pools, prompt, requestClass}: AssessedPrompt, {engine, secondBest: second, candidateCount: candidates = 1, reason}: ChosenEngine): SendDecision {
	const pool = pools.find(candidate => candidate.position(engine.view.name) !== undefined) ?? pools[0]!;
	return {
		kind: 'send',
		upstream: engine.view.name,
		pool: pool.definition.name,
		tier: prompt.tier,
		score: engine.score,
		secondBest: second?.view.name,
		secondBestScore: second?.score,
		candidateCount: candidates,
		promptTokens: prompt.promptTokens,
		cachedTokens: engine.cachedTokens,
		priority: (requestClass.priority * classPriorityStep) + tierPriorityOffset[prompt.tier],
		isReservationRequired: false,
		reason,
	};
}

/** The engine of a prompt that is in flight already. */
export function assignedEngine({loadView: view, entry}: AssignedRequest): ScoredEngine {
	return {
		view, score: entry.prefillTime, cachedTokens: entry.cachedTokens, prefillTime: entry.prefillTime, expectedWait: 0, hasEnoughMemory: true,
	};
}

/** Why the best of the scored engines was chosen. */
export function sendReason(best: ScoredEngine, scored: readonly ScoredEngine[]): SendReason {
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
