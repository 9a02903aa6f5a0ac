/**
 * Task around the router: holds waiting requests, wakes them, and reserves at engines where the router asks for it.
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

/** The part of the router that the dispatcher drives. */
export interface DecisionSource {
	decide(facts: RequestFacts, now: number): Decision;
	handleReservationOutcome(requestId: string, outcome: ReservationOutcome, now: number): SendDecision | WaitDecision | RefuseDecision | undefined;
	/** Decides about queued requests that need wait no longer. */
	drain(now: number): QueuedRequestDecision[];
	/** Time of the next drain; undefined while nothing waits. */
	nextDrainTime(now: number): number | undefined;
	/** Takes a request out of the queue. */
	withdraw(requestId: string): void;
	observe(observation: Observation, now: number): void;
}

/** Reserves memory at an engine, or releases it. */
export interface Reserver {
	/** @throws {CarobquayError} where the engine has no room or does not answer. */
	reserve(upstream: string, facts: RequestFacts, decision: SendDecision): Promise<Reservation>;
	release(upstream: string, reservationId: string): void;
}

/** Told of every decision, for log lines and metrics. */
export type DecisionListener = (facts: RequestFacts, decision: Decision, microseconds: number) => void;

/** What a dispatcher works with. */
export type DispatcherOptions = {
	source: DecisionSource;
	reserver: Reserver;
	/** @default does nothing */
	listener?: DecisionListener;
};

/** A send with the reservation to use, if one was made. */
export type Dispatch = {decision: SendDecision; reservationId: string | undefined};

type Queued = (decision: SendDecision | RefuseDecision) => void;

/** Shortest time in milliseconds between two looks at the queue that no observation asked for. */
const minimumWake = 5;

/** Asks the router where requests go and keeps those that must wait. */
export class Dispatcher {
	readonly #source: DecisionSource;
	readonly #reserver: Reserver;
	readonly #listener: DecisionListener;
	readonly #queued = new Map<string, Queued>();
	#timer: NodeJS.Timeout | undefined;
	#drainPlanned = false;

	constructor({source, reserver, listener = () => undefined}: DispatcherOptions) {
		this.#source = source;
		this.#reserver = reserver;
		this.#listener = listener;
	}

	/** Requests that wait now. */
	get waiting(): number {
		return this.#queued.size;
	}

	/**
	 * Resolves with the upstream to send to or the plan to divide, waiting where the router says so.
	 *
	 * @param onWait - Called each time the request has to wait.
	 * @throws {CarobquayError} 3001 to 3005 on refusal; the signal's reason where it aborts first.
	 */
	async choose(facts: RequestFacts, signal: AbortSignal, onWait: () => void): Promise<Dispatch | DivideDecision> {
		const startedAt = performance.now();
		let decision: Decision | undefined = this.#source.decide(facts, startedAt);
		this.#listener(facts, decision, (performance.now() - startedAt) * 1000);
		while (decision !== undefined) {
			if (decision.kind === 'divide') {
				return decision;
			}

			if (decision.kind === 'refuse') {
				throw refusalError(facts, decision);
			}

			if (decision.kind === 'wait') {
				onWait();
				decision = await this.#wait(facts, signal); // eslint-disable-line no-await-in-loop
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

	/** Tells the router what happened and looks at the queue soon. */
	observe(observation: Observation): void {
		this.#source.observe(observation, performance.now());
		if (observation.kind !== 'token') {
			this.wake();
		}
	}

	/** Looks at the queue soon, because something that it waits for may have changed. */
	wake(): void {
		if (this.#queued.size === 0 || this.#drainPlanned) {
			return;
		}

		this.#drainPlanned = true;
		setImmediate(() => {
			this.#drainPlanned = false;
			this.#drain();
		});
	}

	async #reserve(facts: RequestFacts, decision: SendDecision, signal: AbortSignal): Promise<Dispatch | Decision | undefined> {
		const reservation = await this.#tryReserve(facts, decision);
		if (signal.aborted) {
			this.#withdraw(facts.requestId, decision, reservation);
			throw toCarobquayError(signal.reason, 'no');
		}

		const outcome: ReservationOutcome = reservation ? {kind: 'reserved', expectedWait: reservation.expectedWait} : {kind: 'refused'};
		const next = this.#source.handleReservationOutcome(facts.requestId, outcome, performance.now());
		if (next !== undefined) {
			this.#listener(facts, next, 0);
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

	#withdraw(requestId: string, decision: SendDecision, reservation: Reservation | undefined): void {
		this.#source.withdraw(requestId);
		if (reservation) {
			this.#reserver.release(decision.upstream, reservation.reservationId);
		}
	}

	async #wait(facts: RequestFacts, signal: AbortSignal): Promise<SendDecision | RefuseDecision> {
		return new Promise((resolve, reject) => {
			const leave = () => {
				this.#queued.delete(facts.requestId);
				this.#source.withdraw(facts.requestId);
				reject(toCarobquayError(signal.reason, 'no'));
			};

			if (signal.aborted) {
				leave();
				return;
			}

			signal.addEventListener('abort', leave, {once: true});
			this.#queued.set(facts.requestId, decision => {
				signal.removeEventListener('abort', leave);
				this.#listener(facts, decision, 0);
				resolve(decision);
			});
			this.#arm();
		});
	}

	#drain(): void {
		for (const {requestId, decision} of this.#source.drain(performance.now())) {
			const settle = this.#queued.get(requestId);
			this.#queued.delete(requestId);
			settle?.(decision);
		}

		this.#arm();
	}

	#arm(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		const now = performance.now();
		const next = this.#source.nextDrainTime(now);
		if (this.#queued.size > 0) {
			this.#timer = setTimeout(() => {
				this.#drain();
			}, Math.max(minimumWake, (next ?? now) - now));
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
