/**
 * What may reach engines of an evacuated failure domain, and cold engines, checked against the engines' own records.
 *
 * @module
 */

/** A request, or a part of a split prefill, that an engine has received. Times are monotonic, in milliseconds. */
export type EngineArrival = {
	engineId: string;
	/** Number of the engine's start. */
	start: number;
	domain: string;
	requestId: string;
	at: number;
};

/** An evacuation of a domain; monotonic times in milliseconds. */
export type Evacuation = {
	domain: string;
	/** When the store acknowledged the row. */
	acknowledgedAt: number;
	/** When the row was removed, or lost by the store; infinite while it is there. */
	endedAt: number;
};

/** A time in which an engine is cold, as instances can know it; monotonic times in milliseconds. */
export type ColdSpan = {engineId: string; start: number; from: number; until: number};

/** Width in milliseconds of the window in which a cold engine must get fewer requests than its limit. */
export const coldWindow = 1000;

/** Evacuations after which requests reached the domain later than the limit in milliseconds after the acknowledgement, one line for each. */
export function evacuationProblems({arrivals, evacuations, limit}: {arrivals: readonly EngineArrival[]; evacuations: readonly Evacuation[]; limit: number}): string[] {
	return evacuations.flatMap(({domain, acknowledgedAt, endedAt}) => {
		const late = arrivals.filter(arrival => arrival.domain === domain && arrival.at > acknowledgedAt + limit && arrival.at < endedAt);
		const last = late.at(-1);
		return last === undefined
			? []
			: [`${late.length} requests reached domain ${domain} later than ${limit} ms after its evacuation, ${last.requestId} after ${Math.round(last.at - acknowledgedAt)} ms`];
	});
}

/** Cold engines that got their limit of requests or more in a sliding second, one line for each span. */
export function coldProblems({arrivals, spans, limit}: {arrivals: readonly EngineArrival[]; spans: readonly ColdSpan[]; limit: number}): string[] {
	return spans.flatMap(({engineId, start, from, until}) => {
		const times = arrivals.filter(arrival => arrival.engineId === engineId && arrival.start === start && arrival.at >= from && arrival.at < until)
			.map(({at}) => at).toSorted((one, other) => one - other);
		const {count, endsAt} = greatestCount(times);
		return count >= limit
			? [`${engineId} got ${count} requests within ${coldWindow} ms while it was cold, the last ${Math.round(endsAt - from)} ms after they began to count; allowed fewer than ${limit}`]
			: [];
	});
}

/** Greatest number of ascending times in milliseconds within a window, and the last of these. */
export function greatestCount(times: readonly number[]): {count: number; endsAt: number} {
	let first = 0;
	let greatest = {count: 0, endsAt: 0};
	for (const [index, at] of times.entries()) {
		while (at - times[first]! >= coldWindow) {
			first += 1;
		}

		if (index - first + 1 > greatest.count) {
			greatest = {count: index - first + 1, endsAt: at};
		}
	}

	return greatest;
}
