/**
 * Faults of a run, drawn from its seed: each begins at a time, lasts a while and may overlap others.
 *
 * @module
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {EngineFault} from '../platform/stand-in/engine.js';
import type {StoreFault} from '../platform/stand-in/store.js';
import {
	oddEntries, type OddEntry, oddHeads, type OddHead,
} from './odd-input.js';
import type {PoisonKind} from './poison-checks.js';
import type {ConfigurationChange} from './planned-work.js';
import type {LinkFault, SourceCut} from './proxy.js';

/** How an engine turns cold. */
export type ColdCause = 'row' | 'restart';

/** One fault. Numbers name instances, engines and links. */
export type Fault = {at: number; duration: number} & (
	| {kind: 'kill' | 'terminate' | 'pause' | 'reload'; instance: number}
	| {kind: 'store'; fault: StoreFault}
	| {kind: 'store-delay' | 'forget-history' | 'configure'}
	| {kind: 'store-link'; instance: number; fault: LinkFault}
	| {kind: 'engine-link'; engine: number; fault: LinkFault}
	/** Instances lose all engines, while callers, the store and the other instances reach them. */
	| {kind: 'instances-cut'; instances: readonly number[]; cut: SourceCut}
	| {kind: 'engine'; engine: number; fault: EngineFault}
	| {kind: 'engine-restart' | 'engine-drain' | 'engine-leave' | 'engine-pause'; engine: number}
	/** `limit` is in requests a second. */
	| {kind: 'engine-limit'; engine: number; limit: number}
	/** Engines neither read nor answer anything, with their connections open. */
	| {kind: 'silence'; engines: readonly number[]}
	| {kind: 'reconfigure'; change: ConfigurationChange}
	/** The store is away with a fault for a moment, then comes back from a copy as old as the duration. */
	| {kind: 'store-copy'; fault: StoreFault}
	/** The operator evacuates a failure domain and takes it back after the duration. */
	| {kind: 'evacuate'; domain: number}
	/** Engines turn cold, as their rows say, or as they start again. */
	| {kind: 'engines-cold'; engines: readonly number[]; cause: ColdCause}
	/** A whole failure domain turns cold at once. */
	| {kind: 'domain-cold'; domain: number; cause: ColdCause}
	/** Callers send requests that crash engines. */
	| {kind: 'poison'; poison: PoisonKind}
	/** Another writer leaves an entry among those of the engines. */
	| {kind: 'odd-entry'; entry: OddEntry}
	/** A client sends heads that are not HTTP. */
	| {kind: 'odd-head'; instance: number; head: OddHead}
);

/** Kinds of planned work, and silence of engines, which excuses no cut beside it. */
const plannedKinds: ReadonlySet<Fault['kind']> = new Set(['terminate', 'reload', 'configure', 'reconfigure', 'engine-drain', 'silence', 'evacuate']);

/** Whether a fault must cut nothing. */
export function isPlanned({kind}: Fault): boolean {
	return plannedKinds.has(kind);
}

/** Whether a fault is input that changes nothing for others. */
export function isOddInput({kind}: Fault): boolean {
	return kind === 'odd-entry' || kind === 'odd-head';
}

/** Whether builds before this one bear a fault as well. */
export function isBorneBefore(fault: Fault): boolean {
	return !isOddInput(fault) && !(fault.kind === 'engine' && oddEngineFaults.has(fault.fault));
}

/** Sizes of a run. */
export type SoakSize = {instances: number; engines: number};

/** Faults that are drawn beside the usual ones. */
export type ScarcityFaults = {hasEvacuations: boolean; hasColdEngines: boolean};

/** Most failure domains of a run, and engines of each: two of the model service and one of the plain one. */
const mostDomains = 3;
const enginesPerGroup = 3;

/** Least and greatest time in milliseconds for which a domain is evacuated: beyond the bound, so that what reaches it then counts. */
const evacuationTime = {least: 7000, greatest: 10_000};

/** Time in milliseconds between two evacuations, and between two causes of cold engines. */
const evacuationGap = {least: 11_000, greatest: 14_000};
const coldGap = {least: 3000, greatest: 6000};

const coldCauses: readonly ColdCause[] = ['row', 'restart'];

/** Number of failure domains among which the engines of a run are shared. */
export function domainCount(engines: number): number {
	return Math.max(1, Math.min(mostDomains, Math.floor(engines / enginesPerGroup)));
}

/** Number of the failure domain of an engine. */
export function domainOf(engine: number, engines: number): number {
	return Math.floor(engine / enginesPerGroup) % domainCount(engines);
}

