/**
 * The fields of a decision's log line.
 *
 * @module
 */
import {match} from 'ts-pattern';
import type {Decision, RequestFacts} from './decision.js';

/** Fields of a log line, in their order. */
export type DecisionFields = Record<string, string | number | undefined>;

/** Fields of the line event=routing.decision: inputs, scores and reason. */
export function decisionFields(facts: RequestFacts, decision: Decision, generation: number): DecisionFields {
	return {
		request: facts.requestId,
		customer: facts.customer,
		class: facts.requestClass,
		decision: decision.kind,
		...match(decision)
			.with({kind: 'send'}, (send): DecisionFields => ({
				tier: send.tier,
				length: send.promptTokens,
				candidates: send.candidates,
				chosen: send.upstream,
				score: round(send.score),
				cached: send.cachedTokens,
				second: send.second,
				second_score: send.secondScore === undefined ? undefined : round(send.secondScore),
				reserve: String(send.reserve),
				reason: send.reason,
			}))
			.with({kind: 'wait'}, ({tier, promptTokens, reason}): DecisionFields => ({tier, length: promptTokens, reason}))
			.with({kind: 'refuse'}, ({code, retryAfter, reason}): DecisionFields => ({code, retry_after: retryAfter, reason}))
			.with({kind: 'divide'}, ({promptTokens, plan}): DecisionFields => ({length: promptTokens, parts: plan.parts.length, reason: 'does-not-fit'}))
			.exhaustive(),
		generation,
	};
}

function round(value: number): number {
	return Math.round(value * 10) / 10;
}
