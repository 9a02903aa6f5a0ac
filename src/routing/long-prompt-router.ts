/**
 * Routes long prompts. Each is queued until an engine is available, and is sent to that engine after a reservation
 * (late binding).
 *
 * @module
 */
import type {FairShareTracker} from '../customer/fair-share.js';
import type {LoadView} from '../upstream/load-view.js';
import {
	type AssessedPrompt, assessPrompt, assignedEngine, sendReason, refuse, buildSendDecision, assignPrompt,
} from './prompt-assessment.js';
import type {
	Decision, QueuedRequestDecision, RefuseDecision, ReservationOutcome, SendDecision, WaitDecision, WaitReason,
} from './decision.js';
import type {EngineScorer} from './engine-scorer.js';
import type {EnginePool} from './engine-pool.js';
import type {FleetView} from './fleet-view.js';
import {LongPromptQueue, type QueuedRequest} from './long-prompt-queue.js';

/** Longest estimated wait in milliseconds at an engine for which a reservation is attempted. */
const maximumEstimatedWait = 250;

/** Longest wait in milliseconds reported by a reservation with which the prompt is still sent. */
const maximumReservedWait = 1000;

/** Shortest and longest time in milliseconds until the queued prompts are considered again. */
const minimumRecheckInterval = 50;
const maximumRecheckInterval = 1000;

/** Time in milliseconds for which no reservation is attempted at an engine that refused one. */
const refusedReservationBackoff = 500;

/** Longest time in milliseconds for which a prefill may stall the streams of an engine outside the long tier. */
const maximumStreamStall = 8000;

/** Number of streams at such an engine that are ignored, because its load report may be out of date. */
const ignoredStreamCount = 3;

/** Safety factor on the expected wait of a long prompt when it is compared with the deadline. */
const waitSafetyFactor = 1.3;

/** Shortest expected wait in milliseconds that is compared with the actual wait to correct later estimates. */
const minimumWaitForCorrection = 2000;

/** Upper limit of the ratio of actual to expected wait that enters the correction. */
const maximumWaitRatio = 5;

/** Weight of the latest wait in the exponential moving average of the correction. */
const waitRatioWeight = 0.2;

/** Fraction of its slack that a long prompt may wait if its customer exceeds its fair share. */
const overShareSlackFraction = 0.5;

/** Routes long prompts. */
export class LongPromptRouter {
	readonly #fleet: FleetView;
	readonly #engineScorer: EngineScorer;
	readonly #fairShare: FairShareTracker;
	readonly #queue = new LongPromptQueue();
	/** Prompts with a reservation in progress. */
	readonly #reserving = new Map<string, QueuedRequest>();
	/** Moving average of the ratio of actual to expected wait, at least 1. */
	#waitCorrection = 1;
	/** Time until which no reservation is attempted, by engine. */
	readonly #backoffUntil = new Map<string, number>();

	constructor(fleet: FleetView, engineScorer: EngineScorer, fairShare: FairShareTracker) {
		this.#fleet = fleet;
		this.#engineScorer = engineScorer;
		this.#fairShare = fairShare;
	}

	get queue(): LongPromptQueue {
		return this.#queue;
	}

	/** Whether long prompts are queued for a pool, at this or any other instance. */
	hasQueuedPrompts(pool: EnginePool, now: number): boolean {
		return this.#queue.queuedPrefillTime(pool.definition.name) + pool.queuedLongPrefillAtPeers(now) > 0;
	}

