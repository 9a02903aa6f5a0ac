/**
 * Loads of the engines of other failure domains, as instances there report them from time to time.
 *
 * News of single placements stay within their domain. A report holds the loads of all engines of the reporter's domain, so
 * that one datagram a second tells enough to send there what the own domain has no room for.
 *
 * @module
 */
import {hashPosition} from './hash-position.js';
import type {DecodingRequest, EngineLoadSnapshot} from './load-tracker.js';

/** Load of one engine in a report. */
export type EngineLoadReport = {
	/** Short hash of the engine's id; two engines of a domain rarely share one, and then the later one counts. */
	idHash: number;
	/** Times in milliseconds, as in `EngineLoadSnapshot`. */
	prefillBacklog: number;
	longestPrefill: number;
	running: number;
	kvCacheTokens: number;
	/** Shortest event gap target of its decoding requests, infinite without one, and the sum of their weights. */
	eventGapTarget: number;
	weight: number;
	/** Factor on the engine's published times, at least 1; undefined where the reporter does not state it. */
	slowdown?: number | undefined;
};

/** Loads of the engines of one failure domain. */
export type DomainLoadReport = {failureDomain: string; engines: readonly EngineLoadReport[]};

/** Time in milliseconds after which a report tells too little: several requests begin and end at an engine meanwhile. */
export const reportLifetime = 3000;

/** Most engines in a report, those with the shortest backlogs; more do not fit into one list of a datagram. */
export const maximumReportedEngines = 64;

/** Values of a short hash. */
const hashValues = 65_536;

/** Short hash of an engine's id. */
export function hashEngineId(id: string): number {
	return Math.floor(hashPosition(id) * hashValues);
}

/** Describes the load of one engine for instances of other domains. */
export function reportEngineLoad(id: string, {prefillBacklog, longestPrefill, running, kvCacheTokens, decodingRequests}: EngineLoadSnapshot): EngineLoadReport {
	return {
		idHash: hashEngineId(id), prefillBacklog, longestPrefill, running, kvCacheTokens,
		eventGapTarget: Math.min(...decodingRequests.map(request => request.eventGapTarget)),
		weight: decodingRequests.reduce((sum, request) => sum + request.weight, 0),
	};
}

/** Describes the loads of the engines of a failure domain, the least loaded ones if there are too many; undefined without any. */
export function reportLoads(failureDomain: string, engines: ReadonlyArray<{id: string; load: EngineLoadSnapshot; slowdown: number}>): DomainLoadReport | undefined {
	const leastLoaded = engines.toSorted((one, other) => one.load.prefillBacklog - other.load.prefillBacklog).slice(0, maximumReportedEngines);
	return leastLoaded.length === 0 ? undefined : {failureDomain, engines: leastLoaded.map(({id, load, slowdown}) => ({...reportEngineLoad(id, load), slowdown}))};
}

type ReceivedLoads = {receivedAt: number; engines: ReadonlyMap<number, EngineLoadReport>};

/** Latest reports by failure domain; all times are monotonic, in milliseconds. */
export class DomainLoads {
	readonly #reports = new Map<string, ReceivedLoads>();

	record({failureDomain, engines}: DomainLoadReport, now: number): void {
		this.#reports.set(failureDomain, {receivedAt: now, engines: new Map(engines.map(engine => [engine.idHash, engine]))});
	}

	/** Whether a domain has reported its loads lately. */
	isKnown(failureDomain: string, now: number): boolean {
		return now - (this.#reports.get(failureDomain)?.receivedAt ?? Number.NEGATIVE_INFINITY) <= reportLifetime;
	}

	/** Whether an engine of another domain may be chosen: the longest backlogs are left out of a report. Without a recent report all may be. */
	isCandidate(failureDomain: string, engineId: string, now: number): boolean {
		return !this.isKnown(failureDomain, now) || this.#reports.get(failureDomain)!.engines.has(hashEngineId(engineId));
	}

	/** Factor on the published times of an engine of another domain, as its domain reports it; 1 where it does not. */
	slowdown(failureDomain: string, engineId: string, now: number): number {
		return this.isKnown(failureDomain, now) ? this.#reports.get(failureDomain)!.engines.get(hashEngineId(engineId))?.slowdown ?? 1 : 1;
	}

	/**
	 * Load of an engine of another domain: as its domain reports it, and at least what this instance has placed there, which
	 * the report may not yet hold.
	 *
	 * @param own - Load by what this instance knows of placements.
	 */
	snapshot(failureDomain: string, engineId: string, own: EngineLoadSnapshot, now: number): EngineLoadSnapshot {
		const received = this.#reports.get(failureDomain);
		const report = received?.engines.get(hashEngineId(engineId));
		if (!received || !report || now - received.receivedAt > reportLifetime) {
			return own;
		}

		const age = now - received.receivedAt;
		const reported: DecodingRequest[] = report.running === 0 ? [] : [{eventGapTarget: report.eventGapTarget, weight: report.weight}];
		return {
			prefillBacklog: Math.max(own.prefillBacklog, report.prefillBacklog - age),
			longestPrefill: Math.max(own.longestPrefill, report.prefillBacklog > age ? report.longestPrefill : 0),
			running: Math.max(own.running, report.running),
			kvCacheTokens: Math.max(own.kvCacheTokens, report.kvCacheTokens),
			decodingRequests: own.running > report.running ? own.decodingRequests : reported,
		};
	}
}
