/**
 * Decides on prompts: which engine, whether to wait, refuse or divide.
 *
 * @module
 */
import type {Customer, RequestClass} from '../configuration/model.js';
import {FairShareTracker} from '../customer/fair-share.js';
import {
	type AssessedPrompt, assessPrompt, decideOversizedPrompt, sendReason, refuse, assignPrompt,
} from './prompt-assessment.js';
import type {
	Decision, QueuedRequestDecision, RefuseDecision, RequestFacts, ReservationOutcome, SendDecision, WaitDecision,
} from './decision.js';
import {EngineScorer, type EngineScorerOptions, type ScoredEngine} from './engine-scorer.js';
import type {FleetView} from './fleet-view.js';
import {LongPromptRouter} from './long-prompt-router.js';

/** Longest wait in milliseconds with which a short prompt is admitted. */
const maximumShortPromptWait = 2000;

/** Share of the time that its deadline leaves over which a prompt may wait at an engine. */
const maximumSlackFraction = 0.6;

/** Share of an admitted wait from which customers over their share are refused. */
const overShareWaitFactor = 0.5;

/** Engines that a short or medium prompt asks at most. */
const maximumProbedEngines = 4;

/** Wait relative to its own prefill for which a prompt does not ask another engine. */
const acceptedWaitRatio = 0.15;

/** Time in milliseconds that a reservation takes, before the first. */
const initialReservationDuration = 2;

/** Weight of one reservation's time against all before it. */
const reservationDurationWeight = 0.05;

/** Factor by which the expected loss by old reports must exceed the time of a reservation. */
const probeBenefitFactor = 2;

/** A short or medium prompt that asks engines one after another. */
type ProbeState = {assessed: AssessedPrompt; askedAt: number; engine: ScoredEngine; tried: Array<{engine: ScoredEngine; wait: number}>};

/** Decisions on prompts. */
export class PromptRouter {
	readonly #fleet: FleetView;
	readonly #engineChoice: EngineScorer;
	readonly #fairShare = new FairShareTracker();
	readonly #longPromptRouter: LongPromptRouter;
	/** Short and medium prompts for which a reservation is under way. */
	readonly #probes = new Map<string, ProbeState>();
	#reservationDuration = initialReservationDuration;

	constructor(fleet: FleetView, options: EngineScorerOptions) {
		this.#fleet = fleet;
		this.#engineChoice = new EngineScorer(fleet.prefixIndex, options);
		this.#longPromptRouter = new LongPromptRouter(fleet, this.#engineChoice, this.#fairShare);
	}

	get fairShare(): FairShareTracker {
		return this.#fairShare;
	}

	/** Number of prompts that wait at this instance. */
	get queuedCount(): number {
		return this.#longPromptRouter.queue.size;
	}

	get engineChoice(): EngineScorer {
		return this.#engineChoice;
	}

