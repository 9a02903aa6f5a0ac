/**
 * What floods and failed starts must not do: end processes, take more memory than the platform allows, or take service from sound callers.
 *
 * @module
 */
import type {Call} from './callers.js';
import {calmMargin, type FaultWindow, notRunStatuses} from './checks.js';
import {isFloodName, isRestartName} from './flood-faults.js';
import {memoryLimit, type MemoryPeak} from './memory-watch.js';

/** Time in milliseconds within which a request that is not run is refused. */
const refusalTime = 1000;

/** Share of sound requests that are served or refused in time, and the least number by which it is judged. */
const soundShare = 0.95;
const soundCount = 20;

/** Attempts that routes allow a request that may be repeated. */
const attempts = 2;

/** Time in milliseconds within which an instance serves after its settings are whole or its port is free. */
const recoveryTime = 5000;

/** When an instance served after a failed start could succeed; monotonic times in milliseconds, undefined if it did not. */
export type Recovery = {instance: string; since: string; from: number; servedAt: number | undefined};

/** What a run with floods has to show. */
export type FloodEvidence = {
	calls: readonly Call[];
	windows: readonly FaultWindow[];
	/** Number of engines that sent something without end as their answer to a request, by its id. */
	floodedRequests: ReadonlyMap<string, number>;
	peaks: readonly MemoryPeak[];
	recoveries: readonly Recovery[];
};

/** Sound requests beside floods: all, those that were served, and those that were refused at once as not run. */
export type SoundFigures = {count: number; served: number; refused: number};

export function floodProblems(evidence: FloodEvidence): string[] {
	return [...memoryProblems(evidence.peaks), ...soundProblems(evidence), ...recoveryProblems(evidence)];
}

export function soundFigures(evidence: FloodEvidence): SoundFigures {
	const sound = soundRequests(evidence);
	return {count: sound.length, served: sound.filter(call => isServed(call)).length, refused: sound.filter(call => isRefusedAtOnce(call)).length};
}

function memoryProblems(peaks: readonly MemoryPeak[]): string[] {
	return peaks.filter(({megabytes}) => megabytes >= memoryLimit)
		.map(({name, processId, megabytes}) => `process ${processId} of ${name} had ${Math.round(megabytes)} MB resident; allowed ${memoryLimit}`);
}

function soundProblems(evidence: FloodEvidence): string[] {
	const sound = soundRequests(evidence);
	const failed = sound.filter(call => !isServed(call) && !isRefusedAtOnce(call));
	const examples = failed.slice(0, 8)
		.map(({id, kind, instance, status, failure, startedAt, endedAt}) => `${id} (${kind} at ${instance}: ${status} ${failure ?? ''} after ${Math.round(endedAt - startedAt)} ms)`);
	return sound.length >= soundCount && failed.length > sound.length * (1 - soundShare)
		? [`${failed.length} of ${sound.length} sound requests beside floods were neither served nor refused at once: ${examples.join(', ')}`]
		: [];
}

function recoveryProblems({recoveries, windows}: FloodEvidence): string[] {
	return recoveries.filter(({instance, from, servedAt = Number.POSITIVE_INFINITY}) => servedAt > from + recoveryTime
		// The fault itself began before the moment from which the time counts, and ends with it.
		&& !windows.some(window => (isFloodName(window.name) ? isRestartName(window.name) && window.instance === instance && window.from > from : true)
			&& window.from <= from + recoveryTime && window.until >= from))
		.map(({instance, since, from, servedAt}) => `${instance} served ${servedAt === undefined ? 'nothing' : `${Math.round(servedAt - from)} ms`} after ${since}; allowed ${recoveryTime} ms`);
}

/** Requests beside floods, at instances that neither stop nor start, as far as engines that send without end left them a chance. */
function soundRequests({calls, windows, floodedRequests}: FloodEvidence): Call[] {
	return calls.filter(call => {
		const around = windows.filter(({from, until}) => until >= call.startedAt - calmMargin && from <= call.endedAt);
		const beside = around.filter(({from, until}) => until >= call.startedAt && from <= call.endedAt);
		const isBesideOthers = around.some(({name, isPlanned, instance}) => !isFloodName(name) && !(isPlanned && instance !== undefined && instance !== call.instance));
		const isRestarting = beside.some(({name, instance}) => isRestartName(name) && instance === call.instance);
		return call.kind !== 'added' && around.some(({name}) => isFloodName(name)) && !isBesideOthers && !isRestarting
			&& !isLeftToFlood(call, floodedRequests.get(call.id) ?? 0) && !(call.kind === 'large' && around.some(({name}) => name === 'engine-flood'));
	});
}

/** Whether nothing more could be done for a request: it may not be repeated, its answer has begun, or no attempt is left. */
function isLeftToFlood({kind, status, whole}: Call, floods: number): boolean {
	return floods > 0 && (kind === 'nonIdempotent' || floods >= attempts || (status === 200 && !whole));
}

function isServed({status, whole}: Call): boolean {
	return status === 200 && whole;
}

function isRefusedAtOnce({status, startedAt, endedAt}: Call): boolean {
	return notRunStatuses.has(status) && endedAt - startedAt <= refusalTime;
}
