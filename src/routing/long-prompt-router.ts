/**
 * Decides on long prompts: each waits until an engine is free for it, and is bound to that engine by a reservation.
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

/** Wait in milliseconds at an engine up to which a long prompt is bound to it. */
const maximumEstimatedWait = 250;

/** Wait in milliseconds that a reservation may show for the prompt to be sent nevertheless. */
const maximumReservedWait = 1000;

/** Shortest and longest time in milliseconds until a waiting prompt is looked at again. */
const minimumRecheckInterval = 50;
const maximumRecheckInterval = 1000;

/** Time in milliseconds for which an engine that refused a reservation is not asked again. */
const refusedReservationBackoff = 500;

/** Time in milliseconds for which a prefill may stop streams at an engine that is not kept for long prompts. */
const maximumStreamStall = 8000;

/** Streams at such an engine that are not counted, since its report is late. */
const ignoredStreamCount = 3;

/** Factor by which the expected wait of a long prompt is taken longer to be sure of its deadline. */
const waitSafetyFactor = 1.3;

/** Expected wait in milliseconds from which actual waits are compared with it. */
const minimumWaitForCorrection = 2000;

/** Greatest ratio of an actual wait to the expected one that is learnt. */
const maximumWaitRatio = 5;

/** Weight of one wait against all before it. */
const waitRatioWeight = 0.2;

/** Share of its deadline that a long prompt of a customer over its share may wait. */
const overShareSlackFraction = 0.5;

/** Decisions on long prompts. */
export class LongPromptRouter {
	readonly #fleet: FleetView;
	readonly #engineChoice: EngineScorer;
	readonly #fairShare: FairShareTracker;
	readonly #queue = new LongPromptQueue();
	/** Prompts for which a reservation is under way. */
	readonly #reserving = new Map<string, QueuedRequest>();
	/** Actual waits relative to the expected ones. */
	#waitCorrection = 1;
	readonly #backoffUntil = new Map<string, number>();

	constructor(fleet: FleetView, choice: EngineScorer, fairShare: FairShareTracker) {
		this.#fleet = fleet;
		this.#engineChoice = choice;
		this.#fairShare = fairShare;
	}

	get queue(): LongPromptQueue {
		return this.#queue;
	}

	/** Whether long prompts wait for a pool, here or at other instances. */
	hasQueuedPrompts(pool: EnginePool, now: number): boolean {
		return this.#queue.queuedPrefillTime(pool.definition.name) + pool.queuedLongPrefillAtPeers(now) > 0;
	}

	/** Admits a long prompt to the queue, and sends it at once where an engine is free. */
	admit(assessed: AssessedPrompt, now: number): Decision {
		const {facts, pools, prompt, answerTokens, customer} = assessed;
		const pool = pools.find(({members}) => members.length > 0)!;
		const prefillTime = pool.rate.prefillTime(prompt.promptTokens);
		const latestStart = facts.deadline - prefillTime - this.#fleet.answerEstimate.estimateDuration(facts.requestClass, answerTokens);
		const wait = this.#estimateWait(pool, now) * this.#waitCorrection;
		const slack = latestStart - now;
		const late = (wait * waitSafetyFactor) - slack;
		if (late > 0) {
			return refuse(slack > 0 ? '3002' : '3004', late, `would have to wait about ${Math.ceil(wait)} ms for an engine, ${Math.max(0, Math.floor(slack))} ms at most allow its deadline`);
		}

		if (wait > slack * overShareSlackFraction && this.#fairShare.isOverShare(customer.name, now)) {
			return refuse('3002', wait - (slack * overShareSlackFraction), `customer "${customer.name}" has had more than its share of long work`);
		}

		const queued = {
			facts, pool: pool.definition.name, promptTokens: prompt.promptTokens, prefillTime, priority: assessed.requestClass.priority, queuedAt: now, expectedWait: wait / this.#waitCorrection, latestStart,
		};
		this.#queue.add(queued, customer.weight);
		// Those before it in the queue are looked at first.
		const [first] = this.#queue.inServiceOrder(now);
		const served = first!.facts.requestId === facts.requestId ? this.#decideQueued(first!, now) : undefined;
		return served ?? this.#waitDecision(queued, 'long-bound', now);
	}

