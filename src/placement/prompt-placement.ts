/**
 * Chooses the engines that read a prompt and the one that writes its answer.
 *
 * Every choice is weighed by what it makes late: the prompt itself, and the answers that wait while an engine reads.
 * Short prompts gather on the engines that come first in a common order, long ones begin at its end and are read in
 * parts, so that the two disturb each other only where the fleet is full.
 *
 * @module
 */
import type {EngineCost, EngineRecord} from '../serving/model.js';
import type {EngineLoadView, Writer} from './load-tracker.js';
import {passTime, readingTime} from './time-estimates.js';

/** Weight of a prompt: a part for each, and tokens that add one more; the sheets' worth of short, medium and long prompts lies on this line. */
const leastWeight = 0.6;
const tokensPerWeight = 7500;

/**
 * Shares of the target between which a first event goes from surely on time to surely late. A long prompt that is read
 * early leaves its engines to the next one, so that time counts from the start.
 */
const surelyOnTime = {short: 0.5, long: 0.1};
const surelyLate = 1.05;

/** What being later still costs, for a whole deadline, relative to being late. */
const laterStill = 0.1;

/** Shares of a pause's target between which a writer goes from undisturbed to disturbed. */
const undisturbed = 0.9;
const disturbed = 1.1;

/** What one more engine costs, relative to the prompt's being late: each one may fail the whole reading. */
const engineRisk = 0.001;

/** What an engine that failed of late costs, relative to the prompt's being late. */
const avoidedCost = 1.5;

/** Cost that keeps the common order where all else is equal, for the whole order. */
const orderCost = 0.2;

/** Reading time in milliseconds from which a prompt is read from the end of the order and may be divided. */
export const longReading = 150;

/** Numbers of engines that are weighed for one prompt; the protocol allows 16 beside the first. */
const divisions: readonly number[] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/** Passes until the first event of a prompt that is read: the one under way and its own. */
const passesToFirstEvent = 1.5;

/** Factor on an engine's places beyond which its queue counts as full; engines queue a few more than they run. */
const fullQueue = 2;

/** Share of an engine's memory that may be promised. */
const memoryShare = 0.97;

/** Callers give up a stream after the longest of this time in milliseconds and these factors on its targets, by the protocol. */
const shortestPatience = 2000;
const patienceOfTarget = 4;
const patienceOfGap = 8;

/** Time in milliseconds before the end of other reading at which a held request is sent; the way there and a connection take as long. */
const sendingLead = 10;

/** Least time in milliseconds for which holding a request is worth a timer. */
const shortestHold = 15;

/**
 * How far a prompt has come: new, turned away before or tried elsewhere, so that its answer is late in any case, or with a
 * part of its answer at the caller, where it can no longer be turned away.
 */
export type PromptStanding = 'fresh' | 'returning' | 'begun';

/** What is asked of a prompt. */
export type PromptTerms = {
	promptTokens: number;
	answerTokens: number;
	target: number;
	gapTarget: number;
	/** Time that is left of the request. */
	remaining: number;
	standing: PromptStanding;
};

/** One engine that may be chosen. */
export type PromptCandidate = {
	record: EngineRecord;
	load: EngineLoadView;
	/** Factor on its published times. */
	pace: number;
	isAvoided: boolean;
	/** Place in the order in which engines are filled, from 0 to 1. */
	order: number;
};

/** An engine that reads a part of the prompt. */
export type Reader = {
	record: EngineRecord;
	/** Tokens of its memory that the request reserves; 0 where it only reads. */
	reserve: number;
};

/** Where a prompt goes. */
export type PromptDecision = {
	kind: 'place';
	first: EngineRecord;
	/** Tokens that the first engine's memory takes. */
	firstMemory: number;
	readers: readonly Reader[];
	/** Time that each of the engines reads. */
	reading: number;
	/** Time until the request is to be sent, so that its engines read it by itself and writers wait for one reading only. */
	startIn: number;
	/** Expected time to the first event. */
	expected: number;
	weight: number;
	loss: number;
} | {
	kind: 'refuse';
	reason: 'no-engine' | 'too-late' | 'overloaded' | 'does-not-fit';
	/** Time after which asking again makes sense. */
	retryAfter: number;
};

type Place = Extract<PromptDecision, {kind: 'place'}>;

/**
 * Factors on the target beyond which a prompt is turned away while the fleet is overloaded: queueing it would make it
 * late, and those behind it too. One that comes back is late in any case and may wait longer.
 */
