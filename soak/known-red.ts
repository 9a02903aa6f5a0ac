/**
 * Runs whose only problems are one that KNOWN-RED.txt lists.
 *
 * @module
 */
import type {PlannedFigures} from './planned-figures.js';

/** Title in KNOWN-RED.txt of requests that waited behind a stream, did not run, and ended with its connection. */
const requestsBehindStreams = 'soak --planned, requests behind a stream that is cut';

/** What a run has shown. */
export type RunOutcome = {
	problems: readonly string[];
	/** Undefined where the run had other faults than planned work. */
	planned: Pick<PlannedFigures, 'lost' | 'lostBehind' | 'lostBehindRun'> | undefined;
};

/** Title under which KNOWN-RED.txt lists all problems of a run; undefined if it has none, or one that is not listed. */
export function knownRedTitle({problems, planned}: RunOutcome, titles: ReadonlySet<string>): string | undefined {
	const isEachKnown = planned !== undefined && problems.length > 0
		&& problems.length === planned.lost && planned.lost === planned.lostBehind && planned.lostBehindRun === 0;
	return isEachKnown && titles.has(requestsBehindStreams) ? requestsBehindStreams : undefined;
}
