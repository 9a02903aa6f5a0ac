/**
 * Chooses the engines that prefill a prompt and the one of them that decodes its answer.
 *
 * Every choice is scored by what it makes late: the prompt itself, and the answers whose events wait while an engine
 * prefills. Short prompts gather on the engines that come first in a common order. Long prompts start at the end of the
 * order and their prefill is split, so that the two interfere with each other only where the fleet is full.
 *
 * @module
 */
import type {EngineProfile, EngineRecord, PromptPart} from '../serving/model.js';
import {
	boundRetryAfter, minimumStreamIdleTimeout, shedRetryAfter, streamIdleTimeout,
} from './caller-timeouts.js';
import type {HomeRegions} from './engine-eligibility.js';
import {
	describePrompt, lateness, longPrefillThreshold, orderDecoders, type PromptCandidate, scoreCandidates, type ScoredCandidate, type ScoredPrompt,
} from './engine-scores.js';
import {estimatePrefillTime} from './time-estimates.js';

/**
 * Default weight of a prompt, where the configuration names no or one rank: a base weight, and one more for each of so many
 * prompt tokens. The worth that the sheets of several deployments state for short, medium and long prompts lies on this line.
 */
const baseWeight = 0.6;
const tokensPerWeightUnit = 7500;

/** Cost of one more engine, relative to the prompt's being late: each one may fail the whole prefill. */
const additionalEngineCost = 0.001;

/** Numbers of engines that are compared for one prompt; the protocol allows 16 beside the primary one. */
const engineCounts: readonly number[] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/** Time in milliseconds before the end of other prefills at which a held request is sent; connecting and transit take as long. */
const sendLeadTime = 10;

/** Shortest time in milliseconds for which holding a request is worth a timer. */
const minimumHoldTime = 15;

/**
 * Progress of a prompt's request: new; retried, after it was refused before or tried elsewhere, so that its answer is
 * late in any case; or streaming, with a part of its answer at the caller, where it can no longer be refused.
 */
export type PromptProgress = 'new' | 'retried' | 'streaming';

/** What a prompt requires of its placement. */
export type PromptRequirements = {
	promptTokens: number;
	answerTokens: number;
	latencyTarget: number;
	eventGapTarget: number;
	/** Time left until the request's deadline. */
	remaining: number;
	progress: PromptProgress;
	/** Whether several engines may prefill it where one alone holds it. */
	isSplittable: boolean;
	/** Regions whose engines may run it, as a whole or in parts; undefined for all. */
	homeRegions?: HomeRegions;
	/** Weight of its being late against that of other prompts; undefined for the one by its tokens. */
	weight?: number | undefined;
	/** Expected time to the first event beyond which it is refused while the fleet is overloaded, by the engines that may prefill it; undefined for the one by its progress. */
	sheddingLimit?: ((engineCount: number, backlogFactor?: number) => number) | undefined;
	/** Leading parts that other prompts may have too; empty or absent where engines hold none. */
	leadingParts?: readonly PromptPart[];
};

/** An engine that prefills a part of the prompt for the primary one. */
export type PrefillHelper = {
	record: EngineRecord;
	/** Tokens of its KV cache that the request reserves; 0 where it only prefills. */
	reservedTokens: number;
};

/** Where a prompt goes. */
export type PromptDecision = {
	kind: 'place';
	/** Engine that the request is sent to and that decodes the answer. */
	primary: EngineRecord;
	/** Tokens that the request takes of the primary engine's KV cache. */
	primaryTokens: number;
	prefillHelpers: readonly PrefillHelper[];
	/** Time that each of the engines prefills. */
	prefillTime: number;
	/** Time that the primary engine need not prefill, as it holds a prefix of the prompt. */
	savedPrefill: number;
	/** Time until the request is to be sent, so that its engines prefill it by itself and decoding requests wait for one prefill only. */
	holdTime: number;
	/** Expected time to the first event. */
	expectedLatency: number;
	/** Factor on the published times of the primary engine. */
	slowdown: number;
	weight: number;
	cost: number;
} | {
	kind: 'refuse';
	reason: 'no-engine' | 'too-late' | 'overloaded' | 'does-not-fit' | 'rate-limited' | 'paused' | 'cold';
	/** Time after which a retry makes sense. */
	retryAfter: number;
	/** Of a prompt refused because of overload: its expected latency and the limit that this exceeds. */
	overload?: {expectedLatency: number; sheddingLimit: number};
};

