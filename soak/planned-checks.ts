/**
 * What planned work must not cut: requests that an instance has read end with a complete answer.
 *
 * @module
 */
import type {Call} from './callers.js';
import {calmMargin, type FaultWindow} from './checks.js';
import {gracePeriod} from './instances.js';
import type {RouteTimeout} from './operator.js';
import {longestStall, type Stall} from './stalls.js';

/** Time in milliseconds for which a cut counts as one of a stop beyond the grace period. */
const stopMargin = 1000;

/** Time in milliseconds after SIGTERM up to which a request may be sent whose engine is at work at the end of the stop. */
export const excusedSendTime = 3000;

/** Share of the grace period after which an engine at work excuses a cut. */
export const lastWorkShare = 5 / 6;

/** Time in milliseconds after which a request counts as read although it has reached no engine. */
const lossSlack = 200;

/** Time in milliseconds within which settings and configurations take effect, and for which a cut counts as one of a configuration beyond it. */
const propagationLimit = 2000;
const configurationMargin = 1000;

/** Share of its time that a request may have used to be one that a configuration cuts, and factor between the shares of cut requests beside and apart from one. */
const usedTimeShare = 0.7;
const configurationFactor = 3;

/** Requests that may be lost on kept connections at any time. */
const toleratedLosses = 3;

/** Time in milliseconds before its deadline or timeout at which a request counts as ended by it. */
const deadlineMargin = 50;

/** Time in milliseconds beyond the timeout of their route up to which a request counts as ended by it and at which requests must be over, and the number and share of those that last so long from which it counts. */
const overtime = 500;
const leastOverdue = 8;
const toleratedOverdueShare = 1 / 4;

const configurationWork: ReadonlySet<string> = new Set(['configure', 'reconfigure']);

/** What is known of a run's planned work. */
export type PlannedEvidence = {
	calls: readonly Call[];
	windows: readonly FaultWindow[];
	/** Monotonic times in milliseconds at which engines ended their work on a request, infinite if they have not, by its id. */
	workEnds: ReadonlyMap<string, readonly number[]>;
	/** Monotonic times in milliseconds at which processes were told to end, by instance. */
	stops: ReadonlyMap<string, readonly number[]>;
	/** Timeouts of routes in all configurations, in their order. */
	routeTimeouts: readonly RouteTimeout[];
	/** When the callers themselves stood still, so that they noticed late what came. */
	stalls: readonly Stall[];
};

/** A request that planned work has cut, with the work. */
export type LostRequest = {call: Call; work: string};

/** Requests that planned work alone has cut. */
export function lostRequests(evidence: PlannedEvidence): LostRequest[] {
	const judged = judgedCalls(evidence);
	const cut = judged.filter(call => isCut(call, evidence));
	const byProcess = cut.flatMap((call): LostRequest[] => {
		const work = stopThatCut(call, evidence) ?? reloadThatCut(call, evidence);
		return work === undefined ? [] : [{call, work}];
	});
	const counted = new Set(byProcess.map(({call}) => call));
	return [...byProcess, ...lostBesideConfigurations(judged, new Set(cut), evidence).filter(({call}) => !counted.has(call))];
}

export function describeLoss({call, work}: LostRequest): string {
	const {
		id, kind, instance, status, failure, startedAt, endedAt,
	} = call;
	return `request ${id} (${kind}) at ${instance} was lost, ${work}: status ${status}, ${failure ?? 'truncated'} after ${Math.round(endedAt - startedAt)} ms`;
}

/** A request that ended without a complete answer at the end of a stop, or in it; times in milliseconds. */
export type CutByStop = {call: Call; stoppedAt: number; isExcused: boolean};

export function requestsCutByStops(evidence: PlannedEvidence): CutByStop[] {
	return judgedCalls(evidence).filter(call => isCut(call, evidence)).flatMap(call => {
		const stoppedAt = stopBefore(call, evidence);
		return stoppedAt === undefined ? [] : [{call, stoppedAt, isExcused: isExcusedByStop(call, evidence)}];
	});
}

/** Requests without any answer whose connections were closed apart from a stop, if these are more than the platform tolerates. */
export function lostOnKeptConnections(evidence: PlannedEvidence): Call[] {
	const lost = judgedCalls(evidence).filter(call => call.status === 0 && evidence.workEnds.has(call.id) && isCut(call, evidence) && stopBefore(call, evidence) === undefined);
	return lost.length > toleratedLosses ? lost : [];
}

