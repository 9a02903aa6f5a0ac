/**
 * `npm run soak`: runs of the real programs under random faults, seed by seed.
 *
 * @module
 */
import process from 'node:process';
import {Command} from 'commander';
import {SoakRun} from './run.js';

const program = new Command('soak')
	.option('--seeds <number>', 'runs', '5')
	.option('--from <number>', 'first seed', '1')
	.option('--seconds <number>', 'length of a run with its quiet start and end', '20')
	.option('--instances <number>', 'processes', '4')
	.option('--engines <number>', 'stand-ins of engines', '6')
	.option('--rate <number>', 'requests a second', '40')
	.option('--before <path>', 'program of another build, with which the instances start; a restart brings the current one')
	.option('--planned', 'planned work and silence of engines instead of the other faults', false)
	.option('--keep-logs', 'keep the logs of runs that passed', false)
	.parse();
const options = program.opts<{seeds: string; from: string; seconds: string; instances: string; engines: string; rate: string; before?: string; planned: boolean; keepLogs: boolean}>();

let passed = 0;
let failed = 0;
for (let seed = Number(options.from); seed < Number(options.from) + Number(options.seeds); seed++) {
	const run = new SoakRun({
		seed, duration: Number(options.seconds) * 1000, instances: Number(options.instances), engines: Number(options.engines), rate: Number(options.rate),
		isPlanned: options.planned, keepLogs: options.keepLogs, programBefore: options.before,
	});
	const {problems, calls, served, logs, faults} = await run.run(); // eslint-disable-line no-await-in-loop
	const outcome = problems.length === 0 ? 'held' : 'broken';
	const kept = logs === undefined ? '' : `, logs in ${logs}`;
	process.stdout.write(`seed ${seed}: ${outcome}, ${served} of ${calls} requests served, ${faults.length} faults${kept}\n`);
	for (const problem of problems.slice(0, 10)) {
		process.stdout.write(`  ${problem}\n`);
	}

	if (problems.length === 0) {
		passed += 1;
	} else {
		failed += 1;
	}
}

process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;
