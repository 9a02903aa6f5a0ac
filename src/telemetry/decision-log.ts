/**
 * Logs routing decisions, one line for each, and counts them in the metrics.
 *
 * @module
 */
import {match} from 'ts-pattern';
import type {Decision, RequestFacts} from '../routing/decision.js';
import type {EventLog, LogFields} from './log.js';
import type {RequestMetrics} from './request-metrics.js';

/** Dependencies and settings of a decision log. */
export type DecisionLogOptions = {
	log: EventLog;
	metrics: RequestMetrics;
	/** Whether lines are written to the log. Metrics are updated in either case. */
	isLoggingEnabled: boolean;
	/** Returns the generation of the active configuration. */
	generation: () => number;
};

/** Writes a log line for each decision and updates the decision metrics. */
export class DecisionLog {
	readonly #options: DecisionLogOptions;

	constructor(options: DecisionLogOptions) {
		this.#options = options;
	}

	/** @param microseconds - Duration of the decision; 0 if it was made together with others. */
	record(facts: RequestFacts, decision: Decision, microseconds: number): void {
		const {log, metrics, isLoggingEnabled, generation} = this.#options;
		const reason = decision.kind === 'divide' ? 'does-not-fit' : decision.reason;
		metrics.recordDecision(decision.kind, decision.kind === 'refuse' ? decision.code : reason, microseconds);
		if (!isLoggingEnabled) {
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
			candidates: send.candidateCount,
			chosen: send.upstream,
			pool: send.pool,
			tier: send.tier,
			score: roundToTenths(send.score),
			cached: send.cachedTokens,
			second: send.secondBest,
			second_score: roundToTenths(send.secondBestScore),
		}))
		.with({kind: 'wait'}, wait => ({length: wait.promptTokens, tier: wait.tier}))
		.with({kind: 'refuse'}, refuse => ({code: refuse.code, retry_after: refuse.retryAfter}))
		.with({kind: 'divide'}, divide => ({length: divide.promptTokens, parts: divide.plan.parts.length}))
		.exhaustive();
}

/** Rounds a score to a tenth of a millisecond. */
function roundToTenths(score: number | undefined): number | undefined {
	return score === undefined ? undefined : Math.round(score * 10) / 10;
}
