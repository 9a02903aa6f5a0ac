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
const leastRequestTimeout = 9000;
const greatestRequestTimeout = 14_000;

/** Time in milliseconds between two stops, of one instance after another; stops overlap. */
const stopGap = {least: 3000, greatest: 4000};

/** One stop in so many has a second signal, up to so many milliseconds after the first, when the next process may be starting. */
const secondSignalInterval = 4;
const latestSecondSignal = 9500;

/** Time in milliseconds for which engines are silent, and between two beginnings. */
const silence = {least: 900, greatest: 2600};
const silenceGap = {least: 3000, greatest: 7000};

/** Of ten engines, those that are silent if not all are. */
const silentOfTen = 6;

/** Time in milliseconds between two reloads or configurations. */
const changeGap = {least: 50, greatest: 2000};

/** Draws the planned work of a run of so many milliseconds, and when engines are silent in it. */
export function drawPlannedWork(generator: RandomGenerator, duration: number, {instances, engines}: SoakSize): Fault[] {
	const number = (least: number, most: number) => uniformInt(generator, least, most);
	const series = (gap: {least: number; greatest: number}, draw: (at: number, index: number) => Fault[]) => {
		const faults: Fault[] = [];
		for (let at = quietStart, index = 0; at < duration - quietEnd; at += number(gap.least, gap.greatest), index++) {
			faults.push(...draw(at, index));
		}

		return faults;
	};

	const firstStopped = number(0, instances - 1);
	return [
		...series(stopGap, (at, index) => {
			const stop: Fault = {
				at, duration: 0, kind: 'terminate', instance: (firstStopped + index) % instances,
			};
			const second = at + number(0, latestSecondSignal);
			return number(1, secondSignalInterval) === 1 ? [stop, {...stop, at: second}] : [stop];
		}),
		...series(silenceGap, at => {
			const isWhole = number(0, 1) === 1;
			return [{
				at, duration: number(silence.least, silence.greatest), kind: 'silence',
				engines: Array.from({length: engines}, (_, engine) => engine).filter(() => number(1, 10) <= silentOfTen || isWhole),
			}];
		}),
		...series(changeGap, at => {
			const span = {at, duration: number(0, 500)};
			const instance = number(0, instances - 1);
			const changes: ConfigurationChange[] = [
				{idleTimeout: idleTimeouts[number(0, idleTimeouts.length - 1)]!},
				{requestTimeout: number(leastRequestTimeout, greatestRequestTimeout)},
				{lookupService: number(0, 1) === 1 ? 'model' : 'plain'},
				{hasExtraRoute: number(0, 1) === 1},
			];
			const change = changes[number(0, changes.length - 1)]!;
			return [number(1, 3) === 1 ? {...span, kind: 'reload', instance} : {...span, kind: 'reconfigure', change}];
		}),
	];
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