/** Requests that were not over in time after the timeout of their route, if these are more than the platform tolerates. */
export function overdueRequests({calls, routeTimeouts}: PlannedEvidence): Call[] {
	const longRequests = calls.map(call => ({call, timesOutAt: Math.max(call.turnAt, call.sentAt + Math.max(...timeoutsDuring(call, routeTimeouts)))}))
		.filter(({call, timesOutAt}) => call.endedAt > timesOutAt);
	const overdue = longRequests.filter(({call, timesOutAt}) => call.endedAt > timesOutAt + overtime).map(({call}) => call);
	return overdue.length >= leastOverdue && overdue.length > longRequests.length * toleratedOverdueShare ? overdue : [];
}

/** Requests beside which nothing but planned work was done. */
function judgedCalls({calls, windows}: PlannedEvidence): Call[] {
	return calls.filter(call => !windows
		.some(window => !window.isPlanned && window.until >= call.startedAt - calmMargin && window.from <= call.endedAt));
}

/** Whether the rule on planned work lets a stop cut a request. */
export function isExcusedByStop(call: Call, {stops, workEnds}: Pick<PlannedEvidence, 'stops' | 'workEnds'>): boolean {
	const lastWork = Math.max(Number.NEGATIVE_INFINITY, ...workEnds.get(call.id) ?? []);
	return (stops.get(call.instance) ?? []).some(at => at <= call.endedAt && call.endedAt <= at + gracePeriod + stopMargin
		&& call.sentAt <= at + excusedSendTime && lastWork >= at + (gracePeriod * lastWorkShare));
}

/** Whether a request has reached its deadline, or ended at a timeout that its route may have had in its time, as its caller saw it. */
export function hasTimedOut(call: Call, {routeTimeouts, stalls}: Pick<PlannedEvidence, 'routeTimeouts' | 'stalls'>): boolean {
	const {startedAt, sentAt, endedAt, deadline} = call;
	// An instance counts from the arrival of the request.
	return endedAt >= startedAt + deadline - deadlineMargin
		|| timeoutsDuring(call, routeTimeouts).some(timeout => endedAt >= startedAt + timeout - deadlineMargin && endedAt <= sentAt + timeout + overtime + latenessOf(call, stalls));
}

/** Time in milliseconds by which a caller may have noticed the end of a request late. */
function latenessOf({endedAt, readDelay}: Call, stalls: readonly Stall[]): number {
	// The end shows in the read after that of the last bytes.
	return (readDelay * 2) + longestStall(stalls, endedAt - deadlineMargin, endedAt);
}

/** Timeouts in milliseconds in the versions that may be in force during a request: a version is until the next one has taken effect. */
function timeoutsDuring({startedAt, endedAt}: Call, routeTimeouts: readonly RouteTimeout[]): number[] {
	return routeTimeouts.filter(({from}, index) => {
		const next = routeTimeouts[index + 1];
		return from <= endedAt && (next === undefined || next.from + propagationLimit >= startedAt);
	}).map(({timeout}) => timeout);
}

function isCut(call: Call, evidence: PlannedEvidence): boolean {
	return !call.whole && !hasTimedOut(call, evidence)
		&& (evidence.workEnds.has(call.id) || (call.endedAt - call.sentAt > lossSlack + latenessOf(call, evidence.stalls) && !crossesClose(call)));
}

/** Whether a request was sent when its instance had, or may have, announced the end of the connection. */
function crossesClose({startedAt, closeReadAt, readDelay}: Call): boolean {
	return startedAt >= closeReadAt - lossSlack - readDelay;
}

function stopBefore({instance, endedAt}: Call, {stops}: PlannedEvidence): number | undefined {
	return (stops.get(instance) ?? []).findLast(at => at <= endedAt && endedAt <= at + gracePeriod + stopMargin);
}

function stopThatCut(call: Call, evidence: PlannedEvidence): string | undefined {
	const stop = stopBefore(call, evidence);
	return stop === undefined || isExcusedByStop(call, evidence)
		? undefined
		: `sent ${Math.round(call.sentAt - stop)} ms and cut ${Math.round(call.endedAt - stop)} ms after SIGTERM`;
}

function reloadThatCut(call: Call, evidence: PlannedEvidence): string | undefined {
	const reload = evidence.windows.find(({name, instance, from}) => name === 'reload' && instance === call.instance && call.startedAt <= from + propagationLimit && call.endedAt >= from);
	return reload === undefined || isExcusedByStop(call, evidence) ? undefined : `cut ${Math.round(call.endedAt - reload.from)} ms after SIGHUP`;
}

/** Instances that cut a far greater share of their requests beside new configurations than apart from them. */
function lostBesideConfigurations(calls: readonly Call[], cut: ReadonlySet<Call>, evidence: PlannedEvidence): LostRequest[] {
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
			? lost.map(call => ({call, work: 'beside a new configuration'}))
			: [];
	});
}
