/**
 * Planned work in series, beside engines that are silent for a while.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {ConfigurationDetails} from '../platform/stand-in/deployment.js';
import type {StandInEngine} from '../platform/stand-in/engine.js';
import {
	type Fault, quietEnd, quietStart, type SoakSize,
} from './faults.js';

/** What a new version of the configuration changes: a time in milliseconds, the service of a route, or a route that is added and later removed. */
export type ConfigurationChange = Partial<ConfigurationDetails> | {hasExtraRoute: boolean};

/** Idle timeouts in milliseconds. */
const idleTimeouts = [1000, 2000, 5000, 15_000];

/** Least and greatest timeout in milliseconds of routes. */
const leastRequestTimeout = 7500;
const greatestRequestTimeout = 12_000;

/** Least and greatest time in milliseconds for which engines are silent. */
const leastSilence = 900;
const greatestSilence = 1400;

/** Least and greatest time in milliseconds between two beginnings. */
const leastGap = 50;
const greatestGap = 900;

/** Draws the planned work of a run of so many milliseconds, and when engines are silent in it. */
export function drawPlannedWork(generator: RandomGenerator, duration: number, {instances, engines}: SoakSize): Fault[] {
	const number = (least: number, most: number) => uniformInt(generator, least, most);
	const faults: Fault[] = [];
	let at = quietStart;
	while (at < duration - quietEnd) {
		const span = {at, duration: number(0, 500)};
		const instance = number(0, instances - 1);
		const changes: ConfigurationChange[] = [
			{idleTimeout: idleTimeouts[number(0, idleTimeouts.length - 1)]!},
			{requestTimeout: number(leastRequestTimeout, greatestRequestTimeout)},
			{lookupService: number(0, 1) === 1 ? 'model' : 'plain'},
			{hasExtraRoute: number(0, 1) === 1},
		];
		const isWhole = number(0, 1) === 1;
		const silence: Fault = {
			at, duration: number(leastSilence, greatestSilence), kind: 'silence',
			engines: Array.from({length: engines}, (_, engine) => engine).filter(() => number(0, 1) === 1 || isWhole),
		};
		const kinds: Fault[] = [
			{...span, kind: 'terminate', instance},
			{...span, kind: 'reload', instance},
			{...span, kind: 'reconfigure', change: changes[number(0, changes.length - 1)]!},
			silence,
			silence,
		];
		faults.push(kinds[number(0, kinds.length - 1)]!);
		at += number(leastGap, greatestGap);
	}

	return faults;
}

/** Silences engines for a time in milliseconds. Silences may overlap; an engine goes on when its last one ends. */
export async function silenceEngines(engines: readonly StandInEngine[], duration: number): Promise<void> {
	for (const engine of engines) {
		engine.pause();
	}

	await sleep(duration);
	for (const engine of engines) {
		engine.resume();
	}
}