const shedLimits: Readonly<Record<PromptStanding, number>> = {fresh: 0.8, returning: 2, begun: Number.POSITIVE_INFINITY};

/** Least Retry-After of such a prompt, as a factor on its target: a burst is over by then, or the caller's third of its time. */
const shedRetry = 10;

/** Least Retry-After in milliseconds; work placed meanwhile is known by then. */
const shortestRetry = 100;

/** Longest time in milliseconds until the first event, or between events, that a caller stays for. */
export function patience({target, gapTarget}: {target: number; gapTarget: number}): number {
	return Math.max(shortestPatience, patienceOfTarget * target, Number.isFinite(gapTarget) ? patienceOfGap * gapTarget : 0);
}

/** Decides where a prompt goes, or that it cannot be served in time. */
export function placePrompt(terms: PromptTerms, cost: EngineCost, candidates: readonly PromptCandidate[]): PromptDecision {
	const whole = readingTime(cost, terms.promptTokens);
	const weight = leastWeight + (terms.promptTokens / tokensPerWeight);
	const prompt: Prompt = {
		...terms, whole, weight, cost, onTime: whole < longReading ? surelyOnTime.short : surelyOnTime.long, memory: terms.promptTokens + terms.answerTokens,
	};
	let best: Place | undefined;
	for (const count of divisions) {
		if (count > candidates.length || (count > 1 && whole < longReading)) {
			break;
		}

		const place = divide(prompt, candidates, count);
		if (place && (best === undefined || place.loss < best.loss)) {
			best = place;
		}
	}

	if (best === undefined) {
		return {kind: 'refuse', reason: candidates.length === 0 ? 'no-engine' : 'does-not-fit', retryAfter: retryAfter(terms, shortestPatience)};
	}

	const limit = Math.min(patience(terms), terms.remaining);
	if (best.expected > limit) {
		return {kind: 'refuse', reason: 'too-late', retryAfter: retryAfter(terms, best.expected - (limit / 2))};
	}

	if (best.expected > shedLimits[terms.standing] * terms.target) {
		return {kind: 'refuse', reason: 'overloaded', retryAfter: retryAfter(terms, Math.max(best.expected, shedRetry * terms.target))};
	}

	return best;
}

/** A caller comes back within a third of its time, or not at all. */
function retryAfter({remaining}: PromptTerms, wish: number): number {
	return Math.max(shortestRetry, Math.min(wish, remaining / 3));
}

type Prompt = PromptTerms & {
	whole: number;
	weight: number;
	cost: EngineCost;
	memory: number;
	/** Share of the target up to which the first event is surely on time. */
	onTime: number;
};

/** Time until the engines have read what they have, where requests write beside it. */
function holdTime(used: readonly Weighed[]): number {
	const backlogs = used.filter(({candidate: {load}}) => load.running > 0).map(({candidate: {load}}) => load.backlog);
	const hold = Math.max(0, ...backlogs) - sendingLead;
	return hold < shortestHold ? 0 : hold;
}

type Weighed = {
	candidate: PromptCandidate;
	/** Expected time until its part is read and the pass is over. */
	ready: number;
	/** Time that a request waits for one of its places to write; infinite where its queue is full. */
	placeWait: number;
	/** Cost of using it, apart from the time. */
	harm: number;
	free: number;
};

/** The best way to read a prompt with a number of engines; undefined where their memory does not hold it. */
function divide(prompt: Prompt, candidates: readonly PromptCandidate[], count: number): Place | undefined {
	const part = prompt.whole / count;
	// Harm and time are compared by what a later first event costs over the span in which it turns late.
	const timeOfHarm = prompt.target * (surelyLate - prompt.onTime) / prompt.weight;
	const keyOf = ({ready, harm}: Weighed) => ready + (harm * timeOfHarm);
	const weighed = candidates.map(candidate => weigh(prompt, candidate, part)).toSorted((one, other) => keyOf(one) - keyOf(other));
	const memory = shareMemory(prompt, weighed, count, keyOf);
	if (!memory) {
		return undefined;
	}

	const {first, readers} = memory;
	const used = [first, ...readers.map(reader => reader.weighed)];
	const expected = Math.max(first.ready + first.placeWait, ...used.map(({ready}) => ready));
	const harm = used.reduce((sum, one) => sum + one.harm, 0);
	return {
		kind: 'place',
		first: first.candidate.record,
		firstMemory: memory.firstMemory,
		readers: readers.map(({weighed: {candidate}, reserve}) => ({record: candidate.record, reserve})),
		reading: prompt.whole / used.length,
		startIn: prompt.whole < longReading ? 0 : holdTime(used),
		expected,
		weight: prompt.weight,
		loss: (prompt.weight * (lateness(expected, prompt) + (engineRisk * (used.length - 1)))) + harm,
	};
}

