/**
 * Decides on prompts: which engine, whether to wait, refuse or divide.
 *
 * @module
 */
import type {Customer, RequestClass} from '../configuration/model.js';
import {FairShare} from '../customer/fair-share.js';
import type {InFlight} from '../upstream/load-view.js';
import type {
	Decision, DrainedDecision, RefuseDecision, RequestFacts, ReservationOutcome, SendDecision, SendReason, WaitDecision, WaitReason,
} from './decision.js';
import {planDivision} from './division.js';
import {
	EngineChoice, type EngineChoiceOptions, type Prompt, type ScoredEngine,
} from './engine-choice.js';
import type {EnginePool} from './engine-pool.js';
import type {FleetView} from './fleet-view.js';
import {LongQueue, type QueuedRequest} from './long-queue.js';
import {tierOf} from './tiers.js';

/** Wait in milliseconds at an engine up to which a long prompt is bound to it. */
const bindingWait = 250;

/** Wait in milliseconds that a reservation may show for the prompt to be sent nevertheless. */
const acceptedReservationWait = 1000;

/** Shortest and longest time in milliseconds until a waiting prompt is looked at again. */
const shortestRecheck = 50;
const longestRecheck = 1000;

/** Time in milliseconds for which an engine that refused a reservation is not asked again. */
const refusedReservationPause = 500;

/** Expected time to first token in milliseconds from which a tier counts as overloaded. */
const overloadedFirstToken = {short: 2000, medium: 15_000, long: Number.POSITIVE_INFINITY} as const;

/** Share of the above from which customers over their share are refused. */
const overShareFactor = 0.5;

/** Factor by which the expected wait of a long prompt is taken longer to be sure of its deadline. */
const waitMargin = 1.3;

/** Share of its deadline that a long prompt of a customer over its share may wait. */
const overShareWait = 0.5;

/** Steps between the priorities of two classes, which leave room for the tiers of one class. */
const classPriorityStep = 4;
const tierPriority = {short: 2, medium: 1, long: 0} as const;

/** A prompt with all that deciding needs. */
type Assessed = {
	facts: RequestFacts;
	requestClass: RequestClass;
	customer: Customer;
	pools: EnginePool[];
	prompt: Prompt;
	answerTokens: number;
};

/** Decisions on prompts. */
export class PromptRouter {
	readonly #fleet: FleetView;
	readonly #choice: EngineChoice;
	readonly #fairShare = new FairShare();
	readonly #queue = new LongQueue();
	/** Long prompts for which a reservation is under way. */
	readonly #reserving = new Map<string, QueuedRequest>();
	readonly #pausedUntil = new Map<string, number>();

	constructor(fleet: FleetView, options: EngineChoiceOptions) {
		this.#fleet = fleet;
		this.#choice = new EngineChoice(fleet.index, options);
	}

	get fairShare(): FairShare {
		return this.#fairShare;
	}

	get queue(): LongQueue {
		return this.#queue;
	}

	get choice(): EngineChoice {
		return this.#choice;
	}

	/** Decides on a prompt that is within its customer's limits. */
	decide(facts: RequestFacts, requestClass: RequestClass, customer: Customer, now: number): Decision {
		const assessed = this.#assess(facts, requestClass, customer, now);
		if (assessed.pools.every(pool => pool.members.length === 0)) {
			return refuse('3005', 1000, `no live engine in a pool of class "${requestClass.name}" serves model "${facts.model}"`);
		}

		const unfit = this.#decideUnfit(assessed);
		if (unfit) {
			return unfit;
		}

		const {prompt, pools} = assessed;
		const work = pools[0]!.rate.prefillTime(prompt.promptTokens);
		pools[0]!.asked(prompt.tier, work, now);
		this.#fairShare.asked(customer.name, customer.weight, work, now);
		const decision = prompt.tier === 'long' ? this.#admitLong(assessed, now) : this.#decideNow(assessed, now);
		if (decision.kind !== 'refuse') {
			this.#fairShare.served(customer.name, work, now);
		}

		return decision;
	}

