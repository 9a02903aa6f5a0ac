/**
 * One log line for each routing decision.
 *
 * @module
 */
import {match} from 'ts-pattern';
import type {Decision, RequestFacts} from '../routing/decision.js';
import type {EventLog, LogFields} from './log.js';
import type {RequestMetrics} from './request-metrics.js';

/** What the lines are written with. */
export type DecisionLogOptions = {
	log: EventLog;
	metrics: RequestMetrics;
	/** Whether lines are written; metrics are counted in any case. */
	isLoggingEnabled: boolean;
	/** Generation of the configuration in force. */
	generation: () => number;
};

/** Writes decisions as lines and counts them. */
export class DecisionLog {
	readonly #options: DecisionLogOptions;

	constructor(options: DecisionLogOptions) {
		this.#options = options;
	}

	/** @param microseconds - Time that the decision took; 0 where it was made together with others. */
	record(facts: RequestFacts, decision: Decision, microseconds: number): void {
		const {log, metrics, isLoggingEnabled: enabled, generation} = this.#options;
		const reason = decision.kind === 'divide' ? 'does-not-fit' : decision.reason;
		metrics.recordDecision(decision.kind, decision.kind === 'refuse' ? decision.code : reason, microseconds);
		if (!enabled) {
			return;
		}

		log.info('routing.decision', {
			request: facts.requestId,
			customer: facts.customer,
			class: facts.requestClass,
			bytes: facts.promptBytes,
			decision: decision.kind,
			...decisionFields(decision),
			reason,
			excluded: facts.excluded.length > 0 ? facts.excluded.join(',') : undefined,
			generation: generation(),
			microseconds: microseconds > 0 ? Math.round(microseconds) : undefined,
		});
	}
}

function decisionFields(decision: Decision): LogFields {
	return match(decision)
		.with({kind: 'send'}, send => ({
			length: send.promptTokens,
			candidates: send.candidates,
			chosen: send.upstream,
			pool: send.pool,
			tier: send.tier,
			score: roundToTenths(send.score),
			cached: send.cachedTokens,
			second: send.second,
			second_score: roundToTenths(send.secondScore),
		}))
		.with({kind: 'wait'}, wait => ({length: wait.promptTokens, tier: wait.tier}))
		.with({kind: 'refuse'}, refuse => ({code: refuse.code, retry_after: refuse.retryAfter}))
		.with({kind: 'divide'}, divide => ({length: divide.promptTokens, parts: divide.plan.parts.length}))
		.exhaustive();
}

/** A score to a tenth of a millisecond. */
function roundToTenths(score: number | undefined): number | undefined {
	return score === undefined ? undefined : Math.round(score * 10) / 10;
}
