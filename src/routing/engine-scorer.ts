/**
 * Scores engines for one prompt and chooses among a seeded sample of them.
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

/** Engines sampled from the tier's own range. A few spread instances that hold the same old reports. */
const ownTierSampleSize = 3;

/** Engines sampled from the ranges of longer tiers, whose idle capacity may be used. */
const longerTierSampleSize = 1;

/** Engines sampled from those kept for short prompts, for a medium one that would wait long elsewhere. */
const shorterTierSampleSize = 1;

/** Factor of a penalty where the engine is at work and would go on without serving its streams. */
const blockingPenaltyFactor = 10;

/** Share of the engines kept for short prompts that a medium one may take. */
const shortTierShareOpenToMedium = 0.25;

/** Engines looked at because they hold the prompt's prefix. */
const maximumPrefixCandidates = 2;

/** Expected loss in milliseconds where an engine may have just begun longer work of another instance. */
const longerTierPenalty = 300;

/** Expected loss in milliseconds of short prompts where a medium one takes one of their engines. */
const shorterTierPenalty = 3000;

/** Expected wait in milliseconds at an engine whose memory is full. */
const fullMemoryPenalty = 2000;

/** Delay in milliseconds that each stream at an engine adds to a step. */
const stepDelayPerStream = 2;

/** Additional latency in milliseconds to another failure domain, there and back. */
const crossDomainDelay = 3;

/** Penalty in milliseconds of an engine at which a request has just failed. */
const recentFailurePenalty = 10_000;

/** A prompt as the choice of an engine sees it. */
export type Prompt = {
	requestId: string;
	tier: PrefillTier;
	promptTokens: number;
	totalTokens: number;
	prefixHashes: readonly string[];
	/** Tokens that one prefix hash covers. */
	tokensPerHash: number;
	excluded: readonly string[];
	/** Whether long prompts wait, so that their engines should run empty. */
	hasQueuedLongPrompts: boolean;
	/** Attempts so far; another attempt samples anew. */
	previousAttempts: number;
};

/** A scored engine. */
export type ScoredEngine = {
	view: LoadView;
	/** Expected time to the first token in milliseconds. */
	score: number;
	cachedTokens: number;
	prefillTime: number;
	/** Expected wait before the prefill in milliseconds. */
	expectedWait: number;
	/** Whether its memory is believed to hold the prompt and its answer now. */
	hasEnoughMemory: boolean;
};

/** What stays the same between choices. */
export type EngineScorerOptions = {
	seed: number;
	/** Failure domain of this instance. */
	failureDomain: string;
	/** Failure domain of an upstream. */
	failureDomainOf: (upstream: string) => string | undefined;
	/** Whether a request failed at an upstream a short time ago. */
	hasFailedRecently: (upstream: string, now: number) => boolean;
};

/** Chooses engines. */
export class EngineScorer {
	readonly #prefixIndex: PrefixIndex;
	readonly #options: EngineScorerOptions;

	constructor(index: PrefixIndex, options: EngineScorerOptions) {
		this.#prefixIndex = index;
		this.#options = options;
	}

	/** Scored candidates for a prompt of the short or medium tier, best first. */
	sampleCandidates(pool: EnginePool, prompt: Prompt, now: number): ScoredEngine[] {
		return [...this.#sampleEngines(pool, prompt, now)].map(view => this.score(pool, view, prompt, now)).toSorted(byScore);
	}

	/** All engines that were not tried, scored, best first, for a prompt whose own range has none left. */
	untriedCandidates(pool: EnginePool, prompt: Prompt, now: number): ScoredEngine[] {
		return pool.members
			.filter(view => !prompt.excluded.includes(view.name))
			.map(view => this.score(pool, view, prompt, now))
			.toSorted(byScore);
	}

	/** Engines that are not kept for short prompts, scored, best first. */
	longPromptCandidates(pool: EnginePool, prompt: Prompt, now: number): ScoredEngine[] {
		const {first} = pool.tierRange('short', now);
		return pool.members.slice(0, Math.max(first, pool.tierRange('long', now).end))
			.filter(view => !prompt.excluded.includes(view.name))
			.map(view => this.score(pool, view, prompt, now))
			.toSorted(byScore);
	}

	/** Expected time to first token at one engine. */
	score(pool: EnginePool, view: LoadView, prompt: Prompt, now: number): ScoredEngine {
		const depth = this.#prefixIndex.matchLength(view.name, prompt.prefixHashes);
		const cachedTokens = Math.min(prompt.promptTokens - 1, Math.floor(depth * prompt.tokensPerHash));
		const prefillTime = pool.rate.prefillTime(prompt.promptTokens, cachedTokens);
		const pending = view.pendingPrefillTime(now);
		const long = prompt.tier === 'long' ? 0 : view.pendingLongPrefillTime(now);
		const wait = pending - long + (long * pool.rate.blockingFraction);
		const free = view.freeKvCacheTokens(now);
		const fits = free === undefined || free >= prompt.totalTokens - cachedTokens;
		const score = wait + prefillTime
			+ (view.streamCount(now) * stepDelayPerStream)
			+ (fits ? 0 : fullMemoryPenalty)
			+ (this.#tierPenalty(pool, view, prompt.tier, now) * (wait > 0 ? 1 + (blockingPenaltyFactor * pool.rate.blockingFraction) : 1))
			+ (this.#options.failureDomainOf(view.name) === this.#options.failureDomain ? 0 : crossDomainDelay)
			+ (this.#options.hasFailedRecently(view.name, now) ? recentFailurePenalty : 0);
		return {
			view, score, cachedTokens, prefillTime, expectedWait: wait, hasEnoughMemory: fits,
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
		const lowest = prompt.hasQueuedLongPrompts && range.first >= longEnd ? longEnd : 0;
		const pick = ({first, end}: PositionRange, count: number) => {
			const start = end > first ? uniformInt(generator, first, end - 1) : first;
			for (let step = 0, found = 0; step < end - first && found < count; step++) {
				// Neighbours in rendezvous order are unrelated, so that a run of them is as good as single picks.
				const view = members[first + ((start - first + step) % (end - first))]!;
				if (!prompt.excluded.includes(view.name)) {
					chosen.add(view);
					found++;
				}
			}
		};

		pick(range, ownTierSampleSize);
		pick({first: lowest, end: range.first}, longerTierSampleSize);
		if (prompt.tier === 'medium') {
			pick({first: range.end, end: endOpenToMedium(range.end, members.length)}, shorterTierSampleSize);
		}

		const rotation = uniformInt(generator, 0, members.length);
		for (const name of this.#prefixIndex.longestMatchEngines(prompt.prefixHashes, maximumPrefixCandidates, rotation)) {
			const position = pool.position(name);
			if (position !== undefined && position >= lowest && position < range.end && !prompt.excluded.includes(name)) {
				chosen.add(members[position]!);
			}
		}

		return chosen;
	}
}

/** End of those positions kept for short prompts that medium ones may take. */
function endOpenToMedium(first: number, end: number): number {
	return first + Math.floor((end - first) * shortTierShareOpenToMedium);
}

function byScore(left: ScoredEngine, right: ScoredEngine): number {
	return left.score - right.score || (left.view.name < right.view.name ? -1 : 1);
}
