/**
 * Times that the answer to a prompt is expected to take at an engine.
 *
 * @module
 */
import type {PromptDecision} from '../placement/prompt-placement.js';
import {estimateDecodeTime} from '../placement/time-estimates.js';
import type {EngineChoiceInput} from './engine-chooser.js';
import type {EngineProfile, Route} from './model.js';

/** Factor on the event gap target, and on the engine's prefill backlog, that gives the event gap timeout, and its minimum in milliseconds. */
const eventGapTimeoutFactor = 2;
const minimumEventGapTimeout = 1000;

/** Time in milliseconds between two events after which the engine counts as idle. @param prefillBacklog - Of the engine, in milliseconds. */
export function eventGapTimeout({eventGapTarget = Number.POSITIVE_INFINITY}: Route, prefillBacklog: number): number {
	return Math.max(minimumEventGapTimeout, eventGapTarget * eventGapTimeoutFactor, minimumEventGapTimeout + (prefillBacklog * eventGapTimeoutFactor));
}

/** Time in milliseconds in which the answer to a prompt is expected to end, with time for another engine to go on with it once. */
export function estimateAnswerDuration(
	{headerValues: {promptTokens = 0, maximumAnswerTokens, answerTokensHint}, route}: EngineChoiceInput, profile: EngineProfile,
	{expectedLatency, slowdown}: Extract<PromptDecision, {kind: 'place'}>, prefillBacklog: number,
): number {
	const answerTokens = maximumAnswerTokens > 0 ? maximumAnswerTokens : answerTokensHint ?? profile.meanTokens.answer;
	const gapTimeout = eventGapTimeout(route, prefillBacklog);
	const reliefTime = Number.isFinite(gapTimeout) ? gapTimeout + expectedLatency : 0;
	return expectedLatency + (slowdown * estimateDecodeTime(profile, {promptTokens, answerTokens})) + reliefTime;
}

/** Whether an answer of some milliseconds would not end before this instance abandons it, nor reach its deadline by then. */
export function isOutlasting({remaining, timeUntilAbandoned}: Pick<EngineChoiceInput, 'remaining' | 'timeUntilAbandoned'>, duration: number): boolean {
	return Math.min(duration, remaining) > timeUntilAbandoned;
}
