/**
 * Runs all tests: first those that bear others beside them, then one at a time those of processes beside crowds of callers.
 * Arguments are passed on to the test runner.
 *
 * @module
 */
import {spawn} from 'node:child_process';
import process from 'node:process';

/** Runs the test runner and returns its exit code. */
async function runAva(parameters: readonly string[]): Promise<number> {
	const child = spawn('ava', parameters, {stdio: 'inherit'});
	return new Promise((resolve, reject) => {
		child.once('error', reject);
		child.once('close', code => {
			resolve(code ?? 1);
		});
	});
}

const parameters = process.argv.slice(2);
const exitCodes = [await runAva(parameters), await runAva(['--config', 'crowds.config.js', ...parameters])];
process.exitCode = Math.max(...exitCodes);