	/** Takes in the outcome of a reservation. */
	reserved(requestId: string, outcome: ReservationOutcome, now: number): SendDecision | WaitDecision | RefuseDecision | undefined {
		const queued = this.#reserving.get(requestId);
		const placed = this.#fleet.placed(requestId);
		this.#reserving.delete(requestId);
		if (!queued || !placed) {
			return undefined;
		}

		if (outcome.kind === 'reserved' && outcome.expectedWait <= acceptedReservationWait) {
			this.#queue.served(queued);
			placed.entry.sentAt = now;
			return {...sendDecision(this.#assessQueued(queued, now), {engine: placedEngine(placed), now, reason: 'late-binding'}), reserve: false};
		}

		this.#fleet.displace(requestId);
		const pause = outcome.kind === 'reserved' ? Math.min(outcome.expectedWait, longestRecheck) : refusedReservationPause;
		this.#pausedUntil.set(placed.view.name, now + pause);
		this.#queue.putBack(queued);
		return this.#serve(queued, now) ?? this.#waitDecision(queued, 'engine-busy', now);
	}

	/** Decisions on queued prompts that can be made now. */
	drain(now: number): DrainedDecision[] {
		const drained: DrainedDecision[] = [];
		for (const queued of this.#queue.inOrder(now)) {
			const decision = this.#serve(queued, now);
			if (decision) {
				drained.push({requestId: queued.facts.requestId, decision});
			}
		}

		return drained;
	}

	/** Forgets a queued prompt. */
	withdraw(requestId: string): void {
		this.#queue.remove(requestId);
		this.#reserving.delete(requestId);
	}

	/** Time at which an engine for long prompts is expected to be free; undefined where none waits. */
	nextCheck(now: number, poolName?: string): number | undefined {
		if (this.#queue.size === 0) {
			return undefined;
		}

		let soonest = longestRecheck;
		for (const [name, pool] of this.#fleet.pools) {
			if (poolName !== undefined && name !== poolName) {
				continue;
			}

			const {first, end} = pool.range('long', now);
			for (let position = first; position < end; position++) {
				const view = pool.members[position]!;
				const paused = (this.#pausedUntil.get(view.name) ?? 0) - now;
				soonest = Math.min(soonest, Math.max(paused, view.pendingPrefill(now) - bindingWait));
			}
		}

		return now + Math.max(shortestRecheck, soonest);
	}

	/** What is known of a prompt. */
	assess(facts: RequestFacts, requestClass: RequestClass, customer: Customer, now: number): {pools: EnginePool[]; prompt: Prompt} {
		return this.#assess(facts, requestClass, customer, now);
	}

	#assess(facts: RequestFacts, requestClass: RequestClass, customer: Customer, _now: number): Assessed {
		const model = facts.model!;
		const pools = this.#fleet.selection.pools(requestClass.name, model, undefined)
			.map(({pool}) => this.#fleet.pools.get(pool.name)!);
		const promptTokens = this.#fleet.lengths.tokens(model, facts.promptBytes);
		const answerTokens = this.#fleet.answers.tokens(requestClass.name, facts.maximumAnswerTokens);
		const prompt: Prompt = {
			requestId: facts.requestId,
			tier: tierOf(pools[0]?.rate.prefillTime(promptTokens) ?? 0),
			promptTokens,
			totalTokens: promptTokens + answerTokens,
			prefixHashes: facts.prefixHashes,
			tokensPerHash: this.#fleet.tokensPerHash(model),
			excluded: facts.excluded,
			attempt: facts.excluded.length,
		};
		return {
			facts, requestClass, customer, pools, prompt, answerTokens,
		};
	}

	#assessQueued({facts}: QueuedRequest, now: number): Assessed {
		const {classes, customers} = this.#fleet.configuration;
		return this.#assess(facts, classes.get(facts.requestClass)!, customers.get(facts.customer)!, now);
	}

	/** Divides or refuses a prompt that fits no engine. */
	#decideUnfit({facts, requestClass, pools, prompt}: Assessed): Decision | undefined {
		let capacity = 0;
		for (const pool of pools) {
			for (const {totalTokens} of pool.members) {
				// An engine that has not reported yet may hold anything; it refuses by itself what it cannot.
				capacity = Math.max(capacity, totalTokens ?? Number.POSITIVE_INFINITY);
			}
		}

		const cautious = this.#fleet.lengths.cautiousTokens(facts.model!, facts.promptBytes);
		if (cautious + facts.maximumAnswerTokens <= capacity) {
			return undefined;
		}

		const plan = requestClass.divisible
			? planDivision({
				messageTokens: facts.messageBytes.map(bytes => this.#fleet.lengths.cautiousTokens(facts.model!, bytes)),
				capacity,
				answerTokens: facts.maximumAnswerTokens,
			})
			: undefined;
		if (plan) {
			return {kind: 'divide', promptTokens: prompt.promptTokens, plan};
		}

		const obstacle = requestClass.divisible ? 'and has no message boundaries at which its parts would fit' : `and class "${requestClass.name}" does not allow dividing`;
		return refuse('3003', undefined, `prompt of about ${prompt.promptTokens} tokens exceeds the ${capacity} tokens of the largest engine ${obstacle}`);
	}

	#decideNow(assessed: Assessed, now: number): Decision {
		const {pools, prompt, facts, answerTokens} = assessed;
		const scored = pools.flatMap(pool => this.#choice.candidates(pool, prompt, now)).toSorted((left, right) => left.score - right.score);
		const best = scored[0];
		if (!best) {
			return refuse('3005', 1000, `all live engines of class "${assessed.requestClass.name}" were tried`);
		}

		const late = now + best.score + this.#fleet.answers.duration(answerTokens) - facts.deadline;
		if (late > 0) {
			return refuse('3004', late, `would end ${Math.ceil(late)} ms after its deadline`);
		}

		const limit = overloadedFirstToken[prompt.tier];
		const queueing = best.score - best.prefillTime;
		if (queueing > limit || (queueing > limit * overShareFactor && this.#fairShare.isOverShare(assessed.customer.name, now))) {
			return refuse('3002', queueing, `first token is expected to wait ${Math.ceil(queueing)} ms`);
		}

		return this.#send(assessed, {
			engine: best, now, second: scored[1], candidates: scored.length, reason: reasonOf(best, scored),
		});
	}

	#admitLong(assessed: Assessed, now: number): Decision {
		const {facts, pools, prompt, answerTokens, customer} = assessed;
		const pool = pools.find(({members}) => members.length > 0)!;
		const prefillTime = pool.rate.prefillTime(prompt.promptTokens);
		const latestStart = facts.deadline - prefillTime - this.#fleet.answers.duration(answerTokens);
		const wait = this.#expectedLongWait(pool, now);
		const slack = latestStart - now;
		const late = (wait * waitMargin) - slack;
		if (late > 0) {
			return refuse(slack > 0 ? '3002' : '3004', late, `would have to wait about ${Math.ceil(wait)} ms for an engine, ${Math.max(0, Math.floor(slack))} ms at most allow its deadline`);
		}

		if (wait > slack * overShareWait && this.#fairShare.isOverShare(customer.name, now)) {
			return refuse('3002', wait - (slack * overShareWait), `customer "${customer.name}" has had more than its share of long work`);
		}

		const queued = {
			facts, pool: pool.pool.name, promptTokens: prompt.promptTokens, prefillTime, priority: assessed.requestClass.priority, queuedAt: now, latestStart,
		};
		this.#queue.add(queued, customer.weight);
		// Those before it in the queue are looked at first.
		const [first] = this.#queue.inOrder(now);
		const served = first!.facts.requestId === facts.requestId ? this.#serve(first!, now) : undefined;
		return served ?? this.#waitDecision(queued, 'long-bound', now);
	}

