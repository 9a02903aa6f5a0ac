/**
 * Estimates that routing decisions on a prompt are based on, and the decisions to send, divide or refuse it.
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

/** Maximum expected wait, relative to the prefill time, at which the time to first token is learnt from as a prefill time. */
const negligibleWaitRatio = 0.05;

/** Difference between the engine priorities of adjacent class priorities; it leaves room for the tiers of one class. */
const classPriorityStep = 4;

/** Added to the priority of a class; shorter prompts run first. */
const tierPriorityOffset = {short: 2, medium: 1, long: 0} as const;

/** A prompt with its class, customer, matching engine pools and estimates. */
export type AssessedPrompt = {
	facts: RequestFacts;
	requestClass: RequestClass;
	customer: Customer;
	pools: EnginePool[];
	prompt: Prompt;
	answerTokens: number;
};

/** Estimates a prompt's lengths and tier and finds the pools that serve it. */
export function assessPrompt(fleet: FleetView, facts: RequestFacts, {requestClass, customer, hasQueuedLongPrompts}: AssessmentInput): AssessedPrompt {
	const model = facts.model!;
	const pools = fleet.selection.pools(requestClass.name, model, undefined)
		.map(({pool}) => fleet.pools.get(pool.name)!);
	const promptTokens = fleet.promptLengthEstimator.expectedTokens(model, facts.promptBytes);
	const answerTokens = fleet.answerEstimator.estimateTokens(requestClass.name, facts.maximumAnswerTokens);
	const prompt: Prompt = {
		requestId: facts.requestId,
		tier: tierForPrefillTime(pools[0]?.prefillEstimator.prefillTime(promptTokens) ?? 0),
		promptTokens,
		totalTokens: promptTokens + answerTokens,
		prefixHashes: facts.prefixHashes,
		tokensPerHash: fleet.tokensPerHash(model),
		excluded: facts.excluded,
		hasQueuedLongPrompts: pools.some(pool => hasQueuedLongPrompts(pool)),
		previousAttempts: facts.excluded.length,
	};
	return {
		facts, requestClass, customer, pools, prompt, answerTokens,
	};
}

/** What an assessment takes from the configuration and from the queue. */
export type AssessmentInput = {
	requestClass: RequestClass;
	customer: Customer;
	/** Whether long prompts are queued for a pool. */
	hasQueuedLongPrompts: (pool: EnginePool) => boolean;
};

/** Divides or refuses a prompt that may be too large for every engine; undefined if it fits. */
export function decideOversizedPrompt(fleet: FleetView, {facts, requestClass, pools, prompt}: AssessedPrompt): Decision | undefined {
	let capacity = 0;
	for (const pool of pools) {
		for (const {totalKvCacheTokens: totalTokens} of pool.members) {
			// The capacity of an engine without a load report is unknown, so it counts as unlimited; the engine itself refuses a prompt that is too large.
			capacity = Math.max(capacity, totalTokens ?? Number.POSITIVE_INFINITY);
		}
	}

	const maximumPromptTokens = fleet.promptLengthEstimator.conservativeTokens(facts.model!, facts.promptBytes);
	if (maximumPromptTokens + facts.maximumAnswerTokens <= capacity) {
		return undefined;
	}

	const plan = requestClass.divisible
		? planDivision({
			messageTokens: facts.messageBytes.map(bytes => fleet.promptLengthEstimator.conservativeTokens(facts.model!, bytes)),
			capacity,
			answerTokens: facts.maximumAnswerTokens,
		})
		: undefined;
	if (plan) {
		return {kind: 'divide', promptTokens: prompt.promptTokens, plan};
	}

	const obstacle = requestClass.divisible ? 'and cannot be divided at its message boundaries into parts that fit' : `and class "${requestClass.name}" does not allow it to be divided`;
	return refuse('3003', undefined, `prompt of about ${prompt.promptTokens} tokens exceeds the ${capacity} tokens of the largest engine ${obstacle}`);
}

/** Counts a prompt as in flight at the chosen engine and returns the decision to send it there. */
export function assignPrompt(fleet: FleetView, assessed: AssessedPrompt, chosen: ChosenEngine): SendDecision {
	const {facts, prompt, answerTokens} = assessed;
	const {engine, assignedAt} = chosen;
	const entry: InFlightRequest = {
		requestId: facts.requestId,
		promptTokens: prompt.promptTokens,
		cachedTokens: engine.cachedTokens,
		totalTokens: prompt.promptTokens + answerTokens,
		prefillTime: engine.prefillTime,
		isLong: prompt.tier === 'long',
		hasNoPrefillAhead: engine.expectedWait <= negligibleWaitRatio * engine.prefillTime,
		sentAt: assignedAt,
		firstTokenAt: undefined,
		lastTokenAt: undefined,
	};
	fleet.assign(facts, engine.view, entry);
	return buildSendDecision(assessed, chosen);
}

/** The chosen engine, and the fields of the decision log line that describe the choice. */
export type ChosenEngine = {
	engine: ScoredEngine;
	assignedAt: number;
	secondBest?: ScoredEngine | undefined;
	candidateCount?: number;
	reason: SendReason;
};

/** Builds the decision to send a prompt to the chosen engine. */
export function buildSendDecision({pools, prompt, requestClass}: AssessedPrompt, {engine, secondBest, candidateCount = 1, reason}: ChosenEngine): SendDecision {
	const pool = pools.find(candidate => candidate.position(engine.view.name) !== undefined) ?? pools[0]!;
	return {
		kind: 'send',
		upstream: engine.view.name,
		pool: pool.definition.name,
		tier: prompt.tier,
		score: engine.score,
		secondBest: secondBest?.view.name,
		secondBestScore: secondBest?.score,
		candidateCount,
		promptTokens: prompt.promptTokens,
		cachedTokens: engine.cachedTokens,
		priority: (requestClass.priority * classPriorityStep) + tierPriorityOffset[prompt.tier],
		isReservationRequired: false,
		reason,
	};
}

/** Scored form of the engine that a prompt is already assigned to. */
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

/** Builds the refusal of a request that did not run; `retryAfter` is in milliseconds and rounded up. */
export function refuse(code: RefuseDecision['code'], retryAfter: number | undefined, reason: string): RefuseDecision {
	return {
		kind: 'refuse', code, retryAfter: retryAfter === undefined ? undefined : Math.ceil(retryAfter), reason,
	};
}
