/**
 * Scores the engines of a pool for one prompt: a seeded sample of them, or all.
 *
 * @module
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xorshift128plus} from 'pure-rand/generator/xorshift128plus';
import type {LoadView} from '../upstream/load-view.js';
import type {PrefixIndex} from '../upstream/prefix-index.js';
import type {PrefillTier} from './decision.js';
import type {EnginePool, PositionRange} from './engine-pool.js';
import {hashText} from './seeded-hash.js';

/** Engines sampled from the prompt's own tier. Sampling several keeps instances with the same stale load reports from all choosing the same engine. */
const ownTierSampleSize = 3;

/** Engines sampled from the longer tiers, whose idle capacity may be used. */
const longerTierSampleSize = 1;

/** Engines sampled from the short tier for a medium prompt, which might wait long elsewhere. */
const shorterTierSampleSize = 1;

/** Increase of the tier penalty at a busy engine that blocks other streams during a prefill, scaled by how much it blocks them. */
const blockingPenaltyFactor = 10;

/** Share of the short tier's engines that medium prompts may use. */
const shortTierShareOpenToMedium = 0.25;

/** Maximum number of engines added to the sample because they have the prompt's prefix cached. */
const maximumPrefixCandidates = 2;

/** Penalty in milliseconds of an engine of a longer tier, which may just have begun a longer prefill for another instance. */
const longerTierPenalty = 300;

/** Penalty in milliseconds of an engine of a shorter tier, for the delay expected of the shorter prompts. */
const shorterTierPenalty = 3000;

/** Expected wait in milliseconds at an engine without enough free memory for the prompt. */
const fullMemoryPenalty = 2000;

/** Delay in milliseconds that each stream at an engine adds to an engine step. */
const stepDelayPerStream = 2;

/** Additional round-trip time in milliseconds to another failure domain. */
const crossDomainDelay = 3;

/** Penalty in milliseconds of an engine at which a request has failed recently. */
const cooldownPenalty = 10_000;

/** Properties of a prompt on which the scores of engines depend. */
export type Prompt = {
	requestId: string;
	tier: PrefillTier;
	promptTokens: number;
	/** Prompt tokens and expected answer tokens. */
	totalTokens: number;
	prefixHashes: readonly string[];
	/** Tokens covered by one prefix hash. */
	tokensPerHash: number;
	/** Names of the engines that must not be chosen. */
	excluded: readonly string[];
	/** Whether long prompts are queued, in which case the engines of the long tier get no shorter prompts and so become free. */
	hasQueuedLongPrompts: boolean;
	/** Number of earlier attempts; each attempt draws a different sample. */
	previousAttempts: number;
};

/** An engine with its score for one prompt. */
export type ScoredEngine = {
	view: LoadView;
	/** Expected time to first token in milliseconds, with penalties; lower is better. */
	score: number;
	/** Prompt tokens expected to hit the engine's prefix cache. */
	cachedTokens: number;
	/** Expected prefill time in milliseconds. */
	prefillTime: number;
	/** Expected wait in milliseconds before the prefill begins. */
	expectedWait: number;
	/** Whether the engine is believed to have enough free memory for the prompt and its answer now. */
	hasEnoughMemory: boolean;
};

/** Settings and look-ups used for every prompt. */
export type EngineScorerOptions = {
	seed: number;
	/** Failure domain of this instance. */
	failureDomain: string;
	/** Returns the failure domain of an upstream. */
	failureDomainOf: (upstream: string) => string | undefined;
	/** Whether a request has failed recently at an upstream. */
	isCoolingDown: (upstream: string, now: number) => boolean;
};

/** Scores engines by expected time to first token, load, memory, failure domain and recent failures. */
export class EngineScorer {
	readonly #prefixIndex: PrefixIndex;
	readonly #options: EngineScorerOptions;

	constructor(prefixIndex: PrefixIndex, options: EngineScorerOptions) {
		this.#prefixIndex = prefixIndex;
		this.#options = options;
	}

