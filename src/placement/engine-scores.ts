/**
 * Scores engines for a prompt: the time to its first event there, and what it makes late beside.
 *
 * @module
 */
import type {EngineProfile, EngineRecord} from '../serving/model.js';
import type {EngineLoadSnapshot, DecodingRequest} from './load-tracker.js';
import {rewardsForSavedPrefill} from './retained-prefix.js';
import {estimateIterationTime, estimatePrefillTime} from './time-estimates.js';

/**
 * Shares of the latency target between which a first event goes from surely on time to surely late. A long prompt that
 * is prefilled early frees its engines for the next one, so that its time counts from the start.
 */
const onTimeShares = {short: 0.5, long: 0.1};
const lateShare = 1.05;

/** Cost of being later still, for a delay of the whole time until the deadline, relative to being late. */
const furtherDelayCost = 0.1;

/** Shares of the event gap target between which a decoding request goes from undisturbed to disturbed. */
const onTimeGapShare = 0.9;
const lateGapShare = 1.1;

/** Cost of an engine that is cooling down, relative to the prompt's being late. */
const cooldownCost = 1.5;

/** Cost that keeps the common order where all else is equal, for the whole span of positions. */
const positionCost = 0.2;

/** Cost of a cold engine beyond that of its position, relative to the prompt's being late: more than that of another failure domain, so that prompts go to warm engines there. */
const coldCost = 0.25;

/** Prefill time in milliseconds from which a prompt is placed from the end of the order and its prefill may be split. */
export const longPrefillThreshold = 150;

/** Scheduler iterations until the first event of a prompt that is prefilled: the one under way and its own. */
const iterationsToFirstEvent = 1.5;

/** Factor on an engine's slots beyond which its queue counts as full; engines queue a few more requests than they run. */
const fullQueueFactor = 2;

/** Share of an engine's KV cache that may be allocated. */
const usableKvCacheShare = 0.97;

/** One engine that may be chosen. */
export type PromptCandidate = {
	record: EngineRecord;
	load: EngineLoadSnapshot;
	/** Factor on its published times. */
	slowdown: number;
	isCoolingDown: boolean;
	/** Whether it started a moment ago: it answers slowly, and its allowance is small. */
	isCold?: boolean;
	/** Position in the order in which engines are filled, from 0 to 1. */
	position: number;
	/** Requests that other instances may have placed there without its being known yet. */
	unheardRequests?: number;
	/** Prefill time that a prefix which the engine holds would save. */
	savedPrefill?: number;
};

/** What a prompt's engines are scored by. Times in milliseconds. */
export type ScoredPrompt = {
	profile: EngineProfile;
	weight: number;
	latencyTarget: number;
	/** Time left until the request's deadline. */
	remaining: number;
	/** Time to prefill the whole prompt on one engine. */
	fullPrefillTime: number;
	answerTokens: number;
	/** Prompt and answer tokens together. */
	totalTokens: number;
	/** Share of the latency target up to which the first event is surely on time. */
	onTimeShare: number;
	/** Converts a penalty to time by what a later first event costs over the span in which it turns late. */
	timePerPenalty: number;
};

/** What a prompt requires of its engines. Times in milliseconds. */
export type ScoredRequirements = Pick<ScoredPrompt, 'latencyTarget' | 'remaining' | 'answerTokens'> & {promptTokens: number};

/** One engine and what a prompt makes late there. Times in milliseconds. */
export type ScoredCandidate = {
	candidate: PromptCandidate;
	/** Expected time until its part is prefilled and the iteration is over. */
	prefillLatency: number;
	/** Time that a request waits for one of its slots to decode; infinite where its queue is full. */
	slotWait: number;
	/** Cost of using it, apart from the time. */
	penalty: number;
	/** Prefill time that it saves by a prefix that it holds. */
	savedPrefill: number;
	freeTokens: number;
};

/** Describes a prompt for scoring. */
export function describePrompt({promptTokens, answerTokens, latencyTarget, remaining}: ScoredRequirements, weight: number, profile: EngineProfile): ScoredPrompt {
	const fullPrefillTime = estimatePrefillTime(profile, promptTokens);
	const onTimeShare = fullPrefillTime < longPrefillThreshold ? onTimeShares.short : onTimeShares.long;
	return {
		profile, weight, latencyTarget, remaining, fullPrefillTime, answerTokens, totalTokens: promptTokens + answerTokens, onTimeShare,
		timePerPenalty: latencyTarget * (lateShare - onTimeShare) / weight,
	};
}

/** Scores engines of which a number prefill a prompt, the best one to prefill first. */
export function scoreCandidates(prompt: ScoredPrompt, candidates: readonly PromptCandidate[], count: number): readonly ScoredCandidate[] {
	const partTime = prompt.fullPrefillTime / count;
	return rewardSavedPrefill(prompt, candidates.map(candidate => scoreCandidate(prompt, candidate, partTime))).toSorted((one, other) => rankingTime(prompt, one) - rankingTime(prompt, other));
}

