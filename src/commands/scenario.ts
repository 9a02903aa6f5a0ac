/**
 * `carobquay scenario`: runs a scenario file on a simulated fleet under a paused clock.
 *
 * @module
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {CarobquayError, errorMessage} from '../errors/errors.js';
import {runScenarios} from '../scenario/scenario-file.js';
import {exitCodes} from './exit-codes.js';
import {print, printJson} from './output.js';

/** Options of the command. */
export type ScenarioOptions = {
	json?: boolean;
	/** Seed of all random choices. */
	seed: string;
};

/**
 * Runs a file and prints how each of its scenarios ended.
 *
 * @throws {CarobquayError} 7002 where the file cannot be read or understood.
 */
export async function scenario(file: string, {json, seed}: ScenarioOptions): Promise<void> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		throw new CarobquayError('7002', {message: `scenario file "${file}" cannot be read: ${errorMessage(error)}`, cause: error});
	}

	const results = await runScenarios(text, {name: file, seed: Number.parseInt(seed, 10)});
	if (json) {
		printJson({scenarios: results});
	} else {
		for (const {name, failure} of results) {
			print(failure === undefined ? `held: ${name}` : `failed: ${name}\n  at "${failure.sentence}"\n  ${failure.message}`);
		}
	}

	process.exitCode = results.every(({failure}) => failure === undefined) ? exitCodes.success : exitCodes.failure;
}
