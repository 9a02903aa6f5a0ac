/**
 * The promises to callers, checked against what callers and engines saw.
 *
 * @module
 */
import {customerName, floodCustomerName} from '../platform/stand-in/deployment.js';
import {plainResponseBody} from '../platform/stand-in/engine.js';
import {eventText, type IdForm} from '../platform/stand-in/events.js';
import type {Call} from './callers.js';
import {isFloodRequest} from './flood-faults.js';
import {
	describeLoss, hasTimedOut, isExcusedByStop, lostOnKeptConnections, lostRequests, overdueRequests, type PlannedEvidence,
} from './planned-checks.js';

/** Statuses that promise that a request has not run and never will. */
export const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Time in milliseconds beyond the deadline within which every request is over. */
const overtime = 1000;

/** Time in milliseconds before a request in which no fault may lie for it to count as calm. */
export const calmMargin = 3500;

/** Time in milliseconds after an acknowledgement within which a configuration must be in force. */
const propagationLimit = 2000;

/** Statuses of an instance that does not know a route or a key. */
const unknownRouteStatuses: ReadonlySet<number> = new Set([401, 403, 404]);

/** Share of calm requests that must be served. */
const calmShare = 0.95;

/** Least number of calm requests by which the share is judged. */
const calmCount = 20;

/** One run of a request at an engine. */
export type Run = {engineId: string; requestId: string; customer: string | undefined};

/** A span in which a fault was in force. `planned` ones must cut nothing. */
export type FaultWindow = {name: string; instance: string | undefined; isPlanned: boolean; from: number; until: number};

/** All that a run has to show. */
export type Evidence = PlannedEvidence & {
	/** Whether the run consists of planned work and silence of engines alone. */
	isPlannedRun: boolean;
	runs: readonly Run[];
	/** Events of a whole stream that asks for no number. */
	events: number;
	/** Form of the ids of events. */
	idForm: IdForm;
	/** When the store acknowledged the configuration that adds the route of `added` requests. */
	routeAddedAt: number;
	/** Reservations that were still held after all requests had ended. */
	heldReservations: number;
	/** Number of engines that sent something without end as their answer to a request, by its id. */
	floodedRequests: ReadonlyMap<string, number>;
};

/** Promises that were broken, each with the request that shows it. */
export function brokenPromises(evidence: Evidence): string[] {
	const runsOf = new Map<string, number>();
	for (const {requestId} of evidence.runs) {
		runsOf.set(requestId, (runsOf.get(requestId) ?? 0) + 1);
	}

	return [
		...evidence.calls.flatMap(call => callProblems(call, runsOf.get(call.id) ?? 0, evidence)),
		...evidence.runs.filter(run => run.customer !== (isFloodRequest(run.requestId) ? floodCustomerName : customerName))
			.map(run => `request ${run.requestId} ran for customer ${String(run.customer)}`),
		...plannedProblems(evidence),
		...lostRequests(evidence).map(loss => describeLoss(loss)),
		...(evidence.isPlannedRun
			? [
				...overdueRequests(evidence).map(call => `request ${call.id} (${call.kind} at ${call.instance}) went on beyond the timeout of its route`),
				...lostOnKeptConnections(evidence).map(call => `request ${call.id} (${call.kind}) was passed on, and ${call.instance} closed its connection without an answer`),
			]
			: []),
		...calmProblems(evidence),
		...configurationProblems(evidence),
		...(evidence.heldReservations > 0 ? [`${evidence.heldReservations} reservations were not given back`] : []),
	];
}

function callProblems(call: Call, runs: number, {events, idForm, floodedRequests}: Pick<Evidence, 'events' | 'idForm' | 'floodedRequests'>): string[] {
	const problems: string[] = [];
	const say = (problem: string) => {
		problems.push(`request ${call.id} (${call.kind} at ${call.instance}): ${problem}`);
	};

	if (call.kind === 'nonIdempotent' && runs > 1) {
		say(`ran ${runs} times`);
	}

	if (call.kind === 'nonIdempotent' && notRunStatuses.has(call.status) && runs > 0) {
		say(`was answered ${call.status} and ran`);
	}

	if (call.endedAt > Math.max(call.startedAt + call.deadline, call.turnAt) + overtime) {
		say(`took ${Math.round(call.endedAt - call.startedAt)} ms`);
	}

	if (call.status === 200) {
		if (!call.signed) {
			say('a success without signature');
		}

		const expected = call.kind === 'stream' || call.kind === 'large'
			? Array.from({length: call.events ?? events}, (_, index) => eventText(index + 1, idForm)).join('')
			: plainResponseBody(call.id);
		// What an engine sends without end goes beyond it, or is a stream of events whatever was asked.
		const isEndless = floodedRequests.has(call.id) && (call.body.startsWith(expected) || call.body.startsWith(eventText(1)));
		// An answer that is cut is the beginning of the whole one.
		const isBeginning = !call.whole && expected.startsWith(call.body);
		if (call.body !== expected && !isBeginning && !isEndless) {
			say(`another answer than its own: ${JSON.stringify(call.body.slice(0, 60))}`);
		}
	}

	return problems;
}

/** Planned work alone cuts no request that was sent before it or soon after. */
function plannedProblems(evidence: Evidence): string[] {
	const {calls, windows, isPlannedRun} = evidence;
	// The streams of other runs are too short to need an excuse.
	const isExcused = (call: Call) => isPlannedRun && (isExcusedByStop(call, evidence) || hasTimedOut(call, evidence));
	return calls.filter(call => {
		const around = windows.filter(window => window.until >= call.startedAt - calmMargin && window.from <= call.endedAt);
		const planned = around.filter(({isPlanned, instance}) => isPlanned && instance === call.instance);
		return planned.length > 0 && around.every(window => window.isPlanned) && call.failure !== undefined
			// A connection that the process closed before it read the request is no cut.
			&& call.status !== 0 && !isExcused(call);
	}).map(call => `request ${call.id} (${call.kind}) was cut by planned work at ${call.instance}: ${String(call.failure)}`);
}

/** A calm request is handled by the configuration that was acknowledged before it. */
function configurationProblems({calls, windows, routeAddedAt}: Evidence): string[] {
	return calls.filter(call => unknownRouteStatuses.has(call.status) && isCalm(call, windows)
		&& (call.kind !== 'added' || call.startedAt > routeAddedAt + propagationLimit))
		.map(call => `request ${call.id} (${call.kind} at ${call.instance}) was answered ${call.status} by an older configuration`);
}

/** Whether no fault lies before or in a request. */
function isCalm(call: Call, windows: readonly FaultWindow[]): boolean {
	return windows.every(window => window.until < call.startedAt - calmMargin || window.from > call.endedAt);
}

function calmProblems({calls, windows}: Evidence): string[] {
	const calm = calls.filter(call => call.kind !== 'added' && isCalm(call, windows));
	const failed = calm.filter(({status, whole}) => status !== 200 || !whole);
	const examples = failed.slice(0, 5).map(({id, kind, instance, status, failure}) => `${id} (${kind} at ${instance}: ${status} ${failure ?? ''})`);
	return calm.length >= calmCount && failed.length > calm.length * (1 - calmShare)
		? [`${failed.length} of ${calm.length} calm requests were not served: ${examples.join(', ')}`]
		: [];
}