	/** Time in milliseconds until a new long prompt would find an engine. */
	#expectedLongWait(pool: EnginePool, now: number): number {
		const {first, end} = pool.range('long', now);
		let pending = this.#queue.queuedTime(pool.pool.name) + pool.peersQueued(now);
		let soonest = Number.POSITIVE_INFINITY;
		for (let position = first; position < end; position++) {
			const wait = pool.members[position]!.pendingPrefill(now);
			pending += wait;
			soonest = Math.min(soonest, wait);
		}

		return Math.max(soonest, pending / Math.max(1, end - first));
	}

	/** Sends a queued prompt if an engine is free for it, or refuses it if its deadline has become unreachable. */
	#serve(queued: QueuedRequest, now: number): SendDecision | RefuseDecision | undefined {
		const {facts} = queued;
		const assessed = this.#assessQueued(queued, now);
		const pool = this.#fleet.pools.get(queued.pool);
		if (!pool || now > queued.latestStart) {
			this.#queue.remove(facts.requestId);
			return refuse('3004', Math.max(0, now - queued.latestStart) + longestRecheck, 'no engine became free in time');
		}

		const scored = this.#choice.longCandidates(pool, assessed.prompt, now)
			.filter(({view, wait, fits}) => fits && wait <= bindingWait && (this.#pausedUntil.get(view.name) ?? 0) <= now);
		const best = scored[0];
		if (!best) {
			return undefined;
		}

		this.#queue.remove(facts.requestId);
		this.#reserving.set(facts.requestId, queued);
		const decision = this.#send(assessed, {
			engine: best, now, second: scored[1], candidates: scored.length, reason: reasonOf(best, scored),
		});
		return {...decision, reserve: true};
	}

	#waitDecision({pool, promptTokens}: Pick<QueuedRequest, 'pool' | 'promptTokens'>, reason: WaitReason, now: number): WaitDecision {
		return {
			kind: 'wait', tier: 'long', reason, until: this.nextCheck(now, pool) ?? now + longestRecheck, promptTokens,
		};
	}

	#send(assessed: Assessed, chosen: Chosen): SendDecision {
		const {facts, prompt, answerTokens} = assessed;
		const {engine, now} = chosen;
		const entry: InFlight = {
			requestId: facts.requestId,
			promptTokens: prompt.promptTokens,
			cachedTokens: engine.cachedTokens,
			totalTokens: prompt.promptTokens + answerTokens,
			prefillTime: engine.prefillTime,
			long: prompt.tier === 'long',
			alone: engine.wait === 0,
			sentAt: now,
			firstTokenAt: undefined,
			lastTokenAt: undefined,
		};
		this.#fleet.place(facts, engine.view, entry);
		return sendDecision(assessed, chosen);
	}
}