	/** Refuses a long prompt, or queues it and sends it immediately if an engine is available. */
	admit(assessed: AssessedPrompt, now: number): Decision {
		const {facts, pools, prompt, answerTokens, customer} = assessed;
		const pool = pools.find(({members}) => members.length > 0)!;
		const prefillTime = pool.prefillEstimator.prefillTime(prompt.promptTokens);
		const latestStart = facts.deadline - prefillTime - this.#fleet.answerEstimator.estimateDuration(facts.requestClass, answerTokens);
		const wait = this.#estimateWait(pool, now) * this.#waitCorrection;
		const slack = latestStart - now;
		const excess = (wait * waitSafetyFactor) - slack;
		if (excess > 0) {
			return refuse(slack > 0 ? '3002' : '3004', excess, `expected wait for an engine is about ${Math.ceil(wait)} ms; the deadline allows at most ${Math.max(0, Math.floor(slack))} ms`);
		}

		if (wait > slack * overShareSlackFraction && this.#fairShare.isOverShare(customer.name, now)) {
			return refuse('3002', wait - (slack * overShareSlackFraction), `customer "${customer.name}" exceeds its fair share of prefill work`);
		}

		const queued = {
			facts,
			poolName: pool.definition.name,
			promptTokens: prompt.promptTokens,
			prefillTime,
			priority: assessed.requestClass.priority,
			queuedAt: now,
			expectedWait: wait / this.#waitCorrection,
			latestStart,
		};
		this.#queue.add(queued, customer.weight);
		// Sent now only if it is first in the queue; the prompts ahead of it are considered first.
		const [first] = this.#queue.inServiceOrder(now);
		const decision = first!.facts.requestId === facts.requestId ? this.#decideQueued(first!, now) : undefined;
		return decision ?? this.#waitDecision(queued, 'long-bound', now);
	}

	/** Sends the prompt if the reservation succeeded with a short wait; otherwise queues it again. Returns undefined for an unknown prompt. */
	handleReservationOutcome(requestId: string, outcome: ReservationOutcome, now: number): SendDecision | WaitDecision | RefuseDecision | undefined {
		const queued = this.#reserving.get(requestId);
		const assigned = this.#fleet.assignedRequest(requestId);
		this.#reserving.delete(requestId);
		if (!queued || !assigned) {
			return undefined;
		}

		const assessed = this.#assessQueued(queued, now);
		if (assessed && outcome.kind === 'reserved' && outcome.expectedWait <= maximumReservedWait) {
			this.#queue.recordServed(queued);
			this.#updateWaitCorrection(queued, now);
			assigned.entry.sentAt = now;
			return {...buildSendDecision(assessed, {engine: assignedEngine(assigned), assignedAt: now, reason: 'late-binding'}), isReservationRequired: false};
		}

		this.#fleet.unassign(requestId);
		if (outcome.kind === 'reserved') {
			assigned.loadView.recordExpectedWait(outcome.expectedWait, now);
		}

		const backoff = outcome.kind === 'reserved' ? Math.min(outcome.expectedWait, maximumRecheckInterval) : refusedReservationBackoff;
		this.#backoffUntil.set(assigned.loadView.name, now + backoff);
		this.#queue.requeue(queued);
		return this.#decideQueued(queued, now) ?? this.#waitDecision(queued, 'engine-busy', now);
	}

	/** Makes the decisions for queued prompts that can be sent or must be refused now. */
	drain(now: number): QueuedRequestDecision[] {
		const drained: QueuedRequestDecision[] = [];
		for (const queued of this.#queue.inServiceOrder(now)) {
			const decision = this.#decideQueued(queued, now);
			if (decision) {
				drained.push({requestId: queued.facts.requestId, decision});
			}
		}

		return drained;
	}

	/** Removes a prompt from the queue and ignores the outcome of its reservation. */
	withdraw(requestId: string): void {
		this.#queue.remove(requestId);
		this.#reserving.delete(requestId);
	}

	/** Time at which an engine of the long tier is expected to be available, limited by the recheck intervals; undefined if no prompt is queued. */
	nextDrainTime(now: number, poolName?: string): number | undefined {
		if (this.#queue.size === 0) {
			return undefined;
		}

		let delay = maximumRecheckInterval;
		for (const [name, pool] of this.#fleet.pools) {
			if (poolName !== undefined && name !== poolName) {
				continue;
			}

			const {first, end} = pool.tierRange('long', now);
			for (let position = first; position < end; position++) {
				const view = pool.members[position]!;
				const remainingBackoff = (this.#backoffUntil.get(view.name) ?? 0) - now;
				delay = Math.min(delay, Math.max(remainingBackoff, view.pendingPrefillTime(now) - maximumEstimatedWait));
			}
		}

		return now + Math.max(minimumRecheckInterval, delay);
	}

	/** Updates the correction of expected waits, which are too short when engines run short of memory. */
	#updateWaitCorrection({queuedAt, expectedWait}: QueuedRequest, now: number): void {
		if (expectedWait >= minimumWaitForCorrection) {
			const ratio = Math.min(maximumWaitRatio, (now - queuedAt) / expectedWait);
			this.#waitCorrection = Math.max(1, this.#waitCorrection + (waitRatioWeight * (ratio - this.#waitCorrection)));
		}
	}