type PlaceDecision = Extract<PromptDecision, {kind: 'place'}>;

/**
 * Factors on the latency target beyond which a prompt is refused while the fleet is overloaded: queueing it would make it
 * late, and those behind it too. A retried one is late in any case and may wait longer.
 */
const loadSheddingLimits: Readonly<Record<PromptProgress, number>> = {new: 0.8, retried: 2, streaming: Number.POSITIVE_INFINITY};

/** Weight of a prompt where the configuration names no or one rank. */
export function weightByTokens(promptTokens: number): number {
	return baseWeight + (promptTokens / tokensPerWeightUnit);
}

/** Whether a prompt's prefill may be split between engines. */
export function isLongPrompt({promptTokens}: Pick<PromptRequirements, 'promptTokens'>, profile: EngineProfile): boolean {
	return estimatePrefillTime(profile, promptTokens) >= longPrefillThreshold;
}

/** Decides where a prompt goes, or that it cannot be served in time. */
export function placePrompt(requirements: PromptRequirements, profile: EngineProfile, candidates: readonly PromptCandidate[]): PromptDecision {
	const prompt = promptOf(requirements, profile);
	const {fullPrefillTime} = prompt;
	let best: PlaceDecision | undefined;
	for (const count of engineCounts) {
		if (count > candidates.length || (count > 1 && (fullPrefillTime < longPrefillThreshold || !requirements.isSplittable))) {
			break;
		}

		const decision = planPrefill(prompt, candidates, count);
		if (decision && (best === undefined || decision.cost < best.cost)) {
			best = decision;
		}
	}

	if (best === undefined) {
		return {kind: 'refuse', reason: candidates.length === 0 ? 'no-engine' : 'does-not-fit', retryAfter: boundRetryAfter(requirements, minimumStreamIdleTimeout)};
	}

	const {expectedLatency} = best;
	const {abandonedAfter, sheddingLimit} = refusalLimits(requirements, candidates.length);
	if (expectedLatency > abandonedAfter) {
		return {kind: 'refuse', reason: 'too-late', retryAfter: boundRetryAfter(requirements, expectedLatency - (abandonedAfter / 2))};
	}

	if (expectedLatency > sheddingLimit) {
		return {
			kind: 'refuse', reason: 'overloaded', retryAfter: shedRetryAfter(requirements, expectedLatency), overload: {expectedLatency, sheddingLimit},
		};
	}

	return best;
}

/** Expected times to the first event in milliseconds beyond which a prompt is refused: as its caller would give up, and because of overload. */
export function refusalLimits(requirements: PromptRequirements, candidateCount: number): {abandonedAfter: number; sheddingLimit: number} {
	return {
		abandonedAfter: Math.min(streamIdleTimeout(requirements), requirements.remaining),
		sheddingLimit: requirements.sheddingLimit?.(requirements.isSplittable ? candidateCount : 1) ?? loadSheddingLimits[requirements.progress] * requirements.latencyTarget,
	};
}

/** An engine in the order in which a prompt takes them. Times in milliseconds. */
export type RankedCandidate = {candidate: PromptCandidate; expectedLatency: number; savedPrefill: number};

/** Orders engines as a prompt takes them whose prefill is split between a number of engines. */
export function rankCandidates(requirements: PromptRequirements, profile: EngineProfile, candidates: readonly PromptCandidate[], count: number): RankedCandidate[] {
	const prompt = promptOf(requirements, profile);
	const scored = scoreCandidates(prompt, candidates, count);
	return [...new Set([...orderDecoders(prompt, scored, count), ...scored])].map(({candidate, prefillLatency, slotWait, savedPrefill}) => ({
		candidate, expectedLatency: prefillLatency + slotWait, savedPrefill,
	}));
}

function promptOf(requirements: PromptRequirements, profile: EngineProfile): ScoredPrompt {
	return describePrompt(requirements, requirements.weight ?? weightByTokens(requirements.promptTokens), profile);
}

