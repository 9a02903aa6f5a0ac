/**
 * Chooses the engines that read a prompt and the one that writes its answer.
 *
 * Every choice is weighed by what it makes late: the prompt itself, and the answers that wait while an engine reads.
 * Short prompts gather on the engines that come first in a common order, long ones begin at its end and are read in
 * parts, so that the two disturb each other only where the fleet is full.
 *
 * @module
 */
import type {EngineProfile, EngineRecord} from '../serving/model.js';
import type {EngineLoadSnapshot, DecodingRequest} from './load-tracker.js';
import {estimateIterationTime, estimatePrefillTime} from './time-estimates.js';

/** Weight of a prompt: a part for each, and tokens that add one more; the sheets' worth of short, medium and long prompts lies on this line. */
const baseWeight = 0.6;
const tokensPerWeightUnit = 7500;

/**
 * Shares of the target between which a first event goes from surely on time to surely late. A long prompt that is read
 * early leaves its engines to the next one, so that time counts from the start.
 */
const onTimeShares = {short: 0.5, long: 0.1};
const lateShare = 1.05;

/** What being later still costs, for a whole deadline, relative to being late. */
const furtherDelayCost = 0.1;

/** Shares of a pause's target between which a writer goes from undisturbed to disturbed. */
const onTimeGapShare = 0.9;
const lateGapShare = 1.1;

/** What one more engine costs, relative to the prompt's being late: each one may fail the whole reading. */
const additionalEngineCost = 0.001;

/** What an engine that failed of late costs, relative to the prompt's being late. */
const cooldownCost = 1.5;

/** Cost that keeps the common order where all else is equal, for the whole order. */
const positionCost = 0.2;

/** Reading time in milliseconds from which a prompt is read from the end of the order and may be divided. */
export const longPrefillThreshold = 150;

/** Numbers of engines that are weighed for one prompt; the protocol allows 16 beside the first. */
const engineCounts: readonly number[] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/** Passes until the first event of a prompt that is read: the one under way and its own. */
const iterationsToFirstEvent = 1.5;

/** Factor on an engine's places beyond which its queue counts as full; engines queue a few more than they run. */
const fullQueueFactor = 2;

/** Share of an engine's memory that may be promised. */
const usableKvCacheShare = 0.97;

/** Callers give up a stream after the longest of this time in milliseconds and these factors on its targets, by the protocol. */
const minimumStreamIdleTimeout = 2000;
const streamIdleTimeoutPerLatencyTarget = 4;
const streamIdleTimeoutPerEventGap = 8;

/** Time in milliseconds before the end of other reading at which a held request is sent; the way there and a connection take as long. */
const sendLeadTime = 10;

/** Least time in milliseconds for which holding a request is worth a timer. */
const minimumHoldTime = 15;

/**
 * How far a prompt has come: new, turned away before or tried elsewhere, so that its answer is late in any case, or with a
 * part of its answer at the caller, where it can no longer be turned away.
 */
export type PromptProgress = 'fresh' | 'returning' | 'begun';

/** What is asked of a prompt. */
export type PromptRequirements = {
	promptTokens: number;
	answerTokens: number;
	latencyTarget: number;
	eventGapTarget: number;
	/** Time that is left of the request. */
	remaining: number;
	progress: PromptProgress;
};

/** One engine that may be chosen. */
export type PromptCandidate = {
	record: EngineRecord;
	load: EngineLoadSnapshot;
	/** Factor on its published times. */
	slowdown: number;
	isCoolingDown: boolean;
	/** Place in the order in which engines are filled, from 0 to 1. */
	position: number;
};

/** An engine that reads a part of the prompt. */
export type PrefillHelper = {
	record: EngineRecord;
	/** Tokens of its memory that the request reserves; 0 where it only reads. */
	reservedTokens: number;
};