function weigh({cost, weight, whole, memory}: Prompt, {record, load, pace, isAvoided, order}: PromptCandidate, part: number): Weighed {
	const slots = Math.min(record.slots, cost.slots);
	const pass = passTime(cost, load.running + 1, load.memory + memory);
	const placeTime = cost.usual.answer / cost.stride * pass / slots;
	const ready = pace * (load.backlog + part + (passesToFirstEvent * pass));
	const isHeld = whole >= longReading;
	const before = pass + load.longestPart;
	const after = isHeld ? pass + Math.max(load.longestPart, part) : before + part;
	return {
		candidate: {
			record, load, pace, isAvoided, order,
		},
		ready,
		placeWait: load.running >= slots * fullQueue ? Number.POSITIVE_INFINITY : Math.max(0, load.running + 1 - slots) * placeTime * pace,
		harm: harmTo(load.writers, before, after)
			+ (isAvoided ? weight * avoidedCost : 0)
			+ (orderCost * (whole < longReading ? order : 1 - order)),
		free: (cost.memoryTokens * memoryShare) - load.memory,
	};
}

/** What a longer pause costs the requests that write at an engine. */
function harmTo(writers: readonly Writer[], before: number, after: number): number {
	let harm = 0;
	for (const {gapTarget, weight} of writers) {
		harm += weight * (disturbance(after, gapTarget) - disturbance(before, gapTarget));
	}

	return harm;
}

function disturbance(pause: number, gapTarget: number): number {
	return clamp((pause - (undisturbed * gapTarget)) / ((disturbed - undisturbed) * gapTarget));
}

/** How late a first event at some time is: 0 on time, 1 late, and more for a long time after. */
function lateness(expected: number, {target, remaining, onTime}: Prompt): number {
	const late = clamp((expected - (onTime * target)) / ((surelyLate - onTime) * target));
	return late + (laterStill * expected / Math.max(expected, remaining));
}

function clamp(value: number): number {
	return Math.min(1, Math.max(0, value));
}

type SharedMemory = {
	first: Weighed;
	firstMemory: number;
	readers: Array<{weighed: Weighed; reserve: number}>;
};

/**
 * Finds room for a prompt: at one engine if it fits, otherwise with reservations at engines that read parts of it.
 *
 * @param weighed - All engines, the best one to read first.
 * @param count - Number of engines that read.
 */
function shareMemory(prompt: Prompt, weighed: readonly Weighed[], count: number, keyOf: (one: Weighed) => number): SharedMemory | undefined {
	const roomy = weighed.filter(({free, placeWait}) => free >= prompt.memory && Number.isFinite(placeWait));
	// One engine alone is chosen by what it makes late, so that engines fill up in their order while nothing is late.
	const cost = (one: Weighed) => count === 1
		? (prompt.weight * lateness(one.ready + one.placeWait, prompt)) + one.harm
		: keyOf(one) + one.placeWait;
	const [first] = roomy.toSorted((one, other) => cost(one) - cost(other));
	if (!first) {
		return reserveMemory(prompt, weighed, count);
	}

	return {
		first, firstMemory: prompt.memory, readers: weighed.filter(one => one !== first).slice(0, count - 1).map(one => ({weighed: one, reserve: 0})),
	};
}

/** Divides a prompt that no engine's memory holds. */
function reserveMemory({memory, answerTokens}: Prompt, weighed: readonly Weighed[], count: number): SharedMemory | undefined {
	const chosen = weighed.slice(0, count);
	const [first, ...others] = chosen.filter(({placeWait}) => Number.isFinite(placeWait)).toSorted((one, other) => other.free - one.free);
	if (!first || first.free < answerTokens) {
		return undefined;
	}

	let missing = memory - first.free;
	const readers: SharedMemory['readers'] = [];
	for (const one of [...others, ...weighed.slice(count)]) {
		if (missing <= 0 && !chosen.includes(one)) {
			break;
		}

		const reserve = Math.ceil(Math.max(0, Math.min(missing, Math.floor(one.free))));
		if (reserve > 0 || chosen.includes(one)) {
			readers.push({weighed: one, reserve});
			missing -= reserve;
		}
	}

	return missing > 0 || readers.length > maximumReaders ? undefined : {first, firstMemory: first.free, readers};
}

/** Engines that may read beside the first one, by the protocol. */
const maximumReaders = 16;
