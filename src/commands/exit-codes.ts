/**
 * Exit codes of the command line; docs/command-line.md lists them.
 *
 * @module
 */
import {match, P} from 'ts-pattern';
import type {CarobquayError} from '../errors/errors.js';

/** Exit codes. */
export const exitCodes = {
	success: 0,
	failure: 1,
	usage: 2,
	invalid: 3,
	conflict: 4,
	unavailable: 5,
	unknown: 6,
	settingsUnusable: 7,
	portUnavailable: 8,
} as const;

/** Exit code for an error. */
export function exitCodeOf({code}: CarobquayError): number {
	return match(code)
		.with('7002', () => exitCodes.usage)
		.with('6001', '7001', '1002', () => exitCodes.invalid)
		.with('7003', () => exitCodes.settingsUnusable)
		.with('7004', () => exitCodes.portUnavailable)
		.with('6002', () => exitCodes.conflict)
		.with('6003', '5002', () => exitCodes.unknown)
		.with('5001', '5003', '5004', '5005', '4002', () => exitCodes.unavailable)
		.with(P.string, () => exitCodes.failure)
		.exhaustive();
}