/** Where a prompt goes. */
export type PromptDecision = {
	kind: 'place';
	primary: EngineRecord;
	/** Tokens that the first engine's memory takes. */
	primaryTokens: number;
	prefillHelpers: readonly PrefillHelper[];
	/** Time that each of the engines reads. */
	prefillTime: number;
	/** Time until the request is to be sent, so that its engines read it by itself and writers wait for one reading only. */
	holdTime: number;
	/** Expected time to the first event. */
	expectedLatency: number;
	weight: number;
	cost: number;
} | {
	kind: 'refuse';
	reason: 'no-engine' | 'too-late' | 'overloaded' | 'does-not-fit';
	/** Time after which asking again makes sense. */
	retryAfter: number;
};

type PlaceDecision = Extract<PromptDecision, {kind: 'place'}>;

/**
 * Factors on the target beyond which a prompt is turned away while the fleet is overloaded: queueing it would make it
 * late, and those behind it too. One that comes back is late in any case and may wait longer.
 */
const loadSheddingLimits: Readonly<Record<PromptProgress, number>> = {fresh: 0.8, returning: 2, begun: Number.POSITIVE_INFINITY};

/** Least Retry-After of such a prompt, as a factor on its target: a burst is over by then, or the caller's third of its time. */
const shedRetryFactor = 10;

/** Least Retry-After in milliseconds; work placed meanwhile is known by then. */
const minimumRetryAfter = 100;

/** Longest time in milliseconds until the first event, or between events, that a caller stays for. */
export function streamIdleTimeout({target, gapTarget}: {target: number; gapTarget: number}): number {
	return Math.max(minimumStreamIdleTimeout, streamIdleTimeoutPerLatencyTarget * target, Number.isFinite(gapTarget) ? streamIdleTimeoutPerEventGap * gapTarget : 0);
}

/** Decides where a prompt goes, or that it cannot be served in time. */
export function placePrompt(terms: PromptRequirements, cost: EngineProfile, candidates: readonly PromptCandidate[]): PromptDecision {
	const whole = estimatePrefillTime(cost, terms.promptTokens);
	const weight = baseWeight + (terms.promptTokens / tokensPerWeightUnit);
	const prompt: Prompt = {
		...terms, fullPrefillTime: whole, weight, profile: cost, onTimeShare: whole < longPrefillThreshold ? onTimeShares.short : onTimeShares.long, totalTokens: terms.promptTokens + terms.answerTokens,
	};
	let best: PlaceDecision | undefined;
	for (const count of engineCounts) {
		if (count > candidates.length || (count > 1 && whole < longPrefillThreshold)) {
			break;
		}

		const place = planPrefill(prompt, candidates, count);
		if (place && (best === undefined || place.cost < best.cost)) {
			best = place;
		}
	}

	if (best === undefined) {
		return {kind: 'refuse', reason: candidates.length === 0 ? 'no-engine' : 'does-not-fit', retryAfter: boundRetryAfter(terms, minimumStreamIdleTimeout)};
	}

	const limit = Math.min(streamIdleTimeout(terms), terms.remaining);
	if (best.expectedLatency > limit) {
		return {kind: 'refuse', reason: 'too-late', retryAfter: boundRetryAfter(terms, best.expectedLatency - (limit / 2))};
	}

	if (best.expectedLatency > loadSheddingLimits[terms.progress] * terms.latencyTarget) {
		return {kind: 'refuse', reason: 'overloaded', retryAfter: boundRetryAfter(terms, Math.max(best.expectedLatency, shedRetryFactor * terms.latencyTarget))};
	}

	return best;
}

/** A caller comes back within a third of its time, or not at all. */
function boundRetryAfter({remaining}: PromptRequirements, wish: number): number {
	return Math.max(minimumRetryAfter, Math.min(wish, remaining / 3));
}

type Prompt = PromptRequirements & {
	fullPrefillTime: number;
	weight: number;
	profile: EngineProfile;
	totalTokens: number;
	/** Share of the target up to which the first event is surely on time. */
	onTimeShare: number;
};

