/**
 * Divides the engines of a pool between short, medium and long prompts.
 *
 * All instances order a pool's engines alike (rendezvous hashing), so that sizes alone decide which engine takes what:
 * the first engines of the order take long prompts, the next ones medium prompts, the rest is kept for short ones.
 * Instances that judge a size one engine apart disagree about one engine only.
 *
 * @module
 */
import type {PrefillTier} from './decision.js';
import {hashText} from './seeded-hash.js';

/** Prefill time in milliseconds up to which a prompt is of the short tier. */
export const maximumShortPrefillTime = 400;

/** Prefill time in milliseconds above which a prompt is of the long tier. */
export const maximumMediumPrefillTime = 5000;

/** Milliseconds of prefill asked for in each second, by tier. */
export type PrefillDemandByTier = Record<PrefillTier, number>;

/** Number of engines of each tier. */
export type EngineCountByTier = Record<PrefillTier, number>;

/** Greatest share of its time that an engine of a tier should spend on prefill. */
const targetUtilization: Readonly<Record<PrefillTier, number>> = {short: 0.4, medium: 0.85, long: 0.8};

/** Share of a pool that the short tier keeps whatever the mix. */
const minimumShortShare = 0.25;

/** Share of a pool that long work gets while there is any. */
const minimumLongShare = 0.05;

/** Tier of a prompt by the time that its prefill takes. */
export function tierForPrefillTime(prefillTime: number): PrefillTier {
	if (prefillTime <= maximumShortPrefillTime) {
		return 'short';
	}

	return prefillTime <= maximumMediumPrefillTime ? 'medium' : 'long';
}

/** Names of upstreams in the order that all instances agree on. */
export function rendezvousOrder(pool: string, names: readonly string[]): string[] {
	return names
		.map(name => ({name, hash: hashText(`${pool}/${name}`)}))
		.toSorted((left, right) => left.hash - right.hash || (left.name < right.name ? -1 : 1))
		.map(({name}) => name);
}

/**
 * Sizes of the tiers for so many engines under the work asked for.
 *
 * Capacity beyond the need goes to all in proportion to their needs; where there is too little, all get less alike,
 * but for the minimum shares of short and long work.
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
	const rest = engineCount - short;
	const long = Math.min(rest, Math.max(1, Math.round(requiredEngines.long * scale)));
	return {short, medium: rest - long, long};
}
