/**
 * Drives the router: keeps waiting requests until the router decides on them, and makes the reservations that it requires.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {CarobquayError, toCarobquayError} from '../errors/errors.js';
import type {
	Decision, DivideDecision, QueuedRequestDecision, RefuseDecision, RequestFacts, ReservationOutcome, SendDecision, WaitDecision,
} from '../routing/decision.js';
import type {Observation} from '../routing/observation.js';
import type {Reservation} from '../upstream/engine.js';

/** The router methods that the dispatcher calls. */
export interface RequestRouter {
	decide(facts: RequestFacts, now: number): Decision;
	handleReservationOutcome(requestId: string, outcome: ReservationOutcome, now: number): SendDecision | WaitDecision | RefuseDecision | undefined;
	/** Removes the requests that need not wait any longer from the queue and returns the decisions on them. */
	drain(now: number): QueuedRequestDecision[];
	/** Monotonic time in milliseconds of the next drain; undefined if no request waits. */
	nextDrainTime(now: number): number | undefined;
	/** Removes a request from the queue. */
	withdraw(requestId: string): void;
	observe(observation: Observation, now: number): void;
}

/** Makes and releases KV cache memory reservations at engines. */
export interface Reserver {
	/** @throws {CarobquayError} if the engine has no memory left or does not answer. */
	reserve(upstream: string, facts: RequestFacts, decision: SendDecision): Promise<Reservation>;
	release(upstream: string, reservationId: string): void;
}

/** Called with every decision, for log lines and metrics; the time taken is 0 for later decisions on the same request. */
export type DecisionListener = (facts: RequestFacts, decision: Decision, microseconds: number) => void;

export type DispatcherOptions = {
	router: RequestRouter;
	reserver: Reserver;
	/** @default a function that does nothing */
	onDecision?: DecisionListener;
};

/** Decision to send a request, with the id of the reservation to use if one was made. */
export type Dispatch = {decision: SendDecision; reservationId: string | undefined};

type DecisionCallback = (decision: SendDecision | RefuseDecision) => void;

/** Minimum delay in milliseconds until a drain by timer; drains after observations are not limited. */
const minimumDrainDelay = 5;

/** Asks the router for decisions on requests and keeps the requests that have to wait. */
export class Dispatcher {
	readonly #router: RequestRouter;
	readonly #reserver: Reserver;
	readonly #onDecision: DecisionListener;
	readonly #queuedRequests = new Map<string, DecisionCallback>();
	#drainTimer: NodeJS.Timeout | undefined;
	#isDrainScheduled = false;

	constructor({router, reserver, onDecision = () => undefined}: DispatcherOptions) {
		this.#router = router;
		this.#reserver = reserver;
		this.#onDecision = onDecision;
	}

	/** Number of requests that are waiting. */
	get waitingCount(): number {
		return this.#queuedRequests.size;
	}

	/**
	 * Resolves with the decision to send the request to an upstream or to divide it. Waits first if the router requires it.
	 *
	 * @param onWait - Called each time the request has to wait.
	 * @throws {CarobquayError} 3001 to 3005 if the request is refused; the signal's reason if it aborts first.
	 */
	async awaitDecision(facts: RequestFacts, signal: AbortSignal, onWait: () => void): Promise<Dispatch | DivideDecision> {
		const startedAt = performance.now();
		let decision: Decision | undefined = this.#router.decide(facts, startedAt);
		this.#onDecision(facts, decision, (performance.now() - startedAt) * 1000);
		while (decision !== undefined) {
			if (decision.kind === 'divide') {
				return decision;
			}

			if (decision.kind === 'refuse') {
				throw refusalError(facts, decision);
			}

			if (decision.kind === 'wait') {
				onWait();
				decision = await this.#waitInQueue(facts, signal); // eslint-disable-line no-await-in-loop
				continue;
			}

			if (!decision.isReservationRequired) {
				return {decision, reservationId: undefined};
			}

			const outcome: Dispatch | Decision | undefined = await this.#reserve(facts, decision, signal); // eslint-disable-line no-await-in-loop
			if (outcome !== undefined && 'reservationId' in outcome) {
				return outcome;
			}

			decision = outcome;
		}

		throw new CarobquayError('3005', {message: `request ${facts.requestId} is no longer known to the router`});
	}

