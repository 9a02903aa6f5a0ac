/**
 * All faults of a run, drawn from its seed.
 *
 * @module
 */
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {
	drawFaults, drawScarcity, type Fault, isBorneBefore, type ScarcityFaults, type SoakSize,
} from './faults.js';
import {drawFloods, type FloodFault, isPlayedBesideFloods} from './flood-faults.js';
import {drawPlannedWork} from './planned-work.js';

/** What decides which faults a run has. */
export type DrawOptions = SoakSize & ScarcityFaults & {
	/** In milliseconds. */
	duration: number;
	/** Whether there is planned work and silence of engines alone. */
	isPlanned: boolean;
	/** Whether engines are silent beside planned work. */
	hasSilence: boolean;
	/** Whether there are floods, signals and failed starts, alone at first and beside the usual faults later. */
	hasFloods: boolean;
	/** Program of another build that the first processes run; undefined for the same one. */
	programBefore: string | undefined;
};

/** Draws the faults of a run. Floods are drawn last, so that seeds draw the others as without them. */
export function drawRun(generator: RandomGenerator, options: DrawOptions): Array<Fault | FloodFault> {
	const {duration, programBefore, isPlanned, hasSilence, hasFloods} = options;
	const faults = [...(isPlanned ? drawPlannedWork : drawFaults)(generator, duration, options), ...drawScarcity(generator, duration, options)]
		.filter(fault => (programBefore === undefined || isBorneBefore(fault)) && (hasSilence || fault.kind !== 'silence'));
	return hasFloods ? [...faults.filter(fault => isPlayedBesideFloods(fault, duration)), ...drawFloods(generator, duration, options)] : faults;
}
