/**
 * What planned work must not cut: requests that an instance has read end with a complete answer.
 *
 * @module
 */
import type {Call} from './callers.js';
import {calmMargin, type FaultWindow} from './checks.js';

/** Time in milliseconds from SIGTERM to the latest end of a process, and for which a cut counts as one of the stop beyond it. */
const gracePeriod = 8000;
const stopMargin = 1000;

/** Time in milliseconds after SIGTERM up to which a request may be sent whose engine is at work at the end of the stop. */
const excusedSendTime = 3000;

/** Share of the grace period after which an engine at work excuses a cut. */
const lastWorkShare = 5 / 6;

/** Time in milliseconds after which a request counts as read although it has reached no engine. */
const lossSlack = 200;

/** Time in milliseconds within which settings and configurations take effect, and for which a cut counts as one of a configuration beyond it. */
const propagationLimit = 2000;
const configurationMargin = 1000;

/** Share of its time that a request may have used to be one that a configuration cuts, and factor between the shares of cut requests beside and apart from one. */
const usedTimeShare = 0.7;
const configurationFactor = 3;

/** Time in milliseconds before its deadline at which a request counts as ended by it. */
const deadlineMargin = 50;

const configurationWork: ReadonlySet<string> = new Set(['configure', 'reconfigure']);

/** What is known of a run's planned work. */
export type PlannedEvidence = {
	calls: readonly Call[];
	windows: readonly FaultWindow[];
	/** Monotonic times in milliseconds at which engines ended their work on a request, infinite if they have not, by its id. */
	workEnds: ReadonlyMap<string, readonly number[]>;
	/** Monotonic times in milliseconds at which processes were told to end, by instance. */
	stops: ReadonlyMap<string, readonly number[]>;
	/** Timeouts in milliseconds of routes in all configurations. */
	requestTimeouts: ReadonlySet<number>;
};

/** Requests that planned work alone has cut, each with the work. */
export function lostRequests(evidence: PlannedEvidence): string[] {
	const judged = evidence.calls.filter(call => !evidence.windows
		.some(window => !window.isPlanned && window.until >= call.startedAt - calmMargin && window.from <= call.endedAt));
	const cut = judged.filter(call => isCut(call, evidence));
	return [
		...cut.flatMap(call => {
			const work = stopThatCut(call, evidence) ?? reloadThatCut(call, evidence);
			return work === undefined ? [] : [`request ${call.id} (${call.kind}) at ${call.instance} was lost, ${work}: ${describe(call)}`];
		}),
		...configurationProblems(judged, new Set(cut), evidence),
	];
}

/** Whether the rule on planned work lets a stop cut a request. */
export function isExcusedByStop(call: Call, {stops, workEnds}: Pick<PlannedEvidence, 'stops' | 'workEnds'>): boolean {
	const lastWork = Math.max(Number.NEGATIVE_INFINITY, ...workEnds.get(call.id) ?? []);
	return (stops.get(call.instance) ?? []).some(at => at <= call.endedAt && call.endedAt <= at + gracePeriod + stopMargin
		&& call.startedAt <= at + excusedSendTime && lastWork >= at + (gracePeriod * lastWorkShare));
}

/** Whether a request has reached its deadline, or a timeout that its route has or had. */
export function hasTimedOut({startedAt, endedAt, deadline}: Call, requestTimeouts: ReadonlySet<number>): boolean {
	const duration = endedAt - startedAt;
	return duration >= deadline - deadlineMargin || [...requestTimeouts].some(timeout => Math.abs(duration - timeout) < deadlineMargin);
}

function isCut(call: Call, {workEnds, requestTimeouts}: PlannedEvidence): boolean {
	return !call.whole && !hasTimedOut(call, requestTimeouts) && (workEnds.has(call.id) || call.endedAt - call.startedAt > lossSlack);
}

function stopThatCut(call: Call, evidence: PlannedEvidence): string | undefined {
	const stop = (evidence.stops.get(call.instance) ?? []).find(at => at <= call.endedAt && call.endedAt <= at + gracePeriod + stopMargin);
	return stop === undefined || isExcusedByStop(call, evidence)
		? undefined
		: `sent ${Math.round(call.startedAt - stop)} ms and cut ${Math.round(call.endedAt - stop)} ms after SIGTERM`;
}

function reloadThatCut(call: Call, evidence: PlannedEvidence): string | undefined {
	const reload = evidence.windows.find(({name, instance, from}) => name === 'reload' && instance === call.instance && call.startedAt <= from + propagationLimit && call.endedAt >= from);
	return reload === undefined || isExcusedByStop(call, evidence) ? undefined : `cut ${Math.round(call.endedAt - reload.from)} ms after SIGHUP`;
}

/** Instances that cut a far greater share of their requests beside new configurations than apart from them. */
function configurationProblems(calls: readonly Call[], cut: ReadonlySet<Call>, evidence: PlannedEvidence): string[] {
	const changes = evidence.windows.filter(({name}) => configurationWork.has(name));
	const isBeside = ({endedAt}: Call) => changes.some(({from}) => from <= endedAt && endedAt <= from + propagationLimit + configurationMargin);
	const isCounted = (call: Call) => cut.has(call) && !isExcusedByStop(call, evidence) && call.endedAt - call.startedAt < call.deadline * usedTimeShare;
	return [...new Set(calls.map(({instance}) => instance))].flatMap(instance => {
		const own = calls.filter(call => call.instance === instance);
		const beside = own.filter(call => isBeside(call));
		const lost = beside.filter(call => isCounted(call));
		const apart = own.filter(call => !isBeside(call));
		const shareApart = apart.length === 0 ? 0 : apart.filter(call => cut.has(call)).length / apart.length;
		return lost.length > beside.length * shareApart * configurationFactor
			? lost.map(call => `request ${call.id} (${call.kind}) at ${instance} was lost beside a new configuration: ${describe(call)}`)
			: [];
	});
}

function describe({startedAt, endedAt, status, failure}: Call): string {
	return `status ${status}, ${failure ?? 'truncated'} after ${Math.round(endedAt - startedAt)} ms`;
}