	/** Estimated time in milliseconds until an engine is available for a new long prompt, without the correction. */
	#estimateWait(pool: EnginePool, now: number): number {
		const {first, end} = pool.tierRange('long', now);
		let pending = this.#queue.queuedPrefillTime(pool.definition.name) + pool.queuedLongPrefillAtPeers(now);
		let shortestWait = Number.POSITIVE_INFINITY;
		for (let position = first; position < end; position++) {
			const wait = pool.members[position]!.pendingPrefillTime(now);
			pending += wait;
			shortestWait = Math.min(shortestWait, wait);
		}

		return Math.max(shortestWait, pending / Math.max(1, end - first));
	}

	/** Assesses a queued prompt again; undefined if its class or its customer has been removed since. */
	#assessQueued({facts}: QueuedRequest, now: number): AssessedPrompt | undefined {
		const {classes, customers} = this.#fleet.configuration;
		const [requestClass, customer] = [classes.get(facts.requestClass), customers.get(facts.customer)];
		return requestClass && customer && assessPrompt(this.#fleet, facts, {requestClass, customer, hasQueuedLongPrompts: pool => this.hasQueuedPrompts(pool, now)});
	}

	/** Sends a queued prompt if an engine is available, or refuses it if its deadline can no longer be met. */
	#decideQueued(queued: QueuedRequest, now: number): SendDecision | RefuseDecision | undefined {
		const {facts} = queued;
		const assessed = this.#assessQueued(queued, now);
		if (!assessed) {
			this.#queue.remove(facts.requestId);
			return refuse('3005', undefined, `class "${facts.requestClass}" or customer "${facts.customer}" is no longer declared`);
		}

		const pool = this.#fleet.pools.get(queued.poolName);
		if (!pool || now > queued.latestStart) {
			this.#queue.remove(facts.requestId);
			return refuse('3004', Math.max(0, now - queued.latestStart) + maximumRecheckInterval, 'no engine became available in time to meet the deadline');
		}

		const scored = this.#engineScorer.longPromptCandidates(pool, assessed.prompt, now)
			.filter(({view, expectedWait, hasEnoughMemory, prefillTime}) => hasEnoughMemory && expectedWait <= maximumEstimatedWait
				&& !this.#wouldStallStreams(pool, view, prefillTime, now) && (this.#backoffUntil.get(view.name) ?? 0) <= now);
		const best = scored[0];
		if (!best) {
			return undefined;
		}

		this.#queue.remove(facts.requestId);
		this.#reserving.set(facts.requestId, queued);
		const decision = assignPrompt(this.#fleet, assessed, {
			engine: best, assignedAt: now, secondBest: scored[1], candidateCount: scored.length, reason: sendReason(best, scored),
		});
		return {...decision, isReservationRequired: true};
	}

	/** Whether a prompt would stall the streams of an engine outside the long tier for too long. */
	#wouldStallStreams(pool: EnginePool, view: LoadView, prefillTime: number, now: number): boolean {
		const isOutsideLongTier = pool.position(view.name)! >= pool.tierRange('long', now).end;
		return isOutsideLongTier && prefillTime * pool.prefillEstimator.blockingFraction > maximumStreamStall && view.streamCount(now) > ignoredStreamCount;
	}

	#waitDecision({poolName, promptTokens}: Pick<QueuedRequest, 'poolName' | 'promptTokens'>, reason: WaitReason, now: number): WaitDecision {
		return {
			kind: 'wait', tier: 'long', reason, recheckAt: this.nextDrainTime(now, poolName) ?? now + maximumRecheckInterval, promptTokens,
		};
	}
}
