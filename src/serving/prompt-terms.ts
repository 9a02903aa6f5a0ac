/**
 * What a prompt's request says about its placement and its wait.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {CandidateCount} from '../placement/placement-decision.js';
import {shedRetryAfter, streamIdleTimeout} from '../placement/caller-timeouts.js';
import {combineHomeRegions} from '../placement/engine-eligibility.js';
import type {PromptDecision, PromptProgress, PromptRequirements} from '../placement/prompt-placement.js';
import {idleLatency, ServiceRanks} from '../placement/request-rank.js';
import {estimatePrefillTime} from '../placement/time-estimates.js';
import type {EngineChoiceInput} from './engine-chooser.js';
import type {EngineProfile} from './model.js';
import type {PrefillShares, PromptShare} from './prefill-shares.js';
import type {QueuedPrompt} from './prompt-queue.js';

/** Share of the route's timeout; a caller that states less time is taken to be retrying a request that was refused before. */
const retriedTimeoutShare = 0.95;

/** Factor on the backlog that a prompt tolerates whose customer is over its share: it waits or is refused before those of others. */
export const overShareFactor = 0.5;

/** Ranks of a service for which none are configured. */
const noRanks = new ServiceRanks([]);

/** Where a prompt stands among others: its rank, and its part in its customer's share; undefined where shares do not apply. */
export type Standing = {ranks: ServiceRanks; rank: number; share: PromptShare | undefined};

/** Standing of a prompt. Shares apply where ranks are configured, and to the first attempt. */
export function standingOf(input: EngineChoiceInput, prefillTime: number, shares: Pick<PrefillShares, 'shareOf'>, ranks: ServiceRanks = noRanks): Standing {
	const {service, route, customer, attempt} = input;
	const rank = ranks.rankOf(route, customer);
	if (!ranks.areConfigured || attempt > 1) {
		return {ranks, rank, share: undefined};
	}

	const share = shares.shareOf({
		service: service.name, rank, customer: customer?.name, prefillTime,
	});
	return {ranks, rank, share};
}

/** Requirements of a prompt, whose `remaining` time passes from now on. */
export function promptRequirementsOf(input: EngineChoiceInput, profile: EngineProfile, promptTokens: number, {ranks, rank, share}: Standing): PromptRequirements {
	const {headerValues: {maximumAnswerTokens, answerTokensHint, leadingPromptParts}, route, customer, remaining, isIsolated} = input;
	const startedAt = performance.now();
	const progress = progressOf(input);
	const {weight, sheddingLimit} = ranks.termsOf(rank, {
		promptTokens, latencyTarget: route.latencyTarget, timeLimit: route.timeout, progress,
	}, profile);
	return {
		promptTokens,
		answerTokens: Math.min(maximumAnswerTokens > 0 ? maximumAnswerTokens : Number.POSITIVE_INFINITY, answerTokensHint ?? profile.meanTokens.answer),
		latencyTarget: route.latencyTarget,
		eventGapTarget: route.eventGapTarget ?? Number.POSITIVE_INFINITY,
		progress,
		weight,
		sheddingLimit: sheddingLimit && (engineCount => {
			const limit = sheddingLimit(engineCount, share?.isOverShare() ? overShareFactor : 1);
			// A new prompt that has waited is late sooner.
			return progress === 'new' ? Math.min(limit, Math.max(0, route.latencyTarget - (performance.now() - startedAt))) : limit;
		}),
		isSplittable: !isIsolated,
		homeRegions: combineHomeRegions(route.homeRegions, customer?.homeRegions),
		leadingParts: route.reusesPrefix ? leadingPromptParts : [],
		get remaining() {
			return remaining - (performance.now() - startedAt);
		},
	};
}

/**
 * How a prompt waits; undefined where it does not: without ranks, and beyond the first attempt, as a hedge or a retry that
 * waits comes too late.
 */
export function queuedPromptOf(
	{service, attempt, isStreamInterrupted, signal, bodyBytes}: EngineChoiceInput,
	profile: EngineProfile, requirements: PromptRequirements, {ranks, rank, share}: Standing,
): Omit<QueuedPrompt, 'onWait'> | undefined {
	if (!ranks.areConfigured || attempt > 1 || isStreamInterrupted) {
		return undefined;
	}

	const {promptTokens, latencyTarget, progress} = requirements;
	return {
		service: service.name,
		rankIndex: ranks.indexOf(rank),
		isOverShare: () => share?.isOverShare() ?? false,
		bytes: bodyBytes ?? 0,
		prefillTime: estimatePrefillTime(profile, promptTokens),
		timeUntilLate: progress === 'new' ? latencyTarget : undefined,
		timeUntilAbandoned: Math.min(streamIdleTimeout(requirements), requirements.remaining),
		idleLatency: idleLatency(profile, promptTokens),
		signal,
	};
}

/** Refusal of a prompt that has waited and was not tried again, as it is hopeless or too many wait. */
export function removedFromQueue(requirements: PromptRequirements): Extract<PromptDecision, {kind: 'refuse'}> & CandidateCount {
	return {
		kind: 'refuse', reason: 'overloaded', retryAfter: shedRetryAfter(requirements, 0), candidates: 0, coolingDown: 0,
	};
}

function progressOf({attempt, isStreamInterrupted, headerValues, route}: EngineChoiceInput): PromptProgress {
	if (isStreamInterrupted) {
		return 'streaming';
	}

	return attempt > 1 || (headerValues.timeout ?? 0) < route.timeout * retriedTimeoutShare ? 'retried' : 'new';
}

/** What the engines of a placement are assigned. */
export function assignmentsOf({primary, primaryTokens, prefillHelpers, prefillTime}: Extract<PromptDecision, {kind: 'place'}>) {
	return [
		{
			engineId: primary.id, prefillTime, kvCacheTokens: primaryTokens, runsDecode: true,
		},
		...prefillHelpers.map(({record, reservedTokens}) => ({
			engineId: record.id, prefillTime, kvCacheTokens: reservedTokens, runsDecode: false,
		})),
	];
}
