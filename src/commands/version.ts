/**
 * `carobquay version`: prints the version.
 *
 * @module
 */
import process from 'node:process';
import {version} from '../version.js';
import {print, printJson} from './output.js';

/** Options of the command. */
export type VersionOptions = {json?: boolean};

/** Prints the version of the program, and as JSON that of the runtime too. */
export function versionCommand({json}: VersionOptions): void {
	if (json) {
		printJson({version, node: process.version});
		return;
	}

	print(version);
}
