/**
 * Routes prompts: chooses an engine, or decides that a prompt waits, is refused or is divided.
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

/** Longest expected wait in milliseconds at which a short prompt is admitted. */
const maximumShortPromptWait = 2000;

/** Fraction of its slack, the time that remains until its deadline after the expected end, that a prompt may wait at an engine. */
const maximumSlackFraction = 0.6;

/** Factor on the longest admitted wait for customers that exceed their fair share. */
const overShareWaitFactor = 0.5;

/** Maximum number of engines probed for a short or medium prompt. */
const maximumProbedEngines = 4;

/** Ratio of reported wait to prefill time up to which no further engine is probed. */
const acceptedWaitRatio = 0.15;

/** Duration in milliseconds assumed for a reservation before the first one. */
const initialReservationDuration = 2;

/** Weight of the latest reservation in the exponential moving average of the durations. */
const reservationDurationWeight = 0.05;

/** Ratio of the expected time lost to outdated load reports to the duration of a reservation from which engines are probed. */
const probeBenefitFactor = 2;

/** A short or medium prompt for which engines are probed one after another by reservations. */
type ProbeState = {assessed: AssessedPrompt; probedAt: number; engine: ScoredEngine; results: Array<{engine: ScoredEngine; wait: number}>};

/** Routes prompts. */
export class PromptRouter {
	readonly #fleet: FleetView;
	readonly #engineScorer: EngineScorer;
	readonly #fairShare = new FairShareTracker();
	readonly #longPromptRouter: LongPromptRouter;
	/** Short and medium prompts with a reservation in progress. */
	readonly #probes = new Map<string, ProbeState>();
	#reservationDuration = initialReservationDuration;

	constructor(fleet: FleetView, options: EngineScorerOptions) {
		this.#fleet = fleet;
		this.#engineScorer = new EngineScorer(fleet.prefixIndex, options);
		this.#longPromptRouter = new LongPromptRouter(fleet, this.#engineScorer, this.#fairShare);
	}

	get fairShare(): FairShareTracker {
		return this.#fairShare;
	}

	/** Number of prompts queued at this instance. */
	get queuedCount(): number {
		return this.#longPromptRouter.queue.size;
	}

	get engineScorer(): EngineScorer {
		return this.#engineScorer;
	}