/** Time until the engines at which requests decode have finished their prefills; 0 where it is too short for a timer. */
function holdTimeFor(used: readonly ScoredCandidate[]): number {
	const backlogs = used.filter(({candidate: {load}}) => load.running > 0).map(({candidate: {load}}) => load.prefillBacklog);
	const holdTime = Math.max(0, ...backlogs) - sendLeadTime;
	return holdTime < minimumHoldTime ? 0 : holdTime;
}

/** The best placement of a prompt whose prefill is split between a number of engines; undefined where their KV caches do not hold it. */
function planPrefill(prompt: ScoredPrompt, candidates: readonly PromptCandidate[], count: number): PlaceDecision | undefined {
	const allocation = allocateMemory(prompt, scoreCandidates(prompt, candidates, count), count);
	if (!allocation) {
		return undefined;
	}

	const {primary, prefillHelpers} = allocation;
	const used = [primary, ...prefillHelpers.map(helper => helper.scored)];
	const expectedLatency = Math.max(primary.prefillLatency + primary.slotWait, ...used.map(({prefillLatency}) => prefillLatency));
	const penalty = used.reduce((sum, one) => sum + one.penalty, 0);
	return {
		kind: 'place',
		primary: primary.candidate.record,
		primaryTokens: allocation.primaryTokens,
		prefillHelpers: prefillHelpers.map(({scored: {candidate}, reservedTokens}) => ({record: candidate.record, reservedTokens})),
		prefillTime: (prompt.fullPrefillTime / used.length) - primary.savedPrefill,
		savedPrefill: primary.savedPrefill,
		holdTime: prompt.fullPrefillTime < longPrefillThreshold ? 0 : holdTimeFor(used),
		expectedLatency,
		slowdown: primary.candidate.slowdown,
		weight: prompt.weight,
		cost: (prompt.weight * (lateness(expectedLatency, prompt) + (additionalEngineCost * (used.length - 1)))) + penalty,
	};
}

type MemoryAllocation = {
	primary: ScoredCandidate;
	primaryTokens: number;
	prefillHelpers: Array<{scored: ScoredCandidate; reservedTokens: number}>;
};

/**
 * Allocates KV cache memory for a prompt: at one engine if it fits, otherwise with reservations at engines that prefill
 * parts of it.
 *
 * @param scored - All engines, the best one to prefill first.
 * @param count - Number of engines that prefill.
 */
function allocateMemory(prompt: ScoredPrompt, scored: readonly ScoredCandidate[], count: number): MemoryAllocation | undefined {
	const [primary] = orderDecoders(prompt, scored, count);
	if (!primary) {
		return allocateAcrossEngines(prompt, scored, count);
	}

	return {
		primary,
		primaryTokens: prompt.totalTokens,
		prefillHelpers: scored.filter(one => one !== primary).slice(0, count - 1).map(one => ({scored: one, reservedTokens: 0})),
	};
}

/** Divides a prompt that no single engine's KV cache holds. */
function allocateAcrossEngines({totalTokens, answerTokens}: ScoredPrompt, scored: readonly ScoredCandidate[], count: number): MemoryAllocation | undefined {
	const chosen = scored.slice(0, count);
	const [primary, ...others] = chosen.filter(({slotWait}) => Number.isFinite(slotWait)).toSorted((one, other) => other.freeTokens - one.freeTokens);
	if (!primary || primary.freeTokens < answerTokens) {
		return undefined;
	}

	let missingTokens = totalTokens - primary.freeTokens;
	const prefillHelpers: MemoryAllocation['prefillHelpers'] = [];
	for (const one of [...others, ...scored.slice(count)]) {
		if (missingTokens <= 0 && !chosen.includes(one)) {
			break;
		}

		const reservedTokens = Math.ceil(Math.max(0, Math.min(missingTokens, Math.floor(one.freeTokens))));
		if (reservedTokens > 0 || chosen.includes(one)) {
			prefillHelpers.push({scored: one, reservedTokens});
			missingTokens -= reservedTokens;
		}
	}

	return missingTokens > 0 || prefillHelpers.length > maximumPrefillHelpers ? undefined : {primary, primaryTokens: primary.freeTokens, prefillHelpers};
}

/** Engines that may prefill beside the primary one, by the protocol. */
export const maximumPrefillHelpers = 16;