/** Time until the engines have read what they have, where requests write beside it. */
function holdTime(used: readonly ScoredCandidate[]): number {
	const backlogs = used.filter(({candidate: {load}}) => load.running > 0).map(({candidate: {load}}) => load.prefillBacklog);
	const hold = Math.max(0, ...backlogs) - sendLeadTime;
	return hold < minimumHoldTime ? 0 : hold;
}

type ScoredCandidate = {
	candidate: PromptCandidate;
	/** Expected time until its part is read and the pass is over. */
	prefillLatency: number;
	/** Time that a request waits for one of its places to write; infinite where its queue is full. */
	slotWait: number;
	/** Cost of using it, apart from the time. */
	penalty: number;
	freeTokens: number;
};

/** The best way to read a prompt with a number of engines; undefined where their memory does not hold it. */
function planPrefill(prompt: Prompt, candidates: readonly PromptCandidate[], count: number): PlaceDecision | undefined {
	const part = prompt.fullPrefillTime / count;
	// Harm and time are compared by what a later first event costs over the span in which it turns late.
	const timeOfHarm = prompt.latencyTarget * (lateShare - prompt.onTimeShare) / prompt.weight;
	const keyOf = ({prefillLatency: ready, penalty: harm}: ScoredCandidate) => ready + (harm * timeOfHarm);
	const weighed = candidates.map(candidate => scoreCandidate(prompt, candidate, part)).toSorted((one, other) => keyOf(one) - keyOf(other));
	const memory = allocateMemory(prompt, weighed, count, keyOf);
	if (!memory) {
		return undefined;
	}

	const {primary: first, prefillHelpers: readers} = memory;
	const used = [first, ...readers.map(reader => reader.scored)];
	const expected = Math.max(first.prefillLatency + first.slotWait, ...used.map(({prefillLatency: ready}) => ready));
	const harm = used.reduce((sum, one) => sum + one.penalty, 0);
	return {
		kind: 'place',
		primary: first.candidate.record,
		primaryTokens: memory.primaryTokens,
		prefillHelpers: readers.map(({scored: {candidate}, reservedTokens: reserve}) => ({record: candidate.record, reserve})),
		prefillTime: prompt.fullPrefillTime / used.length,
		holdTime: prompt.fullPrefillTime < longPrefillThreshold ? 0 : holdTime(used),
		expectedLatency: expected,
		weight: prompt.weight,
		cost: (prompt.weight * (lateness(expected, prompt) + (additionalEngineCost * (used.length - 1)))) + harm,
	};
}

function scoreCandidate({profile: cost, weight, fullPrefillTime: whole, totalTokens: memory}: Prompt, {record, load, slowdown: pace, isCoolingDown: isAvoided, position: order}: PromptCandidate, part: number): ScoredCandidate {
	const slots = Math.min(record.slots, cost.slots);
	const pass = estimateIterationTime(cost, load.running + 1, load.kvCacheTokens + memory);
	const placeTime = cost.meanTokens.answer / cost.stepsPerIteration * pass / slots;
	const ready = pace * (load.prefillBacklog + part + (iterationsToFirstEvent * pass));
	const isHeld = whole >= longPrefillThreshold;
	const before = pass + load.longestPrefill;
	const after = isHeld ? pass + Math.max(load.longestPrefill, part) : before + part;
	return {
		candidate: {
			record, load, slowdown: pace, isCoolingDown: isAvoided, position: order,
		},
		prefillLatency: ready,
		slotWait: load.running >= slots * fullQueueFactor ? Number.POSITIVE_INFINITY : Math.max(0, load.running + 1 - slots) * placeTime * pace,
		penalty: interferenceCost(load.decodingRequests, before, after)
			+ (isAvoided ? weight * cooldownCost : 0)
			+ (positionCost * (whole < longPrefillThreshold ? order : 1 - order)),
		freeTokens: (cost.kvCacheTokens * usableKvCacheShare) - load.kvCacheTokens,
	};
}

