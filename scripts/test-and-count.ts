/**
 * Runs `npm test`, passes over the failures that KNOWN-RED.txt lists, and ends with a line of counts.
 *
 * @module
 */
import {spawn} from 'node:child_process';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {
	knownRedTitles, tally, type TapLine, parseTapLine,
} from './tap.js';

/** Runs the tests and returns their results with the exit code of the runner. */
async function runTests(): Promise<{results: TapLine[]; exitCode: number}> {
	const child = spawn('npm', ['test', '--', '--tap'], {stdio: ['ignore', 'pipe', 'inherit']});
	const results: TapLine[] = [];
	let rest = '';
	child.stdout.setEncoding('utf8');
	child.stdout.on('data', (text: string) => {
		process.stdout.write(text);
		const lines = (rest + text).split('\n');
		rest = lines.pop() ?? '';
		results.push(...lines.map(line => parseTapLine(line)).filter(result => result !== undefined));
	});
	const exitCode = await new Promise<number>(resolve => {
		child.on('close', code => {
			resolve(code ?? 1);
		});
	});
	return {results, exitCode};
}

const known = knownRedTitles(await readFile('KNOWN-RED.txt', 'utf8'));
const {results, exitCode} = await runTests();
const {passed, failedTitles, knownFailures, repaired} = tally(results, known);
for (const title of failedTitles) {
	process.stdout.write(`failed: ${title}\n`);
}

for (const title of knownFailures) {
	process.stdout.write(`known red: ${title}\n`);
}

for (const title of repaired) {
	process.stdout.write(`listed in KNOWN-RED.txt but passes, remove it: ${title}\n`);
}

const failed = failedTitles.length;
// A runner that fails without a failing test (a crash, say) fails the run as well.
const unexplained = exitCode !== 0 && failed === 0 && knownFailures.length === 0 ? 1 : 0;
process.stdout.write(`${passed} passed, ${failed + unexplained} failed\n`);
process.exitCode = failed + unexplained > 0 || passed === 0 ? 1 : 0;
