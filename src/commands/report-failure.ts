/**
 * Tells the user of a command that failed, and chooses the exit code.
 *
 * @module
 */
import process from 'node:process';
import {CommanderError} from 'commander';
import {toCarobquayError} from '../errors/errors.js';
import {exitCodeOf, exitCodes} from './exit-codes.js';

/** @returns the exit code. */
export function reportFailure(error: unknown): number {
	if (error instanceof CommanderError) {
		// Commander has printed its message or the help that was asked for.
		return error.exitCode === 0 ? exitCodes.success : exitCodes.usage;
	}

	const failure = toCarobquayError(error, 'unknown');
	process.stderr.write(`carobquay: ${failure.message}\n`);
	process.stderr.write(`error ${failure.code} (${failure.entry.name}): ${failure.entry.remedy}\n`);
	return exitCodeOf(failure);
}