/** What a longer pause costs the requests that write at an engine. */
function interferenceCost(writers: readonly DecodingRequest[], before: number, after: number): number {
	let harm = 0;
	for (const {eventGapTarget: gapTarget, weight} of writers) {
		harm += weight * (gapLateness(after, gapTarget) - gapLateness(before, gapTarget));
	}

	return harm;
}

function gapLateness(pause: number, gapTarget: number): number {
	return clamp((pause - (onTimeGapShare * gapTarget)) / ((lateGapShare - onTimeGapShare) * gapTarget));
}

/** How late a first event at some time is: 0 on time, 1 late, and more for a long time after. */
function lateness(expected: number, {latencyTarget: target, remaining, onTimeShare: onTime}: Prompt): number {
	const late = clamp((expected - (onTime * target)) / ((lateShare - onTime) * target));
	return late + (furtherDelayCost * expected / Math.max(expected, remaining));
}

function clamp(value: number): number {
	return Math.min(1, Math.max(0, value));
}

type MemoryAllocation = {
	primary: ScoredCandidate;
	primaryTokens: number;
	prefillHelpers: Array<{scored: ScoredCandidate; reservedTokens: number}>;
};

/**
 * Finds room for a prompt: at one engine if it fits, otherwise with reservations at engines that read parts of it.
 *
 * @param weighed - All engines, the best one to read first.
 * @param count - Number of engines that read.
 */
function allocateMemory(prompt: Prompt, weighed: readonly ScoredCandidate[], count: number, keyOf: (one: ScoredCandidate) => number): MemoryAllocation | undefined {
	const roomy = weighed.filter(({freeTokens: free, slotWait: placeWait}) => free >= prompt.totalTokens && Number.isFinite(placeWait));
	// One engine alone is chosen by what it makes late, so that engines fill up in their order while nothing is late.
	const cost = (one: ScoredCandidate) => count === 1
		? (prompt.weight * lateness(one.prefillLatency + one.slotWait, prompt)) + one.penalty
		: keyOf(one) + one.slotWait;
	const [first] = roomy.toSorted((one, other) => cost(one) - cost(other));
	if (!first) {
		return allocateAcrossEngines(prompt, weighed, count);
	}

	return {
		primary: first, primaryTokens: prompt.totalTokens, prefillHelpers: weighed.filter(one => one !== first).slice(0, count - 1).map(one => ({weighed: one, reserve: 0})),
	};
}

/** Divides a prompt that no engine's memory holds. */
function allocateAcrossEngines({totalTokens: memory, answerTokens}: Prompt, weighed: readonly ScoredCandidate[], count: number): MemoryAllocation | undefined {
	const chosen = weighed.slice(0, count);
	const [first, ...others] = chosen.filter(({slotWait: placeWait}) => Number.isFinite(placeWait)).toSorted((one, other) => other.freeTokens - one.freeTokens);
	if (!first || first.freeTokens < answerTokens) {
		return undefined;
	}

	let missing = memory - first.freeTokens;
	const readers: MemoryAllocation['prefillHelpers'] = [];
	for (const one of [...others, ...weighed.slice(count)]) {
		if (missing <= 0 && !chosen.includes(one)) {
			break;
		}

		const reserve = Math.ceil(Math.max(0, Math.min(missing, Math.floor(one.freeTokens))));
		if (reserve > 0 || chosen.includes(one)) {
			readers.push({scored: one, reservedTokens: reserve});
			missing -= reserve;
		}
	}

	return missing > 0 || readers.length > maximumPrefillHelpers ? undefined : {primary: first, primaryTokens: first.freeTokens, prefillHelpers: readers};
}

/** Engines that may read beside the first one, by the protocol. */
const maximumPrefillHelpers = 16;
