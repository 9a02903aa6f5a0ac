/**
 * Estimates how long an engine takes, from the profile that its operator publishes.
 *
 * @module
 */
import type {EngineProfile} from '../serving/model.js';

/** Profiles state attention per million pairs and context per thousand tokens. */
const million = 1e6;
const thousand = 1000;

/** Time in milliseconds to prefill a prompt alone on one engine; every token is paired with all earlier ones. */
export function estimatePrefillTime({prefillTokensPerMillisecond, attentionTimePerMillionPairs}: EngineProfile, tokens: number): number {
	return (tokens / prefillTokensPerMillisecond) + (attentionTimePerMillionPairs * tokens * tokens / 2 / million);
}

/** Time in milliseconds to decode an answer at an engine whose slots are all taken. */
export function estimateDecodeTime(profile: EngineProfile, {promptTokens, answerTokens}: {promptTokens: number; answerTokens: number}): number {
	return answerTokens / profile.stepsPerIteration * estimateIterationTime(profile, profile.slots, promptTokens + answerTokens);
}

/** Time in milliseconds to prefill a prompt alone on one engine and to decode its answer there beside others. */
export function estimateAnswerTime(profile: EngineProfile, size: {promptTokens: number; answerTokens: number}): number {
	return estimatePrefillTime(profile, size.promptTokens) + estimateDecodeTime(profile, size);
}

/** Time in milliseconds of one scheduler iteration in which requests decode, without any prefill. */
export function estimateIterationTime(
	{stepsPerIteration, baseStepTime, stepTimePerRequest, stepTimePerThousandTokens}: EngineProfile,
	decodingRequests: number,
	contextTokens: number,
): number {
	return stepsPerIteration * (baseStepTime + (stepTimePerRequest * decodingRequests) + (stepTimePerThousandTokens * contextTokens / thousand));
}
