/**
 * Whether a promise was kept, judged from its records alone. docs/operators/audit.md defines the terms.
 *
 * @module
 */
import {match} from 'ts-pattern';
import type {RequestEnding, RequestPromise, RequestRecord} from './record.js';

/** Time in milliseconds after the deadline in which an ending still counts as in time. */
export const deadlineGrace = 1000;

export type Verdict = 'kept' | 'broken' | 'unknown';

/** Why a verdict was given. */
export type VerdictReason
	= | 'answered-in-time'
		| 'failed-in-time'
		| 'caller-left'
		| 'ended-late'
		| 'internal-failure'
		| 'ran-twice'
		| 'contradictory-record'
		| 'endings-differ'
		| 'still-open'
		| 'no-ending-recorded'
		| 'evidence-damaged';

/** A record with the segment that holds it. */
export type RecordEvidence = {record: RequestRecord; key: string; trusted: boolean};

export type Judgement = {verdict: Verdict; reason: VerdictReason};

/** Code of an unexpected internal failure. */
const internalFailureCode = '5900';

/**
 * Judges one promise.
 *
 * @param evidence - All records of the request; at least one.
 * @param now - Wall-clock time in milliseconds of the audit.
 */
export function judge(evidence: readonly RecordEvidence[], now: number): Judgement {
	const trusted = evidence.filter(item => item.trusted);
	const {promise} = (trusted[0] ?? evidence[0]!).record;
	const endings = distinctEndings(trusted);
	const [ending] = endings;
	if (endings.length > 1) {
		return judgeSeveral(promise, endings);
	}

	if (ending !== undefined) {
		return judgeEnding(promise, ending);
	}

	if (trusted.length < evidence.length) {
		return {verdict: 'unknown', reason: 'evidence-damaged'};
	}

	return {verdict: 'unknown', reason: now <= promise.deadline + deadlineGrace ? 'still-open' : 'no-ending-recorded'};
}

/** Endings that say different things; the same ending may stand in two segments after a takeover. */
function distinctEndings(evidence: readonly RecordEvidence[]): RequestEnding[] {
	const endings = new Map<string, RequestEnding>();
	for (const {record} of evidence) {
		if (record.kind === 'ended') {
			endings.set(JSON.stringify(record.ending), record.ending);
		}
	}

	return [...endings.values()];
}

function judgeSeveral({nonIdempotent}: RequestPromise, endings: readonly RequestEnding[]): Judgement {
	const runs = endings.filter(({ran}) => ran === 'yes').length;
	return nonIdempotent && runs > 1 ? {verdict: 'broken', reason: 'ran-twice'} : {verdict: 'unknown', reason: 'endings-differ'};
}

function judgeEnding({deadline}: RequestPromise, ending: RequestEnding): Judgement {
	if (isContradictory(ending)) {
		return {verdict: 'broken', reason: 'contradictory-record'};
	}

	if (ending.endedAt > deadline + deadlineGrace) {
		return {verdict: 'broken', reason: 'ended-late'};
	}

	return match(ending)
		.returnType<Judgement>()
		.with({outcome: 'answered'}, () => ({verdict: 'kept', reason: 'answered-in-time'}))
		.with({outcome: 'caller-left'}, () => ({verdict: 'kept', reason: 'caller-left'}))
		.with({outcome: 'failed', code: internalFailureCode}, () => ({verdict: 'broken', reason: 'internal-failure'}))
		.with({outcome: 'failed'}, () => ({verdict: 'kept', reason: 'failed-in-time'}))
		.exhaustive();
}

/** An answer without a run cannot be. */
function isContradictory({outcome, ran}: RequestEnding): boolean {
	return outcome === 'answered' && ran !== 'yes';
}
