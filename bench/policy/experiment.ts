/**
 * The runs of one policy on one workload and one kind of engine.
 *
 * @module
 */
import {
	isShort, type RunFigures, runFigures, shortP95,
} from './metrics.js';
import {deciderFactory} from './policies.js';
import {Simulation} from './simulation.js';
import {drawTrace, type TraceRequest} from './trace.js';
import type {EngineKind, Workload} from './workload.js';

/** Which runs to make. */
export type Load = 'normal' | 'overload' | 'degraded';

/** Share of the measured capacity that is asked for. */
const loadShares: Readonly<Record<Load, number>> = {normal: 0.8, overload: 1.2, degraded: 0.8};

/** Figures of one policy. */
export type PolicyFigures = RunFigures & {short_slowdown_p95: number | undefined};

/** What an experiment runs. */
export type Experiment = {
	workload: Workload;
	kind: EngineKind;
	policy: string;
	load: Load;
	/** Requests a second that the fleet completes at most. */
	capacity: number;
	seed: number;
};

/** Runs the mixed trace and, except under overload, the short requests alone. */
export function runExperiment(experiment: Experiment): PolicyFigures {
	const {workload, load, capacity, seed} = experiment;
	const trace = drawTrace(workload, capacity * loadShares[load], seed);
	const mixed = runTrace(experiment, trace);
	if (load === 'overload') {
		return {...mixed, short_slowdown_p95: undefined};
	}

	const alone = runTrace(experiment, trace.filter(request => isShort(request)));
	return {...mixed, short_slowdown_p95: Math.round((1000 * shortP95(mixed)) / shortP95(alone)) / 1000};
}

function runTrace({workload, kind, policy, load, seed}: Experiment, trace: readonly TraceRequest[]): RunFigures {
	const simulation = new Simulation({
		workload, kind, trace, seed, makeDecider: deciderFactory(policy, workload, seed), degraded: load === 'degraded',
	});
	return runFigures(workload, trace, simulation.run());
}
