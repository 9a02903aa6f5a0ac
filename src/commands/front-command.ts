/**
 * Declares `front`, for the whole command line and for the program that has no other command.
 *
 * @module
 */
import {type Command, InvalidArgumentError} from 'commander';
import {defaultStartLimit} from '../startup/repeated-attempt.js';
import type {FrontOptions} from './front.js';

/** Adds the command to a program. @param run - Runs the instance. @returns the command. */
export function declareFrontCommand(program: Command, run: (options: FrontOptions) => Promise<void>): Command {
	return program.command('front')
		.description('run an instance on the platform, with the settings that the platform gives it')
		.option('--log-level <level>', 'least level of log lines: debug, info, warn or error', 'info')
		.option('--metrics-port <port>', 'port for metrics on the instance\'s address')
		.option('--start-limit <ms>', 'time to wait for settings that are not valid yet, and for ports that are taken where the settings say nothing else', parseDuration, defaultStartLimit)
		.action(run);
}

/** @returns milliseconds. @throws {InvalidArgumentError} for what is no whole number of them. */
function parseDuration(text: string): number {
	if (!/^\d{1,9}$/v.test(text)) {
		throw new InvalidArgumentError(`it should be a whole number of milliseconds, found "${text}".`);
	}

	return Number(text);
}
