/**
 * Requests that crash engines, checked against the bounds on how many of them still reach one.
 *
 * @module
 */
import {calmMargin, type FaultWindow} from './checks.js';

/** What crashes engines: one part of a prompt, or one request that comes again. */
export type PoisonKind = 'part' | 'request';

/** One kind of poisonous request of a run, and what engines saw of it; all times are monotonic, in milliseconds. */
export type Poison = {
	kind: PoisonKind;
	/** Text that its requests carry and no others. */
	marker: string;
	/** When the caller sent each request, and to which instance. */
	sent: Map<string, {at: number; instance: string}>;
	arrivals: Array<{requestId: string; at: number}>;
	crashes: number[];
};

/** The platform's bounds: from so many milliseconds after the crash with this number, no more than so many arrivals. */
const stabilityWindow = 3000;
const decidingCrash: Readonly<Record<PoisonKind, number>> = {part: 5, request: 3};
const toleratedArrivals = 3;

/** Faults that excuse the instance that they strike; those of the store excuse all. */
const excusingFaults: ReadonlySet<string> = new Set(['kill', 'terminate', 'pause']);
const storeFaults: ReadonlySet<string> = new Set(['store', 'store-delay', 'store-copy', 'forget-history']);

/** Poisons of which too many requests reached engines. */
export function poisonProblems(poisons: readonly Poison[], windows: readonly FaultWindow[]): string[] {
	const isExcused = (instance: string, sentAt: number) => windows
		.some(({name, instance: struck, from, until}) => (storeFaults.has(name) || (excusingFaults.has(name) && struck === instance)) && from <= sentAt && until >= sentAt - calmMargin);
	return poisons.flatMap(({kind, marker, sent, arrivals, crashes}) => {
		const decidedAt = crashes[decidingCrash[kind] - 1];
		const counted = decidedAt === undefined
			? []
			: arrivals.filter(({requestId}) => {
				const request = sent.get(requestId);
				return request !== undefined && request.at > decidedAt + stabilityWindow && !isExcused(request.instance, request.at);
			});
		return counted.length > toleratedArrivals
			? [`${counted.length} requests with ${kind} ${marker} reached engines after ${crashes.length} crashes; allowed ${toleratedArrivals}`]
			: [];
	});
}
