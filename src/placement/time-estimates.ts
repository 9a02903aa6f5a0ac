/**
 * How long an engine takes, from the speeds that its operator publishes.
 *
 * @module
 */
import type {EngineProfile} from '../serving/model.js';

/** Pairs and context are published per million and per thousand. */
const million = 1e6;
const thousand = 1000;

/** Time in milliseconds to read a prompt alone on one engine; every token is paired with all earlier ones. */
export function estimatePrefillTime({prefillTokensPerMillisecond: readRate, attentionTimePerMillionPairs: pairCost}: EngineProfile, tokens: number): number {
	return (tokens / readRate) + (pairCost * tokens * tokens / 2 / million);
}

/** Time in milliseconds of one pass in which requests write, without any reading. */
export function estimateIterationTime({stepsPerIteration: stride, baseStepTime: step, stepTimePerRequest: stepPerRequest, stepTimePerThousandTokens: stepPerThousandTokens}: EngineProfile, writers: number, contextTokens: number): number {
	return stride * (step + (stepPerRequest * writers) + (stepPerThousandTokens * contextTokens / thousand));
}
