/**
 * A request under way at an instance.
 *
 * @module
 */
import type {Decider} from './decider.js';
import type {DividedRequest} from './divided-request.js';
import type {SimulatedEngine} from './simulated-engine.js';
import type {TraceRequest} from './trace.js';

/** A request under way at an instance; a part of a divided one has the parent's callbacks. */
export type Job = {
	request: TraceRequest;
	deadline: number;
	decider: Decider;
	excluded: string[];
	attempt: number;
	finished: boolean;
	engine: SimulatedEngine | undefined;
	onFirstToken: (() => void) | undefined;
	onEnd: (result: {ok: boolean; refused?: string}) => void;
	onDivide: ((parts: DividedRequest) => void) | undefined;
};

/** A request that has not been decided on. */
export function newJob(given: Pick<Job, 'request' | 'deadline' | 'decider' | 'onFirstToken' | 'onEnd'>): Job {
	return {
		...given, excluded: [], attempt: 0, finished: false, engine: undefined, onDivide: undefined,
	};
}

/** Name of the stream of the current attempt. */
export function streamId({request, attempt}: Job): string {
	return `${request.id}/${attempt}`;
}

