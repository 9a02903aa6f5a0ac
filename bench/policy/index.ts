/**
 * The policy bench: `npm run bench:policy -- --json [--seed N] [--workload FILE] [--policy NAME]`.
 *
 * @module
 */
import {readdirSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Command} from 'commander';
import {measureCapacity} from './capacity.js';
import {decisionMicroseconds} from './decision-time.js';
import {type Load, type PolicyFigures, runExperiment} from './experiment.js';
import {policyNames} from './policies.js';
import {type EngineKind, readWorkload, type Workload} from './workload.js';

const directory = fileURLToPath(new URL('workloads/', import.meta.url));
const kinds: readonly EngineKind[] = ['interleaving', 'non-preemptive'];
const loads: readonly Load[] = ['normal', 'overload', 'degraded'];

/** Share of the duration that a quick run covers. */
const quickShare = 0.1;

/** Engines at which decisions are timed. */
const timedEngines = [20, 600];

type Options = {json: boolean; seed: string; workload?: string; policy?: string; kind?: string; load?: string; quick: boolean};

const program = new Command('bench:policy')
	.option('--json', 'print only the last line of JSON', false)
	.option('--seed <number>', 'seed of traces and policies', '1')
	.option('--workload <file>', 'workload file; all shipped ones by default')
	.option('--policy <name>', `one of ${policyNames.join(', ')}`)
	.option('--kind <kind>', `one of ${kinds.join(', ')}`)
	.option('--load <load>', `one of ${loads.join(', ')}`)
	.option('--quick', 'a tenth of the duration', false);

program.parse(process.argv);
run(program.opts<Options>());

function run(options: Options): void {
	const seed = Number(options.seed);
	const files = options.workload === undefined ? readdirSync(directory).map(name => `${directory}${name}`).toSorted() : [options.workload];
	const results: Record<string, unknown> = {};
	for (const file of files) {
		const workload = shorten(readWorkload(file), options.quick);
		results[workload.workload.name] = runWorkload(workload, seed, options);
	}

	const [first] = files;
	const microseconds = Object.fromEntries(timedEngines.map(engines => [engines, decisionMicroseconds(readWorkload(first!), engines, seed)]));
	console.log(JSON.stringify({seed, results, decision_microseconds: microseconds}));
}

function runWorkload(workload: Workload, seed: number, options: Options): Record<string, unknown> {
	const result: Record<string, unknown> = {};
	for (const kind of kinds.filter(name => options.kind === undefined || name === options.kind)) {
		const capacity = measureCapacity(workload, kind, seed);
		const byLoad: Record<string, unknown> = {capacity_per_second: Math.round(capacity * 1000) / 1000};
		for (const load of loads.filter(name => options.load === undefined || name === options.load)) {
			byLoad[load] = Object.fromEntries(policies(load, workload, options).map(policy => {
				const figures = runExperiment({
					workload, kind, policy, load, capacity, seed,
				});
				if (!options.json) {
					console.log(row(`${workload.workload.name} ${kind} ${load} ${policy}`, figures));
				}

				return [policy, figures];
			}));
		}

		result[kind] = byLoad;
	}

	return result;
}

/** Policies of a load; the degraded case and large fleets leave out those that say little there. */
function policies(load: Load, workload: Workload, {policy}: Options): readonly string[] {
	if (policy !== undefined) {
		return [policy];
	}

	const few = ['carobquay', 'least-in-flight', 'length-blind-cost'];
	return load === 'degraded' || workload.workload.policies === 'few' ? few : policyNames;
}

function shorten(workload: Workload, quick: boolean): Workload {
	const {duration_s: duration, warmup_s: warmup} = workload.workload;
	return quick ? {...workload, workload: {...workload.workload, duration_s: duration * quickShare, warmup_s: warmup * quickShare}} : workload;
}

function row(name: string, figures: PolicyFigures): string {
	const times = Object.entries(figures.bands).map(([band, {ttft_p50_s: median, ttft_p95_s: p95}]) => `${band}=${median}/${p95}`).join(' ');
	const {short_slowdown_p95: slowdown, goodput, refused, missed, lost, long_progress: progress} = figures;
	return `${name}: ttft p50/p95 s ${times} slowdown=${slowdown} goodput=${goodput} refused=${JSON.stringify(refused)}`
		+ ` under_share=${figures.refused_under_share} slowest_refusal=${figures.slowest_refusal_ms} missed=${missed} lost=${lost} long_progress=${progress}`;
}
