/**
 * `npm run soak`: runs of the real programs under random faults, seed by seed.
 *
 * @module
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {Command} from 'commander';
import {knownRedTitles} from '../scripts/tap.js';
import {describeFloods} from './floods.js';
import {currentProgram} from './instances.js';
import {knownRedTitle} from './known-red.js';
import {describeFigures} from './planned-figures.js';
import {SoakRun} from './run.js';

/** Sizes of a run, if nothing else is said: with planned work alone, with the other faults, and with floods. */
const plannedSizes = {instances: 8, engines: 21};
const usualSizes = {instances: 4, engines: 6};
/** Beside floods enough engines of each service are left. */
const floodSizes = {instances: 4, engines: 12};

const program = new Command('soak')
	.option('--seeds <number>', 'runs', '5')
	.option('--from <number>', 'first seed', '1')
	.option('--seconds <number>', 'length of a run with its quiet start and end', '20')
	.option('--instances <number>', `processes (default: ${usualSizes.instances}, ${plannedSizes.instances} with --planned)`)
	.option('--engines <number>', `stand-ins of engines (default: ${usualSizes.engines}, ${plannedSizes.engines} with --planned, ${floodSizes.engines} with --floods)`)
	.option('--rate <number>', 'requests a second, without --planned', '40')
	.option('--callers <number>', 'callers that keep their connections, with --planned', '96')
	.option('--lane <number>', 'third number of the addresses (default: from the seed), so that runs may go beside each other')
	.option('--program <path>', 'program that the instances run', currentProgram)
	.option('--before <path>', 'program of another build, with which the instances start; a restart brings the one of --program')
	.option('--planned', 'planned work and silence of engines instead of the other faults', false)
	.option('--no-silence', 'planned work without silence of engines')
	.option('--evacuate', 'evacuations of failure domains beside the faults', false)
	.option('--cold', 'cold engines beside the faults', false)
	.option('--ranks', 'routes of different ranks', false)
	.option('--ids', 'ids of events in another form with each seed', false)
	.option('--floods', 'floods from callers, engines, store and peers, signals and failed starts, beside which the faults come late in the run', false)
	.option('--keep-logs', 'keep the logs of runs that passed', false)
	.parse();
const options = program.opts<{
	seeds: string; from: string; seconds: string; instances?: string; engines?: string; rate: string; callers: string; lane?: string;
	program: string; before?: string; planned: boolean; silence: boolean; keepLogs: boolean;
	evacuate: boolean; cold: boolean; ranks: boolean; ids: boolean; floods: boolean;
}>();
const otherSizes = options.floods ? floodSizes : usualSizes;
const sizes = options.planned ? plannedSizes : otherSizes;

const listedTitles = knownRedTitles(await readFile('KNOWN-RED.txt', 'utf8'));
let passed = 0;
let failed = 0;
let knownRed = 0;
for (let seed = Number(options.from); seed < Number(options.from) + Number(options.seeds); seed++) {
	const run = new SoakRun({
		seed, duration: Number(options.seconds) * 1000, instances: Number(options.instances ?? sizes.instances), engines: Number(options.engines ?? sizes.engines),
		rate: Number(options.rate), callers: Number(options.callers), isPlanned: options.planned, hasSilence: options.silence, keepLogs: options.keepLogs,
		hasEvacuations: options.evacuate, hasColdEngines: options.cold, hasRanks: options.ranks, hasFloods: options.floods, hasVariedIds: options.ids,
		lane: options.lane === undefined ? undefined : Number(options.lane), program: options.program, programBefore: options.before,
	});
	const {problems, calls, served, logs, faults, planned, floods} = await run.run(); // eslint-disable-line no-await-in-loop
	const outcome = problems.length === 0 ? 'held' : 'broken';
	const figures = `${planned === undefined ? '' : `; ${describeFigures(planned)}`}${floods === undefined ? '' : `; ${describeFloods(floods)}`}`;
	const kept = logs === undefined ? '' : `, logs in ${logs}`;
	process.stdout.write(`seed ${seed}: ${outcome}, ${served} of ${calls} requests served, ${faults.length} faults${figures}${kept}\n`);
	for (const problem of problems.slice(0, 10)) {
		process.stdout.write(`  ${problem}\n`);
	}

	const title = knownRedTitle({problems, planned}, listedTitles);
	if (problems.length === 0) {
		passed += 1;
	} else if (title === undefined) {
		failed += 1;
	} else {
		knownRed += 1;
		process.stdout.write(`  known red: ${title}\n`);
	}
}

process.stdout.write(`${passed} passed, ${failed} failed${knownRed > 0 ? `, ${knownRed} known red` : ''}\n`);
// What stand-ins have left open must not keep the process.
process.exit(failed === 0 ? 0 : 1); // eslint-disable-line unicorn/no-process-exit
