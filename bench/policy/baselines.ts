/**
 * Policies to compare with: the usual ones that look at counts or prefixes, and none at lengths.
 *
 * They share the product's admission of what can fit and its division, so that only the choice of engine differs.
 *
 * @module
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {match} from 'ts-pattern';
import type {Configuration} from '../../src/configuration/model.js';
import type {
	Decision, QueuedRequestDecision, RequestFacts, SendDecision,
} from '../../src/routing/decision.js';
import {planDivision} from '../../src/routing/division.js';
import type {Observation, PeerDigest, UpstreamDescription} from '../../src/routing/observation.js';
import {hashText} from '../../src/routing/seeded-hash.js';
import type {LoadReport} from '../../src/upstream/engine.js';
import {PromptLengthEstimator} from '../../src/upstream/prompt-length-estimator.js';
import {PrefixIndex} from '../../src/upstream/prefix-index.js';
import {type Decider, modelName, poolName} from './decider.js';

/** An engine as a baseline sees it. */
export type BaselineEngine = {
	name: string;
	report: LoadReport | undefined;
	measuredAt: number;
	/** Times at which this instance's requests in flight were sent. */
	sent: Map<string, number>;
};

/** What a baseline may use for a choice. */
export type ChoiceContext = {engines: readonly BaselineEngine[]; facts: RequestFacts; random: RandomGenerator; index: PrefixIndex};

/** Chooses one of the live engines; there is at least one. */
export interface Choice {
	choose(context: ChoiceContext): BaselineEngine;
}

/** Requests at an engine by its report and by what was sent since. */
export function requestsAt({report, measuredAt, sent}: BaselineEngine): number {
	let count = report ? report.running + report.waiting : 0;
	for (const sentAt of sent.values()) {
		count += sentAt >= measuredAt ? 1 : 0;
	}

	return count;
}

/** Any engine. */
export class RandomChoice implements Choice {
	choose({engines, random}: ChoiceContext): BaselineEngine {
		return engines[uniformInt(random, 0, engines.length - 1)]!;
	}
}

/** One engine after another. */
export class RoundRobinChoice implements Choice {
	#next = 0;

	choose({engines}: ChoiceContext): BaselineEngine {
		return engines[this.#next++ % engines.length]!;
	}
}

/** The engine with the fewest requests. */
export class LeastInFlightChoice implements Choice {
	choose({engines, random}: ChoiceContext): BaselineEngine {
		const first = uniformInt(random, 0, engines.length - 1);
		return leastBy(rotate(engines, first), engine => requestsAt(engine));
	}
}

/** The one of two random engines that has fewer requests. */
export class PowerOfTwoChoice implements Choice {
	choose({engines, random}: ChoiceContext): BaselineEngine {
		const pair = [0, 1].map(() => engines[uniformInt(random, 0, engines.length - 1)]!);
		return leastBy(pair, engine => requestsAt(engine));
	}
}

/** The engine that a hash of the prompt's beginning names. */
export class PrefixAffinityChoice implements Choice {
	choose({engines, facts}: ChoiceContext): BaselineEngine {
		const key = facts.prefixHashes[0] ?? facts.requestId;
		return leastBy(engines, ({name}) => -hashText(`${key}/${name}`));
	}
}

/** The engine with the fewest requests, where a cached prefix counts as part of one. */
export class LengthBlindCostChoice implements Choice {
	choose({engines, facts, random, index}: ChoiceContext): BaselineEngine {
		const first = uniformInt(random, 0, engines.length - 1);
		const length = Math.max(1, facts.prefixHashes.length);
		return leastBy(rotate(engines, first), engine => requestsAt(engine) - (index.matchLength(engine.name, facts.prefixHashes) / length));
	}
}

/** A decider that sends each request at once to the engine of a choice. */
export class BaselineDecider implements Decider {
	readonly toResync: string[] = [];
	readonly #configuration: Configuration;
	readonly #choice: Choice;
	readonly #random: RandomGenerator;
	readonly #lengths = new PromptLengthEstimator();
	readonly #index = new PrefixIndex();
	readonly #engines = new Map<string, BaselineEngine>();
	readonly #placed = new Map<string, {engine: BaselineEngine; facts: RequestFacts}>();
	#live: BaselineEngine[] = [];