	/** Takes in the outcome of a reservation. */
	handleReservationOutcome(requestId: string, outcome: ReservationOutcome, now: number): SendDecision | WaitDecision | RefuseDecision | undefined {
		const queued = this.#reserving.get(requestId);
		const placed = this.#fleet.assignedRequest(requestId);
		this.#reserving.delete(requestId);
		if (!queued || !placed) {
			return undefined;
		}

		if (outcome.kind === 'reserved' && outcome.expectedWait <= maximumReservedWait) {
			this.#queue.recordServed(queued);
			this.#updateWaitCorrection(queued, now);
			placed.entry.sentAt = now;
			return {...buildSendDecision(this.#assessQueued(queued, now), {engine: assignedEngine(placed), assignedAt: now, reason: 'late-binding'}), isReservationRequired: false};
		}

		this.#fleet.unassign(requestId);
		if (outcome.kind === 'reserved') {
			placed.loadView.recordExpectedWait(outcome.expectedWait, now);
		}

		const pause = outcome.kind === 'reserved' ? Math.min(outcome.expectedWait, maximumRecheckInterval) : refusedReservationBackoff;
		this.#backoffUntil.set(placed.loadView.name, now + pause);
		this.#queue.requeue(queued);
		return this.#decideQueued(queued, now) ?? this.#waitDecision(queued, 'engine-busy', now);
	}

	/** Decisions on queued prompts that can be made now. */
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

	/** Forgets a prompt. */
	withdraw(requestId: string): void {
		this.#queue.remove(requestId);
		this.#reserving.delete(requestId);
	}

	/** Time at which an engine for long prompts is expected to be free; undefined where none waits. */
	nextDrainTime(now: number, poolName?: string): number | undefined {
		if (this.#queue.size === 0) {
			return undefined;
		}

		let soonest = maximumRecheckInterval;
		for (const [name, pool] of this.#fleet.pools) {
			if (poolName !== undefined && name !== poolName) {
				continue;
			}

			const {first, end} = pool.tierRange('long', now);
			for (let position = first; position < end; position++) {
				const view = pool.members[position]!;
				const paused = (this.#backoffUntil.get(view.name) ?? 0) - now;
				soonest = Math.min(soonest, Math.max(paused, view.pendingPrefillTime(now) - maximumEstimatedWait));
			}
		}

		return now + Math.max(minimumRecheckInterval, soonest);
	}

	/** Learns by how much waits differ from the expected ones; engines short of memory make them longer. */
	#updateWaitCorrection({queuedAt, expectedWait}: QueuedRequest, now: number): void {
		if (expectedWait >= minimumWaitForCorrection) {
			const ratio = Math.min(maximumWaitRatio, (now - queuedAt) / expectedWait);
			this.#waitCorrection = Math.max(1, this.#waitCorrection + (waitRatioWeight * (ratio - this.#waitCorrection)));
		}
	}

	/** Time in milliseconds until a new long prompt would find an engine. */
	#estimateWait(pool: EnginePool, now: number): number {
		const {first, end} = pool.tierRange('long', now);
		let pending = this.#queue.queuedPrefillTime(pool.definition.name) + pool.queuedLongPrefillAtPeers(now);
		let soonest = Number.POSITIVE_INFINITY;
		for (let position = first; position < end; position++) {
			const wait = pool.members[position]!.pendingPrefillTime(now);
			pending += wait;
			soonest = Math.min(soonest, wait);
		}

		return Math.max(soonest, pending / Math.max(1, end - first));
	}

	#assessQueued({facts}: QueuedRequest, now: number): AssessedPrompt {
		const {classes, customers} = this.#fleet.configuration;
		return assessPrompt(this.#fleet, facts, {
			requestClass: classes.get(facts.requestClass)!, customer: customers.get(facts.customer)!, hasQueuedLongPrompts: pool => this.hasQueuedPrompts(pool, now),
		});
	}

	/** Sends a queued prompt if an engine is free for it, or refuses it if its deadline has become unreachable. */
	#decideQueued(queued: QueuedRequest, now: number): SendDecision | RefuseDecision | undefined {
		const {facts} = queued;
		const assessed = this.#assessQueued(queued, now);
		const pool = this.#fleet.pools.get(queued.poolName);
		if (!pool || now > queued.latestStart) {
			this.#queue.remove(facts.requestId);
			return refuse('3004', Math.max(0, now - queued.latestStart) + maximumRecheckInterval, 'no engine became free in time');
		}

		const scored = this.#engineChoice.longPromptCandidates(pool, assessed.prompt, now)
			.filter(({view, expectedWait: wait, hasEnoughMemory: fits, prefillTime}) => fits && wait <= maximumEstimatedWait && !this.#wouldStallStreams(pool, view, prefillTime, now) && (this.#backoffUntil.get(view.name) ?? 0) <= now);
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

	/** Whether a prompt would stop the streams of a borrowed engine for longer than they can bear. */
	#wouldStallStreams(pool: EnginePool, view: LoadView, prefillTime: number, now: number): boolean {
		const isBorrowed = pool.position(view.name)! >= pool.tierRange('long', now).end;
		return isBorrowed && prefillTime * pool.rate.blockingFraction > maximumStreamStall && view.streamCount(now) > ignoredStreamCount;
	}

	#waitDecision({poolName: pool, promptTokens}: Pick<QueuedRequest, 'pool' | 'promptTokens'>, reason: WaitReason, now: number): WaitDecision {
		return {
			kind: 'wait', tier: 'long', reason, recheckAt: this.nextDrainTime(now, pool) ?? now + maximumRecheckInterval, promptTokens,
		};
	}
}
