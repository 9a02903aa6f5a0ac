/**
 * Rank of a request, and what follows from it: its weight in placement, the backlog that it tolerates, and its priority at
 * the engine.
 *
 * Handles a load beyond what the engines serve in time, from callers of several ranks. Prompts with a distant latency
 * target would otherwise fill the engines with a backlog that makes all others late, however urgent those are.
 *
 * @module
 */
import type {
	CustomerKeys, EngineProfile, Route, ServingConfiguration,
} from '../serving/model.js';
import {longPrefillThreshold} from './engine-scores.js';
import {type PromptProgress, type PromptRequirements, maximumPrefillHelpers} from './prompt-placement.js';
import {estimateIterationTime, estimatePrefillTime} from './time-estimates.js';

/** Weight of the most urgent rank relative to the least urgent one, beside what targets and sizes say. */
const weightSpan = 2;

/** Weight of a prompt without tokens, relative to one of the service's usual size. */
const baseSize = 0.3;

/** Share of the time until a prompt is late up to which it tolerates a backlog, by its progress, for the most urgent rank; as without ranks. */
const backlogShares: Readonly<Record<Exclude<PromptProgress, 'streaming'>, number>> = {new: 0.8, retried: 2};

/** Share of the next more urgent rank's share that a rank tolerates: what it leaves is what more urgent prompts find. */
const backlogShareOfNextRank = 0.25;

/** Ranks below the most urgent one that tolerate less and less. */
const maximumSteps = 2;

/** Factor on the time that a less urgent prompt takes on idle engines, which it always tolerates, so that the largest ones are not starved. */
const toleratedStretch = 1.5;

/** Priorities at the engine, of which 0 goes first. Within a rank, short prompts go before long ones. */
const leastUrgentPriority = 9;
const prioritiesPerRank = 2;

/** Priorities at the engine where no ranks are configured. */
const shortPromptPriority = 2;
const longPromptPriority = 4;

/** Most tokens of a prompt that gets the priority of short prompts. */
const maximumShortPromptTokens = 25_000;

/** What a prompt requires of its placement because of its rank. */
export type RankTerms = Pick<PromptRequirements, 'weight' | 'sheddingLimit'>;

/** Ranks that compete for the engines of one service. */
export class ServiceRanks {
	/** Distinct ranks that the configuration names, the most urgent one first. */
	readonly #ranks: readonly number[];

	constructor(ranks: Iterable<number | undefined>) {
		this.#ranks = [...new Set(ranks)].filter(rank => rank !== undefined).toSorted((one, other) => one - other);
	}

	/** Whether several ranks compete; otherwise everything is served as without ranks. */
	get areConfigured(): boolean {
		return this.#ranks.length > 1;
	}

	/** Rank of a request: of its customer, else of its route, else the least urgent rank that is named. */
	rankOf({priority}: Pick<Route, 'priority'>, customer: Pick<CustomerKeys, 'priority'> | undefined): number {
		return customer?.priority ?? priority ?? this.#ranks.at(-1) ?? 0;
	}

	/** Number of more urgent ranks. */
	indexOf(rank: number): number {
		return this.#ranks.filter(known => known < rank).length;
	}

	/** Priority at the engine from 0 (first) to 9. */
	enginePriority(rank: number, promptTokens: number): number {
		const isShort = promptTokens <= maximumShortPromptTokens;
		if (!this.areConfigured) {
			return isShort ? shortPromptPriority : longPromptPriority;
		}

		return Math.min(leastUrgentPriority, (this.indexOf(rank) * prioritiesPerRank) + (isShort ? 0 : 1));
	}

	/** Terms of a prompt's placement; those of today where no or one rank is configured. @param prompt - `timeLimit` is the route's, in milliseconds. */
	termsOf(rank: number, prompt: RankedPrompt, profile: EngineProfile): RankTerms {
		return this.areConfigured
			? {
				weight: this.#weightOf(rank, prompt, profile),
				sheddingLimit: (engineCount, backlogFactor = 1) => this.#sheddingLimitOf(rank, prompt, profile, {engineCount, backlogFactor}),
			}
			: {};
	}

	/** Weight by size, by how often the latency target fits into the time limit, and by rank. */
	#weightOf(rank: number, {promptTokens, latencyTarget, timeLimit}: RankedPrompt, {meanTokens}: EngineProfile): number {
		const size = baseSize + ((1 - baseSize) * promptTokens / Math.max(1, meanTokens.prompt));
		const urgency = Math.sqrt(Math.max(1, timeLimit / Math.max(1, latencyTarget)));
		return size * urgency * (weightSpan ** (1 - (this.indexOf(rank) / (this.#ranks.length - 1))));
	}

	#sheddingLimitOf(rank: number, prompt: RankedPrompt, profile: EngineProfile, {engineCount, backlogFactor}: {engineCount: number; backlogFactor: number}): number {
		if (prompt.progress === 'streaming') {
			return Number.POSITIVE_INFINITY;
		}

		const index = this.indexOf(rank);
		const share = backlogShares[prompt.progress] * (backlogShareOfNextRank ** Math.min(index, maximumSteps));
		const idleTime = idleLatency(profile, prompt.promptTokens, engineCount);
		const stretchedTime = toleratedStretch * idleTime;
		const limit = index === 0 ? share * prompt.latencyTarget : stretchedTime + (share * Math.max(0, prompt.latencyTarget - idleTime));
		// What a prompt takes on idle engines is always tolerated; only the backlog beyond it is scaled.
		const leastLimit = Math.min(limit, stretchedTime);
		return leastLimit + ((limit - leastLimit) * backlogFactor);
	}
}

/** What a prompt's terms follow from. Times in milliseconds. */
export type RankedPrompt = Pick<PromptRequirements, 'promptTokens' | 'latencyTarget' | 'progress'> & {timeLimit: number};

/**
 * Ranks that requests to each service of a configuration can have. A customer's rank counts for all services, as it may use
 * any of them, and replaces those of the routes for its requests.
 */
export function ranksByService({routes, services, customers}: Pick<ServingConfiguration, 'routes' | 'services' | 'customers'>): ReadonlyMap<string, ServiceRanks> {
	const customerRanks = (customers ?? []).map(({priority}) => priority);
	const isRouteRankUsed = (route: Pick<Route, 'allowsAnonymous'>) => customers === undefined || route.allowsAnonymous || customerRanks.includes(undefined);
	return new Map([...services.keys()].map(name => [
		name, new ServiceRanks([
			...routes.filter(route => isRouteRankUsed(route) && route.targets.some(({service}) => service === name)).map(({priority}) => priority),
			...customerRanks,
		]),
	]));
}

/** Time in milliseconds to the first event of a prompt on idle engines, between which a long prefill is split. @param engineCount - Engines that may prefill it. */
export function idleLatency(profile: EngineProfile, promptTokens: number, engineCount = Number.POSITIVE_INFINITY): number {
	const prefillTime = estimatePrefillTime(profile, promptTokens);
	const iterationTime = estimateIterationTime(profile, 1, promptTokens);
	return (prefillTime < longPrefillThreshold ? prefillTime : prefillTime / Math.min(engineCount, 1 + maximumPrefillHelpers)) + iterationTime;
}