type Chosen = {
	engine: ScoredEngine;
	now: number;
	second?: ScoredEngine | undefined;
	candidates?: number;
	reason: SendReason;
};

function sendDecision({pools, prompt, requestClass}: Assessed, {engine, second, candidates = 1, reason}: Chosen): SendDecision {
	const pool = pools.find(candidate => candidate.position(engine.view.name) !== undefined) ?? pools[0]!;
	return {
		kind: 'send',
		upstream: engine.view.name,
		pool: pool.pool.name,
		tier: prompt.tier,
		score: engine.score,
		second: second?.view.name,
		secondScore: second?.score,
		candidates,
		promptTokens: prompt.promptTokens,
		cachedTokens: engine.cachedTokens,
		priority: (requestClass.priority * classPriorityStep) + tierPriority[prompt.tier],
		reserve: false,
		reason,
	};
}

function placedEngine({view, entry}: {view: ScoredEngine['view']; entry: InFlight}): ScoredEngine {
	return {
		view, score: entry.prefillTime, cachedTokens: entry.cachedTokens, prefillTime: entry.prefillTime, wait: 0, fits: true,
	};
}

function reasonOf(best: ScoredEngine, scored: readonly ScoredEngine[]): SendReason {
	if (scored.length === 1) {
		return 'only-candidate';
	}

	return best.cachedTokens > 0 ? 'prefix-hit' : 'least-cost';
}

/** A refusal; nothing ran. */
export function refuse(code: RefuseDecision['code'], retryAfter: number | undefined, reason: string): RefuseDecision {
	return {
		kind: 'refuse', code, retryAfter: retryAfter === undefined ? undefined : Math.ceil(retryAfter), reason,
	};
}