	constructor(configuration: Configuration, choice: Choice, seed: number) {
		this.#configuration = configuration;
		this.#choice = choice;
		this.#random = xoroshiro128plus(seed);
	}

	setInstances(): void {
		// A baseline does not ask how many others there are.
	}

	setUpstreams(upstreams: readonly UpstreamDescription[]): void {
		this.#live = upstreams.filter(({state}) => state === 'live').map(({name}) => {
			const engine = this.#engines.get(name) ?? {
				name, report: undefined, measuredAt: Number.NEGATIVE_INFINITY, sent: new Map<string, number>(),
			};
			this.#engines.set(name, engine);
			return engine;
		});
	}

	decide(facts: RequestFacts, now: number): Decision {
		const unfit = this.#decideUnfit(facts);
		if (unfit) {
			return unfit;
		}

		const engines = this.#live.filter(({name}) => !facts.excluded.includes(name));
		if (engines.length === 0) {
			return {
				kind: 'refuse', code: '3005', retryAfter: 1000, reason: 'no engine',
			};
		}

		const engine = this.#choice.choose({
			engines, facts, random: this.#random, index: this.#index,
		});
		engine.sent.set(facts.requestId, now);
		this.#placed.set(facts.requestId, {engine, facts});
		return plainSend(engine.name, this.#configuration.classes.get(facts.requestClass)!.priority);
	}

	handleReservationOutcome(): undefined {
		return undefined;
	}

	drain(): QueuedRequestDecision[] {
		return [];
	}

	nextDrainTime(): undefined {
		return undefined;
	}

	createPeerDigest(): PeerDigest {
		return {
			instance: '', customerDemand: {}, poolDemand: {}, queuedLongPrefill: {},
		};
	}

	observe(observation: Observation, now: number): void {
		match(observation)
			.with({kind: 'load'}, ({upstream, report}) => {
				const engine = this.#engines.get(upstream)!;
				engine.report = report;
				engine.measuredAt = now - report.age;
			})
			.with({kind: 'cache-events'}, ({upstream, page}) => {
				this.#index.applyEvents(upstream, page);
			})
			.with({kind: 'ended'}, ({requestId, usage}) => {
				const placed = this.#placed.get(requestId);
				placed?.engine.sent.delete(requestId);
				this.#placed.delete(requestId);
				if (placed && usage) {
					this.#lengths.observe(modelName, placed.facts.promptBytes, usage.promptTokens);
				}
			})
			.otherwise(() => undefined);
	}

	#decideUnfit(facts: RequestFacts): Decision | undefined {
		const report = this.#live.find(engine => engine.report)?.report;
		const capacity = report ? report.totalBlocks * report.blockTokens : Number.POSITIVE_INFINITY;
		if (this.#lengths.conservativeTokens(modelName, facts.promptBytes) + facts.maximumAnswerTokens <= capacity) {
			return undefined;
		}

		const plan = this.#configuration.classes.get(facts.requestClass)!.divisible
			? planDivision({
				messageTokens: facts.messageBytes.map(bytes => this.#lengths.conservativeTokens(modelName, bytes)),
				capacity,
				answerTokens: facts.maximumAnswerTokens,
			})
			: undefined;
		return plan
			? {kind: 'divide', promptTokens: 0, plan}
			: {
				kind: 'refuse', code: '3003', retryAfter: undefined, reason: 'does not fit',
			};
	}
}

/** A decision to send without scores. */
export function plainSend(upstream: string, priority: number): SendDecision {
	return {
		kind: 'send',
		upstream,
		pool: poolName,
		tier: 'short',
		score: 0,
		secondBest: undefined,
		secondBestScore: undefined,
		candidateCount: 1,
		promptTokens: 0,
		cachedTokens: 0,
		priority,
		isReservationRequired: false,
		reason: 'least-cost',
	};
}

function rotate<T>(values: readonly T[], first: number): T[] {
	return [...values.slice(first), ...values.slice(0, first)];
}

/** The first of the values with the least cost. */
export function leastBy<T extends Record<string, unknown>>(values: readonly T[], costOf: (value: T) => number): T {
	let best = values[0]!;
	let least = costOf(best);
	for (const value of values) {
		const cost = costOf(value);
		if (cost < least) {
			best = value;
			least = cost;
		}
	}

	return best;
}