/** Engines that can hold a whole prompt, the best one to decode its answer first. @param count - Number of engines that prefill. */
export function orderDecoders(prompt: ScoredPrompt, scored: readonly ScoredCandidate[], count: number): readonly ScoredCandidate[] {
	const fitting = scored.filter(({freeTokens, slotWait}) => freeTokens >= prompt.totalTokens && Number.isFinite(slotWait));
	// One engine alone is chosen by what it makes late, so that engines fill up in their order while nothing is late.
	const cost = (one: ScoredCandidate) => count === 1
		? (prompt.weight * lateness(one.prefillLatency + one.slotWait, prompt)) + one.penalty
		: rankingTime(prompt, one) + one.slotWait;
	return fitting.toSorted((one, other) => cost(one) - cost(other));
}

/** Time by which engines are ordered to prefill. */
function rankingTime({timePerPenalty}: ScoredPrompt, {prefillLatency, penalty}: ScoredCandidate): number {
	return prefillLatency + (penalty * timePerPenalty);
}

function scoreCandidate(
	{profile, weight, fullPrefillTime, totalTokens}: ScoredPrompt,
	{
		record, load, slowdown, isCoolingDown, isCold = false, position, unheardRequests = 0, savedPrefill: heldPrefill = 0,
	}: PromptCandidate,
	fullPartTime: number,
): ScoredCandidate {
	const slots = Math.min(record.slots, profile.slots);
	const iterationTime = estimateIterationTime(profile, load.running + 1, load.kvCacheTokens + totalTokens);
	const timePerFreeSlot = profile.meanTokens.answer / profile.stepsPerIteration * iterationTime / slots;
	const freeTokens = (profile.kvCacheTokens * usableKvCacheShare) - load.kvCacheTokens;
	// An engine keeps a prefix only while it has memory; of a split prompt, each engine prefills another part.
	const isReused = fullPartTime === fullPrefillTime && freeTokens >= totalTokens && load.running < slots;
	const savedPrefill = isReused ? Math.min(heldPrefill, fullPrefillTime) : 0;
	const partTime = fullPartTime - savedPrefill;
	const prefillLatency = slowdown * (load.prefillBacklog + partTime + (iterationsToFirstEvent * iterationTime));
	const isHeld = fullPrefillTime >= longPrefillThreshold;
	const gapBefore = iterationTime + load.longestPrefill;
	const gapAfter = isHeld ? iterationTime + Math.max(load.longestPrefill, partTime) : gapBefore + partTime;
	return {
		candidate: {
			record, load, slowdown, isCoolingDown, isCold, position,
		},
		prefillLatency,
		slotWait: load.running >= slots * fullQueueFactor ? Number.POSITIVE_INFINITY : Math.max(0, load.running + unheardRequests + 1 - slots) * timePerFreeSlot * slowdown,
		penalty: interferenceCost(load.decodingRequests, gapBefore, gapAfter)
			+ (isCoolingDown ? weight * cooldownCost : 0)
			+ (isCold ? positionCost + (weight * coldCost) : 0)
			+ (positionCost * (fullPrefillTime < longPrefillThreshold ? position : 1 - position)),
		savedPrefill,
		freeTokens,
	};
}

/** Lowers the cost of engines that hold a prefix of the prompt. */
function rewardSavedPrefill({fullPrefillTime}: ScoredPrompt, scored: readonly ScoredCandidate[]): readonly ScoredCandidate[] {
	const rewards = rewardsForSavedPrefill(scored.map(({savedPrefill, candidate: {load, slowdown}, slotWait}) => ({savedPrefill, wait: (slowdown * load.prefillBacklog) + slotWait})), fullPrefillTime);
	return rewards ? scored.map((one, index) => ({...one, penalty: one.penalty - rewards[index]!})) : scored;
}

/** Cost of a longer event gap to the requests that decode at an engine. */
function interferenceCost(decodingRequests: readonly DecodingRequest[], gapBefore: number, gapAfter: number): number {
	let cost = 0;
	for (const {eventGapTarget, weight} of decodingRequests) {
		cost += weight * (gapLateness(gapAfter, eventGapTarget) - gapLateness(gapBefore, eventGapTarget));
	}

	return cost;
}

/** Lateness of an event after a gap: 0 on time or without a target, 1 late. */
function gapLateness(gap: number, eventGapTarget: number): number {
	return Number.isFinite(eventGapTarget) ? clamp((gap - (onTimeGapShare * eventGapTarget)) / ((lateGapShare - onTimeGapShare) * eventGapTarget)) : 0;
}

/** Lateness of a first event: 0 on time, 1 late, and somewhat more the longer it takes. */
export function lateness(expectedLatency: number, {latencyTarget, remaining, onTimeShare}: ScoredPrompt): number {
	const late = clamp((expectedLatency - (onTimeShare * latencyTarget)) / ((lateShare - onTimeShare) * latencyTarget));
	return late + (furtherDelayCost * expectedLatency / Math.max(expectedLatency, remaining));
}

function clamp(value: number): number {
	return Math.min(1, Math.max(0, value));
}
