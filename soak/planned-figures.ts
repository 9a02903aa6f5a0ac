/**
 * What callers lose by planned work, whether the rule on it excuses that or not.
 *
 * @module
 */
import type {Call, CallKind} from './callers.js';
import type {Run} from './checks.js';
import {gracePeriod} from './instances.js';
import {
	excusedSendTime, lastWorkShare, lostRequests, type PlannedEvidence, requestsCutByStops,
} from './planned-checks.js';
import {longestStall} from './stalls.js';

/** A request that a stop has cut; times in milliseconds after SIGTERM. */
export type CutRequest = {
	id: string;
	kind: CallKind;
	instance: string;
	/** Monotonic time in milliseconds of SIGTERM. */
	stoppedAt: number;
	/** The last one on which it ran; undefined if it ran on none. */
	engine: string | undefined;
	startedAfter: number;
	sentAfter: number;
	cutAfter: number;
	/** When its engine has last ended work on it; undefined while the engine is at work. */
	workEndedAfter: number | undefined;
	status: number;
	events: number | undefined;
	isChunked: boolean;
	isExcused: boolean;
	/** Whether another request that the same stop has cut ran on its engine. */
	sharesEngine: boolean;
	/** Whether its answer waited behind another one on its connection. */
	isBehind: boolean;
	reads: 'at once' | 'slowly';
};

/** Figures of one run. */
export type PlannedFigures = {
	stops: number;
	/** Processes that had to be killed at the end of the grace period. */
	kills: number;
	/** Requests lost by the rule, beside configurations included, and those of them whose answers waited behind another one that was cut. */
	lost: number;
	lostBehind: number;
	/** Those behind another answer that had been passed on to an engine. */
	lostBehindRun: number;
	cutRequests: readonly CutRequest[];
	/** Requests that stopping instances have refused, and those of them that were sent up to 3 s after SIGTERM and whose answers would have ended in time. */
	refused: number;
	refusedInVain: number;
	/** Requests that were answered that it is unknown whether they ran. */
	unknown: number;
	/** Longest time in milliseconds by which the callers and engines of the run were late. */
	lateness: number;
};

/** Numbers of errors in the answers of instances. */
const shutdownCode = 3006;
const unknownOutcomeCode = 4010;

/** @param pace - Time in milliseconds between two events of a stream. */
export function plannedFigures(evidence: PlannedEvidence & {runs: readonly Run[]}, {kills, pace}: {kills: number; pace: number}): PlannedFigures {
	const engines = new Map(evidence.runs.map(({requestId, engineId}) => [requestId, engineId]));
	const cut = requestsCutByStops(evidence);
	const lost = lostRequests(evidence);
	const lostBehind = lost.filter(({call: {turnAt, startedAt}}) => turnAt > startedAt);
	const refused = evidence.calls.filter(call => isAnsweredBy(call, shutdownCode));
	const isInVain = ({instance, sentAt, endedAt, events = 1}: Call) => {
		const stoppedAt = evidence.stops.get(instance)?.findLast(at => at <= endedAt);
		return stoppedAt !== undefined && sentAt <= stoppedAt + excusedSendTime && sentAt + (events * pace) <= stoppedAt + (gracePeriod * lastWorkShare);
	};

	return {
		stops: [...evidence.stops.values()].flat().length, kills, lateness: Math.round(longestStall(evidence.stalls)),
		lost: lost.length, lostBehind: lostBehind.length, lostBehindRun: lostBehind.filter(({call: {id}}) => engines.has(id)).length,
		cutRequests: cut.map(({call, stoppedAt, isExcused}) => {
			const {
				id, kind, instance, startedAt, sentAt, turnAt, endedAt, status, events, isChunked, readDelay,
			} = call;
			const engine = engines.get(id);
			const lastWork = Math.max(...evidence.workEnds.get(id) ?? []);
			const isShared = engine !== undefined
				&& cut.some(other => other.call !== call && other.call.instance === instance && other.stoppedAt === stoppedAt && engines.get(other.call.id) === engine);
			return {
				id, kind, instance, stoppedAt: Math.round(stoppedAt), engine, status, events, isChunked, isExcused, sharesEngine: isShared,
				startedAfter: Math.round(startedAt - stoppedAt), sentAfter: Math.round(sentAt - stoppedAt), cutAfter: Math.round(endedAt - stoppedAt),
				workEndedAfter: Number.isFinite(lastWork) ? Math.round(lastWork - stoppedAt) : undefined,
				isBehind: turnAt > startedAt, reads: readDelay > 0 ? 'slowly' : 'at once',
			};
		}),
		refused: refused.length, refusedInVain: refused.filter(call => isInVain(call)).length,
		unknown: evidence.calls.filter(call => isAnsweredBy(call, unknownOutcomeCode)).length,
	};
}

export function describeFigures({
	stops, kills, lost, lostBehind, lostBehindRun, cutRequests, refused, refusedInVain, unknown, lateness,
}: PlannedFigures): string {
	const excused = cutRequests.filter(({isExcused}) => isExcused);
	const count = (predicate: (request: CutRequest) => boolean) => cutRequests.filter(request => predicate(request)).length;
	return [
		`${stops} stops${kills > 0 ? ` (${kills} killed)` : ''}: ${lost} lost${lost > 0 ? ` (${lostBehind} behind another answer, ${lostBehindRun} of which ran)` : ''}`,
		`${excused.length} cut and excused (${excused.filter(({sentAfter}) => sentAfter > 0).length} sent after SIGTERM)`,
		`of ${cutRequests.length} cut ${count(({sharesEngine}) => sharesEngine)} share an engine and ${count(({isChunked}) => isChunked)} had chunked bodies`,
		`${refused} refused (${shutdownCode}), ${refusedInVain} of which would have ended in time`,
		`${unknown} of unknown outcome (${unknownOutcomeCode})`,
		`callers late by ${lateness} ms at most`,
	].join(', ');
}

function isAnsweredBy({status, body}: Call, code: number): boolean {
	return status >= 500 && new RegExp(String.raw`"code":\s*"?${code}\b`, 'v').test(body);
}