/** Time in milliseconds at the start and the end of a run without faults. */
export const quietStart = 2500;
export const quietEnd = 5000;

const storeFaults: readonly StoreFault[] = ['busy', 'reset', 'silent', 'noResponse'];
const linkFaults: readonly LinkFault[] = ['delay', 'reset', 'silent', 'cutForward', 'cutBack', 'dark'];
const sourceCuts: readonly SourceCut[] = ['hang', 'reset', 'refuse'];
const poisonKinds: readonly PoisonKind[] = ['part', 'request'];
/** Faults of engines that send what is not part of an answer. */
const oddEngineFaults: ReadonlySet<EngineFault> = new Set(['earlierRefusal', 'errorEvent', 'invalidStatus', 'invalidHeader']);
const engineFaults: readonly EngineFault[] = ['errors',
	'shed',
	'resetAfterRun',
	'noResponse',
	'truncatedStream',
	'unframedReset',
	'extraResponse',
	'earlierRefusal',
	'errorEvent',
	'invalidStatus',
	'invalidHeader'];

/** Draws the evacuations and the causes of cold engines of a run of so many milliseconds. */
export function drawScarcity(generator: RandomGenerator, duration: number, {engines, hasEvacuations, hasColdEngines}: SoakSize & ScarcityFaults): Fault[] {
	const number = (least: number, most: number) => uniformInt(generator, least, most);
	const lastDomain = domainCount(engines) - 1;
	const series = (gap: {least: number; greatest: number}, draw: (at: number) => Fault) => {
		const faults: Fault[] = [];
		for (let at = quietStart; at < duration - quietEnd; at += number(gap.least, gap.greatest)) {
			faults.push(draw(at));
		}

		return faults;
	};

	const evacuations = hasEvacuations
		? series(evacuationGap, at => ({
			at, duration: number(evacuationTime.least, evacuationTime.greatest), kind: 'evacuate', domain: number(0, lastDomain),
		}))
		: [];
	const coldEngines = hasColdEngines
		? series(coldGap, at => {
			const span = {at, duration: number(300, 1500), cause: coldCauses[number(0, coldCauses.length - 1)]!};
			return number(1, 3) === 1
				? {...span, kind: 'domain-cold', domain: number(0, lastDomain)}
				: {...span, kind: 'engines-cold', engines: [number(0, engines - 1)]};
		})
		: [];
	return [...evacuations, ...coldEngines];
}

/** Draws the faults of a run of so many milliseconds. */
export function drawFaults(generator: RandomGenerator, duration: number, {instances, engines}: SoakSize): Fault[] {
	const number = (least: number, most: number) => uniformInt(generator, least, most);
	const pick = <Value>(values: readonly Value[]): Value => values[number(0, values.length - 1)]!;
	const faults: Fault[] = [];
	let at = quietStart;
	while (at < duration - quietEnd) {
		const span = {at, duration: number(300, 2500)};
		const instance = number(0, instances - 1);
		const engine = number(0, engines - 1);
		const kinds: Fault[] = [
			{...span, kind: 'kill', instance},
			{...span, kind: 'terminate', instance},
			{...span, kind: 'pause', instance},
			{...span, kind: 'reload', instance},
			{...span, kind: 'store', fault: pick(storeFaults)},
			{...span, kind: 'store-delay'},
			{...span, kind: 'forget-history'},
			{...span, kind: 'configure'},
			{
				...span, kind: 'store-link', instance, fault: pick(linkFaults),
			},
			{
				...span, kind: 'engine-link', engine, fault: pick(linkFaults),
			},
			{
				...span, kind: 'instances-cut', cut: pick(sourceCuts), instances: Array.from({length: number(1, instances - 1)}, (_, index) => (instance + index) % instances),
			},
			{
				...span, kind: 'engine', engine, fault: pick(engineFaults),
			},
			{...span, kind: 'engine-restart', engine},
			{...span, kind: 'engine-drain', engine},
			{...span, kind: 'engine-leave', engine},
			{...span, kind: 'engine-pause', engine},
			{
				...span, kind: 'engine-limit', engine, limit: number(1, 8) / 2,
			},
			{...span, kind: 'store-copy', fault: pick(storeFaults)},
			{...span, kind: 'poison', poison: pick(poisonKinds)},
			{...span, kind: 'odd-entry', entry: pick(oddEntries)},
			{
				...span, kind: 'odd-head', instance, head: pick(oddHeads),
			},
		];
		faults.push(pick(kinds));
		at += number(100, 1500);
	}

	return faults;
}