	/** Samples engines for a short or medium prompt and scores them, best first. */
	sampleCandidates(pool: EnginePool, prompt: Prompt, now: number): ScoredEngine[] {
		return [...this.#sampleEngines(pool, prompt, now)].map(view => this.score(pool, view, prompt, now)).toSorted(byScore);
	}

	/** Scores all engines that are not excluded, best first, for a prompt for which the sample was empty. */
	untriedCandidates(pool: EnginePool, prompt: Prompt, now: number): ScoredEngine[] {
		return pool.members
			.filter(view => !prompt.excluded.includes(view.name))
			.map(view => this.score(pool, view, prompt, now))
			.toSorted(byScore);
	}

	/** Scores the engines on which a long prompt may run, best first: those that are not kept for short prompts. */
	longPromptCandidates(pool: EnginePool, prompt: Prompt, now: number): ScoredEngine[] {
		const {first} = pool.tierRange('short', now);
		return pool.members.slice(0, Math.max(first, pool.tierRange('long', now).end))
			.filter(view => !prompt.excluded.includes(view.name))
			.map(view => this.score(pool, view, prompt, now))
			.toSorted(byScore);
	}

	/** Scores one engine. */
	score(pool: EnginePool, view: LoadView, prompt: Prompt, now: number): ScoredEngine {
		const matchedHashes = this.#prefixIndex.matchLength(view.name, prompt.prefixHashes);
		const cachedTokens = Math.min(prompt.promptTokens - 1, Math.floor(matchedHashes * prompt.tokensPerHash));
		const prefillTime = pool.prefillEstimator.prefillTime(prompt.promptTokens, cachedTokens);
		const pendingPrefill = view.pendingPrefillTime(now);
		const longPrefill = prompt.tier === 'long' ? 0 : view.pendingLongPrefillTime(now);
		const expectedWait = pendingPrefill - longPrefill + (longPrefill * pool.prefillEstimator.blockingFraction);
		const freeTokens = view.freeKvCacheTokens(now);
		const hasEnoughMemory = freeTokens === undefined || freeTokens >= prompt.totalTokens - cachedTokens;
		const score = expectedWait + prefillTime
			+ (view.streamCount(now) * stepDelayPerStream)
			+ (hasEnoughMemory ? 0 : fullMemoryPenalty)
			+ (this.#tierPenalty(pool, view, prompt.tier, now) * (expectedWait > 0 ? 1 + (blockingPenaltyFactor * pool.prefillEstimator.blockingFraction) : 1))
			+ (this.#options.failureDomainOf(view.name) === this.#options.failureDomain ? 0 : crossDomainDelay)
			+ (this.#options.isCoolingDown(view.name, now) ? cooldownPenalty : 0);
		return {
			view, score, cachedTokens, prefillTime, expectedWait, hasEnoughMemory,
		};
	}

	#tierPenalty(pool: EnginePool, view: LoadView, tier: PrefillTier, now: number): number {
		const {first, end} = pool.tierRange(tier, now);
		const position = pool.position(view.name) ?? 0;
		if (position >= end) {
			return shorterTierPenalty;
		}

		return position < first ? longerTierPenalty : 0;
	}

	#sampleEngines(pool: EnginePool, prompt: Prompt, now: number): Set<LoadView> {
		const {members} = pool;
		const range = pool.tierRange(prompt.tier, now);
		const generator = xorshift128plus(hashText(prompt.requestId, this.#options.seed + prompt.previousAttempts));
		const chosen = new Set<LoadView>();
		const longEnd = pool.tierRange('long', now).end;
		const lowestPosition = prompt.hasQueuedLongPrompts && range.first >= longEnd ? longEnd : 0;
		const pick = ({first, end}: PositionRange, count: number) => {
			const start = end > first ? uniformInt(generator, first, end - 1) : first;
			for (let step = 0, found = 0; step < end - first && found < count; step++) {
				// Adjacent engines in rendezvous order are unrelated, so a run of them is as good a sample as independent picks.
				const view = members[first + ((start - first + step) % (end - first))]!;
				if (!prompt.excluded.includes(view.name)) {
					chosen.add(view);
					found++;
				}
			}
		};

		pick(range, ownTierSampleSize);
		pick({first: lowestPosition, end: range.first}, longerTierSampleSize);
		if (prompt.tier === 'medium') {
			pick({first: range.end, end: endOpenToMedium(range.end, members.length)}, shorterTierSampleSize);
		}

		const rotation = uniformInt(generator, 0, members.length);
		for (const name of this.#prefixIndex.longestMatchEngines(prompt.prefixHashes, maximumPrefixCandidates, rotation)) {
			const position = pool.position(name);
			if (position !== undefined && position >= lowestPosition && position < range.end && !prompt.excluded.includes(name)) {
				chosen.add(members[position]!);
			}
		}

		return chosen;
	}
}

/** End of the short tier's positions that medium prompts may use. */
function endOpenToMedium(first: number, end: number): number {
	return first + Math.floor((end - first) * shortTierShareOpenToMedium);
}

function byScore(left: ScoredEngine, right: ScoredEngine): number {
	return left.score - right.score || (left.view.name < right.view.name ? -1 : 1);
}
