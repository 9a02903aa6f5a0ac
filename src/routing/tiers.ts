/**
 * Divides the engines of a pool between the tiers of short, medium and long prompts.
 *
 * All instances order a pool's engines identically by rendezvous hashing, so the tier sizes alone determine which engine
 * serves which tier: the first engines of the order serve long prompts, the next ones medium prompts, and the rest are
 * kept for short prompts. Instances whose tier sizes differ by one engine disagree about that engine only.
 *
 * @module
 */
import type {PrefillTier} from './decision.js';
import {hashText} from './seeded-hash.js';

/** Maximum prefill time in milliseconds of the short tier. */
export const maximumShortPrefillTime = 400;

/** Maximum prefill time in milliseconds of the medium tier. */
export const maximumMediumPrefillTime = 5000;

/** Requested prefill rate by tier, in milliseconds of prefill time per second. */
export type PrefillDemandByTier = Record<PrefillTier, number>;

/** Number of engines of each tier. */
export type EngineCountByTier = Record<PrefillTier, number>;

/** Maximum share of its time that an engine should spend on prefill, by tier. */
const targetUtilization: Readonly<Record<PrefillTier, number>> = {short: 0.4, medium: 0.85, long: 0.8};

/** Minimum share of a pool's engines for the short tier, whatever the demand. */
const minimumShortShare = 0.25;

/** Minimum share of a pool's engines for the long tier, whatever the demand. */
const minimumLongShare = 0.05;

/** Tier of a prompt with this expected prefill time in milliseconds. */
export function tierForPrefillTime(prefillTime: number): PrefillTier {
	if (prefillTime <= maximumShortPrefillTime) {
		return 'short';
	}

	return prefillTime <= maximumMediumPrefillTime ? 'medium' : 'long';
}

/** Names of upstreams in rendezvous order, which is the same at all instances. */
export function rendezvousOrder(pool: string, names: readonly string[]): string[] {
	return names
		.map(name => ({name, hash: hashText(`${pool}/${name}`)}))
		.toSorted((left, right) => left.hash - right.hash || (left.name < right.name ? -1 : 1))
		.map(({name}) => name);
}

/**
 * Number of engines of each tier, in proportion to the engines that its demand requires.
 *
 * Excess capacity is divided in the same proportion, and a shortage reduces all tiers alike, except that the short and
 * the long tier count with their minimum shares and keep at least one engine. A single engine serves all tiers.
 */
export function allocateEnginesToTiers(engineCount: number, demand: PrefillDemandByTier): EngineCountByTier {
	if (engineCount <= 1) {
		return {short: engineCount, medium: engineCount, long: engineCount};
	}

	const requiredEngines = {
		short: Math.max(minimumShortShare * engineCount, demand.short / 1000 / targetUtilization.short),
		medium: demand.medium / 1000 / targetUtilization.medium,
		long: Math.max(minimumLongShare * engineCount, demand.long / 1000 / targetUtilization.long),
	};
	const scale = engineCount / (requiredEngines.short + requiredEngines.medium + requiredEngines.long);
	const short = Math.min(engineCount - 1, Math.max(1, Math.round(requiredEngines.short * scale)));
	const remaining = engineCount - short;
	const long = Math.min(remaining, Math.max(1, Math.round(requiredEngines.long * scale)));
	return {short, medium: remaining - long, long};
}