	/** Decides on a prompt that is within its customer's limits. */
	decide(facts: RequestFacts, requestClass: RequestClass, customer: Customer, now: number): Decision {
		const assessed = this.assess(facts, requestClass, customer, now);
		if (assessed.pools.every(pool => pool.members.length === 0)) {
			return refuse('3005', 1000, `no live engine in a pool of class "${requestClass.name}" serves model "${facts.model}"`);
		}

		const unfit = decideOversizedPrompt(this.#fleet, assessed);
		if (unfit) {
			return unfit;
		}

		const {prompt, pools} = assessed;
		const work = pools[0]!.rate.prefillTime(prompt.promptTokens);
		pools[0]!.recordDemand(prompt.tier, work, now);
		this.#fairShare.recordDemand(customer.name, customer.weight, work, now);
		const decision = prompt.tier === 'long' ? this.#longPromptRouter.admit(assessed, now) : this.#decideImmediately(assessed, now);
		if (decision.kind !== 'refuse') {
			this.#fairShare.recordServed(customer.name, work, now);
		}

		return decision;
	}

	/** Takes in the outcome of a reservation. */
	handleReservationOutcome(requestId: string, outcome: ReservationOutcome, now: number): SendDecision | WaitDecision | RefuseDecision | undefined {
		const probing = this.#probes.get(requestId);
		return probing ? this.#handleProbeOutcome(probing, outcome, now) : this.#longPromptRouter.handleReservationOutcome(requestId, outcome, now);
	}

	/** Decisions on queued prompts that can be made now. */
	drain(now: number): QueuedRequestDecision[] {
		return this.#longPromptRouter.drain(now);
	}

	/** Time at which `drain` should be called next; undefined while nothing waits. */
	nextDrainTime(now: number): number | undefined {
		return this.#longPromptRouter.nextDrainTime(now);
	}

	/** Prefill time in milliseconds that waits at this instance for a pool. */
	queuedPrefillTime(pool: string): number {
		return this.#longPromptRouter.queue.queuedPrefillTime(pool);
	}

	/** Forgets a prompt whose caller has left. */
	withdraw(requestId: string): void {
		this.#longPromptRouter.withdraw(requestId);
		this.#probes.delete(requestId);
	}

	/** What is known of a prompt. */
	assess(facts: RequestFacts, requestClass: RequestClass, customer: Customer, now: number): AssessedPrompt {
		return assessPrompt(this.#fleet, facts, {requestClass, customer, hasQueuedLongPrompts: pool => this.#longPromptRouter.hasQueuedPrompts(pool, now)});
	}

	#decideImmediately(assessed: AssessedPrompt, now: number): Decision {
		const {pools, prompt, facts, answerTokens} = assessed;
		const sampled = pools.flatMap(pool => this.#engineChoice.sampleCandidates(pool, prompt, now));
		const scored = (sampled.length > 0 ? sampled : pools.flatMap(pool => this.#engineChoice.untriedCandidates(pool, prompt, now)))
			.toSorted((left, right) => left.score - right.score);
		const best = scored[0];
		if (!best) {
			return refuse('3005', 1000, `all live engines of class "${assessed.requestClass.name}" were tried`);
		}

		const late = now + best.score + this.#fleet.answerEstimate.estimateDuration(facts.requestClass, answerTokens) - facts.deadline;
		if (late > 0) {
			return refuse('3004', late, `would end ${Math.ceil(late)} ms after its deadline`);
		}

		const limit = Math.min(prompt.tier === 'short' ? maximumShortPromptWait : Number.POSITIVE_INFINITY, -late * maximumSlackFraction);
		const queueing = best.score - best.prefillTime;
		if (queueing > limit || (queueing > limit * overShareWaitFactor && this.#fairShare.isOverShare(assessed.customer.name, now))) {
			return refuse('3002', queueing, `first token is expected to wait ${Math.ceil(queueing)} ms`);
		}

		const decision = assignPrompt(this.#fleet, assessed, {
			engine: best, assignedAt: now, secondBest: scored[1], candidateCount: scored.length, reason: sendReason(best, scored),
		});
		const expectedLoss = Math.min(1, pools[0]!.utilization(now)) * best.prefillTime;
		if (expectedLoss < probeBenefitFactor * this.#reservationDuration) {
			return decision;
		}

		this.#probes.set(facts.requestId, {
			assessed, askedAt: now, engine: best, tried: [],
		});
		return {...decision, isReservationRequired: true};
	}

	/** Decides after an engine has told a short or medium prompt how long it would wait. */
	#handleProbeOutcome(probing: ProbeState, outcome: ReservationOutcome, now: number): SendDecision {
		const {assessed, engine, tried} = probing;
		const wait = outcome.kind === 'reserved' ? outcome.expectedWait : Number.POSITIVE_INFINITY;
		this.#reservationDuration += reservationDurationWeight * (now - probing.askedAt - this.#reservationDuration);
		tried.push({engine, wait});
		if (outcome.kind === 'reserved') {
			this.#fleet.unassign(assessed.facts.requestId);
			engine.view.recordExpectedWait(wait, now);
		}

		const best = tried.toSorted((left, right) => (left.wait + left.engine.prefillTime) - (right.wait + right.engine.prefillTime))[0]!;
		const next = wait <= acceptedWaitRatio * engine.prefillTime || tried.length >= maximumProbedEngines ? undefined : this.#nextEngineToProbe(assessed, tried, now);
		if (next && next.score < best.wait + best.engine.prefillTime) {
			this.#probes.set(assessed.facts.requestId, {
				assessed, askedAt: now, engine: next, tried,
			});
			return {
				...assignPrompt(this.#fleet, assessed, {
					engine: next, assignedAt: now, candidateCount: tried.length + 1, reason: 'late-binding',
				}), isReservationRequired: true,
			};
		}

		this.#probes.delete(assessed.facts.requestId);
		const asked = Number.isFinite(best.wait) ? {...best.engine, wait: best.wait, score: best.wait + best.engine.prefillTime} : best.engine;
		return assignPrompt(this.#fleet, assessed, {
			engine: asked, assignedAt: now, candidateCount: tried.length, reason: 'late-binding',
		});
	}

	/** Best candidate among those that were not asked yet. */
	#nextEngineToProbe({pools, prompt}: AssessedPrompt, tried: ProbeState['tried'], now: number): ScoredEngine | undefined {
		const excluded = [...prompt.excluded, ...tried.map(({engine}) => engine.view.name)];
		const further = {...prompt, excluded, attempt: prompt.previousAttempts + tried.length};
		return pools.flatMap(pool => this.#engineChoice.sampleCandidates(pool, further, now)).toSorted((left, right) => left.score - right.score)[0];
	}
}