	/** Passes an observation to the router and schedules a drain of the queue, except for token observations. */
	observe(observation: Observation): void {
		this.#router.observe(observation, performance.now());
		if (observation.kind !== 'token') {
			this.scheduleDrain();
		}
	}

	/** Schedules a drain of the queue, for use after a change that may let waiting requests proceed. */
	scheduleDrain(): void {
		if (this.#queuedRequests.size === 0 || this.#isDrainScheduled) {
			return;
		}

		this.#isDrainScheduled = true;
		setImmediate(() => {
			this.#isDrainScheduled = false;
			this.#drain();
		});
	}

	async #reserve(facts: RequestFacts, decision: SendDecision, signal: AbortSignal): Promise<Dispatch | Decision | undefined> {
		const reservation = await this.#tryReserve(facts, decision);
		if (signal.aborted) {
			this.#withdrawAndRelease(facts.requestId, decision, reservation);
			throw toCarobquayError(signal.reason, 'no');
		}

		const outcome: ReservationOutcome = reservation ? {kind: 'reserved', expectedWait: reservation.expectedWait} : {kind: 'refused'};
		const next = this.#router.handleReservationOutcome(facts.requestId, outcome, performance.now());
		if (next !== undefined) {
			this.#onDecision(facts, next, 0);
		}

		if (next?.kind === 'send' && next.upstream === decision.upstream && reservation) {
			return {decision: next, reservationId: reservation.reservationId};
		}

		if (reservation) {
			this.#reserver.release(decision.upstream, reservation.reservationId);
		}

		return next;
	}

	async #tryReserve(facts: RequestFacts, decision: SendDecision): Promise<Reservation | undefined> {
		try {
			return await this.#reserver.reserve(decision.upstream, facts, decision);
		} catch {
			return undefined;
		}
	}

	#withdrawAndRelease(requestId: string, decision: SendDecision, reservation: Reservation | undefined): void {
		this.#router.withdraw(requestId);
		if (reservation) {
			this.#reserver.release(decision.upstream, reservation.reservationId);
		}
	}

	async #waitInQueue(facts: RequestFacts, signal: AbortSignal): Promise<SendDecision | RefuseDecision> {
		return new Promise((resolve, reject) => {
			const abort = () => {
				this.#queuedRequests.delete(facts.requestId);
				this.#router.withdraw(facts.requestId);
				reject(toCarobquayError(signal.reason, 'no'));
			};

			if (signal.aborted) {
				abort();
				return;
			}

			signal.addEventListener('abort', abort, {once: true});
			this.#queuedRequests.set(facts.requestId, decision => {
				signal.removeEventListener('abort', abort);
				this.#onDecision(facts, decision, 0);
				resolve(decision);
			});
			this.#resetDrainTimer();
		});
	}

	#drain(): void {
		for (const {requestId, decision} of this.#router.drain(performance.now())) {
			const resolveRequest = this.#queuedRequests.get(requestId);
			this.#queuedRequests.delete(requestId);
			resolveRequest?.(decision);
		}

		this.#resetDrainTimer();
	}

	#resetDrainTimer(): void {
		clearTimeout(this.#drainTimer);
		this.#drainTimer = undefined;
		const now = performance.now();
		const next = this.#router.nextDrainTime(now);
		if (this.#queuedRequests.size > 0) {
			this.#drainTimer = setTimeout(() => {
				this.#drain();
			}, Math.max(minimumDrainDelay, (next ?? now) - now));
		}
	}
}

function refusalError(facts: RequestFacts, refusal: RefuseDecision): CarobquayError {
	return new CarobquayError(refusal.code, {
		message: `request ${facts.requestId} of class "${facts.requestClass}" was refused: ${refusal.reason}`,
		ran: 'no',
		retryAfter: refusal.retryAfter,
	});
}