	/** Makes the decision for a prompt that is within its customer's limits. */
	decide(facts: RequestFacts, requestClass: RequestClass, customer: Customer, now: number): Decision {
		const assessed = this.assess(facts, requestClass, customer, now);
		if (assessed.pools.every(pool => pool.members.length === 0)) {
			return refuse('3005', 1000, `no live engine in a pool of class "${requestClass.name}" serves model "${facts.model}"`);
		}

		const unfitDecision = decideOversizedPrompt(this.#fleet, assessed);
		if (unfitDecision) {
			return unfitDecision;
		}

		const {prompt, pools} = assessed;
		const work = pools[0]!.prefillEstimator.prefillTime(prompt.promptTokens);
		pools[0]!.recordDemand(prompt.tier, work, now);
		this.#fairShare.recordDemand(customer.name, customer.weight, work, now);
		const decision = prompt.tier === 'long' ? this.#longPromptRouter.admit(assessed, now) : this.#decideImmediately(assessed, now);
		if (decision.kind !== 'refuse') {
			this.#fairShare.recordServed(customer.name, work, now);
		}

		return decision;
	}

	/** Makes the next decision for a prompt after the outcome of its reservation; returns undefined for an unknown prompt. */
	handleReservationOutcome(requestId: string, outcome: ReservationOutcome, now: number): SendDecision | WaitDecision | RefuseDecision | undefined {
		const probe = this.#probes.get(requestId);
		return probe ? this.#handleProbeOutcome(probe, outcome, now) : this.#longPromptRouter.handleReservationOutcome(requestId, outcome, now);
	}

	/** Makes the decisions for queued prompts that can be sent or must be refused now. */
	drain(now: number): QueuedRequestDecision[] {
		return this.#longPromptRouter.drain(now);
	}

	/** Time at which to call `drain` next; undefined if no prompt is queued. */
	nextDrainTime(now: number): number | undefined {
		return this.#longPromptRouter.nextDrainTime(now);
	}

	/** Total prefill time in milliseconds of the prompts queued at this instance for a pool. */
	queuedPrefillTime(poolName: string): number {
		return this.#longPromptRouter.queue.queuedPrefillTime(poolName);
	}

	/** Removes a prompt from the queue and ignores the outcome of its reservation. */
	withdraw(requestId: string): void {
		this.#longPromptRouter.withdraw(requestId);
		this.#probes.delete(requestId);
	}

	/** Estimates the lengths and the tier of a prompt and finds its pools. */
	assess(facts: RequestFacts, requestClass: RequestClass, customer: Customer, now: number): AssessedPrompt {
		return assessPrompt(this.#fleet, facts, {requestClass, customer, hasQueuedLongPrompts: pool => this.#longPromptRouter.hasQueuedPrompts(pool, now)});
	}

	#decideImmediately(assessed: AssessedPrompt, now: number): Decision {
		const {pools, prompt, facts, answerTokens} = assessed;
		const sampled = pools.flatMap(pool => this.#engineScorer.sampleCandidates(pool, prompt, now));
		const scored = (sampled.length > 0 ? sampled : pools.flatMap(pool => this.#engineScorer.untriedCandidates(pool, prompt, now)))
			.toSorted((left, right) => left.score - right.score);
		const best = scored[0];
		if (!best) {
			return refuse('3005', 1000, `all live engines for class "${assessed.requestClass.name}" have already been tried`);
		}

		const lateness = now + best.score + this.#fleet.answerEstimator.estimateDuration(facts.requestClass, answerTokens) - facts.deadline;
		if (lateness > 0) {
			return refuse('3004', lateness, `expected to end ${Math.ceil(lateness)} ms after its deadline`);
		}

		const maximumWait = Math.min(prompt.tier === 'short' ? maximumShortPromptWait : Number.POSITIVE_INFINITY, -lateness * maximumSlackFraction);
		const wait = best.score - best.prefillTime;
		if (wait > maximumWait || (wait > maximumWait * overShareWaitFactor && this.#fairShare.isOverShare(assessed.customer.name, now))) {
			return refuse('3002', wait, `expected wait before the prefill is ${Math.ceil(wait)} ms`);
		}

		const decision = assignPrompt(this.#fleet, assessed, {
			engine: best, assignedAt: now, secondBest: scored[1], candidateCount: scored.length, reason: sendReason(best, scored),
		});
		const expectedTimeLost = Math.min(1, pools[0]!.utilization(now)) * best.prefillTime;
		if (expectedTimeLost < probeBenefitFactor * this.#reservationDuration) {
			return decision;
		}

		this.#probes.set(facts.requestId, {
			assessed, probedAt: now, engine: best, results: [],
		});
		return {...decision, isReservationRequired: true};
	}

	/** Sends a short or medium prompt to the best engine probed so far, or probes another one. */
	#handleProbeOutcome(probe: ProbeState, outcome: ReservationOutcome, now: number): SendDecision {
		const {assessed, engine, results} = probe;
		const wait = outcome.kind === 'reserved' ? outcome.expectedWait : Number.POSITIVE_INFINITY;
		this.#reservationDuration += reservationDurationWeight * (now - probe.probedAt - this.#reservationDuration);
		results.push({engine, wait});
		if (outcome.kind === 'reserved') {
			this.#fleet.unassign(assessed.facts.requestId);
			engine.view.recordExpectedWait(wait, now);
		}

		const best = results.toSorted((left, right) => (left.wait + left.engine.prefillTime) - (right.wait + right.engine.prefillTime))[0]!;
		const next = wait <= acceptedWaitRatio * engine.prefillTime || results.length >= maximumProbedEngines ? undefined : this.#nextEngineToProbe(assessed, results, now);
		if (next && next.score < best.wait + best.engine.prefillTime) {
			this.#probes.set(assessed.facts.requestId, {
				assessed, probedAt: now, engine: next, results,
			});
			return {
				...assignPrompt(this.#fleet, assessed, {
					engine: next, assignedAt: now, candidateCount: results.length + 1, reason: 'late-binding',
				}), isReservationRequired: true,
			};
		}

		this.#probes.delete(assessed.facts.requestId);
		const chosen = Number.isFinite(best.wait) ? {...best.engine, expectedWait: best.wait, score: best.wait + best.engine.prefillTime} : best.engine;
		return assignPrompt(this.#fleet, assessed, {
			engine: chosen, assignedAt: now, candidateCount: results.length, reason: 'late-binding',
		});
	}

	/** Best candidate among the engines that have not been probed yet. */
	#nextEngineToProbe({pools, prompt}: AssessedPrompt, results: ProbeState['results'], now: number): ScoredEngine | undefined {
		const excluded = [...prompt.excluded, ...results.map(({engine}) => engine.view.name)];
		const nextPrompt = {...prompt, excluded, previousAttempts: prompt.previousAttempts + results.length};
		return pools.flatMap(pool => this.#engineScorer.sampleCandidates(pool, nextPrompt, now)).toSorted((left, right) => left.score - right.score)[0];
	}
}
