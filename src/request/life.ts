/**
 * Life of a request: its states, its attempts and what may be said about whether it ran.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {CarobquayError} from '../errors/errors.js';
import type {ExecutionStatus} from '../errors/catalogue.js';

/** States of a request. */
export type RequestState = 'received' | 'admitted' | 'refused' | 'waiting' | 'claimed' | 'sent' | 'streaming' | 'ended';

/** Allowed transitions. */
const transitions: Readonly<Record<RequestState, readonly RequestState[]>> = {
	received: ['claimed', 'admitted', 'refused'],
	claimed: ['admitted', 'refused'],
	admitted: ['waiting', 'sent', 'ended'],
	refused: [],
	waiting: ['sent', 'ended'],
	sent: ['streaming', 'waiting', 'ended'],
	streaming: ['sent', 'waiting', 'ended'],
	ended: [],
};

/** How a request ended. */
export type RequestOutcome = 'answered' | 'failed' | 'caller-left';

/** What is fixed about a request when it arrives. */
export type RequestTerms = {
	requestId: string;
	customer: string;
	requestClass: string;
	/** Monotonic time in milliseconds at which the caller gives up. */
	deadlineAt: number;
	nonIdempotent: boolean;
	idempotencyKey: string | undefined;
};

/** One request from its arrival to its end. */
export class RequestLife {
	readonly terms: RequestTerms;
	readonly #listener: (from: RequestState, to: RequestState) => void;
	#state: RequestState = 'received';
	#attempt = 0;
	#mayHaveRun = false;
	/** Whether attempts before the current one may have run. */
	#mayHaveRunBefore = false;
	#knownToHaveRun = false;
	#nextOffset = 0;

	/** @param listener - Told of each transition, for log lines and metrics. */
	constructor(terms: RequestTerms, listener: (from: RequestState, to: RequestState) => void = () => undefined) {
		this.terms = terms;
		this.#listener = listener;
	}

	get state(): RequestState {
		return this.#state;
	}

	/** Number of the current attempt, from 1; 0 before the first. */
	get attempt(): number {
		return this.#attempt;
	}

	/** Answer tokens that were accepted for delivery. */
	get nextOffset(): number {
		return this.#nextOffset;
	}

	/** Time in milliseconds until the deadline; never negative. */
	get remaining(): number {
		return Math.max(0, this.terms.deadlineAt - performance.now());
	}

	/** Whether the request ran, as far as this instance knows. */
	get ran(): ExecutionStatus {
		if (this.#knownToHaveRun) {
			return 'yes';
		}

		return this.#mayHaveRun ? 'unknown' : 'no';
	}

	/** Whether another attempt may be sent: a non-idempotent request only while it cannot have run. */
	get mayAttempt(): boolean {
		return this.remaining > 0 && !(this.terms.nonIdempotent && this.ran !== 'no');
	}

	/** Admits the request; has no effect on one admitted before. */
	admit(): void {
		if (this.#state === 'received' || this.#state === 'claimed') {
			this.#moveTo('admitted');
		}
	}

	wait(): void {
		if (this.#state !== 'waiting') {
			this.#moveTo('waiting');
		}
	}

	/** Records that this instance holds the request's claim; it is not admitted yet. */
	claim(): void {
		this.#moveTo('claimed');
	}

	/**
	 * Starts an attempt; from here on bytes may reach an upstream.
	 *
	 * @returns the number of the attempt.
	 * @throws {CarobquayError} 4008 where a non-idempotent request may already have run.
	 */
	beginAttempt(): number {
		if (!this.mayAttempt) {
			throw new CarobquayError(this.remaining > 0 ? '4008' : '4001', {
				message: `request ${this.terms.requestId} may not be sent again after attempt ${this.#attempt}`, ran: this.ran,
			});
		}

		this.#moveTo('sent');
		this.#attempt += 1;
		this.#mayHaveRunBefore = this.#mayHaveRun;
		this.#mayHaveRun = true;
		return this.#attempt;
	}

	/** Records that the attempt just begun never reached an upstream, or was refused by it as not run. */
	attemptDidNotRun(): void {
		this.#mayHaveRun = this.#mayHaveRunBefore;
	}

	/** Records the first sign that an upstream runs the request. */
	beginStreaming(): void {
		this.#knownToHaveRun = true;
		if (this.#state !== 'streaming') {
			this.#moveTo('streaming');
		}
	}

	/** Goes on with the same attempt on a new connection. */
	resume(): void {
		this.#moveTo('sent');
	}

	/**
	 * Checks the offset of an answer token.
	 *
	 * @returns true where it is the next one, false where it was delivered before.
	 * @throws {CarobquayError} 4003 where tokens are missing before it.
	 */
	acceptToken(offset: number): boolean {
		if (offset > this.#nextOffset) {
			throw new CarobquayError('4003', {
				message: `answer of request ${this.terms.requestId} skips from token ${this.#nextOffset} to ${offset}`, ran: 'yes',
			});
		}

		if (offset < this.#nextOffset) {
			return false;
		}

		this.#nextOffset += 1;
		return true;
	}

	/** Starts the answer over, where none of it has reached the caller. */
	restartAnswer(): void {
		this.#nextOffset = 0;
	}

	/** Ends a request that gets the answer of an earlier one with the same idempotency key. */
	endWithKeptAnswer(): void {
		this.#knownToHaveRun = true;
		this.admit();
		this.end();
	}

	/** Ends the request; one that was never admitted ends as refused. One that ended before stays so. */
	end(): void {
		if (this.#state !== 'ended' && this.#state !== 'refused') {
			this.#moveTo(this.#state === 'received' || this.#state === 'claimed' ? 'refused' : 'ended');
		}
	}

	#moveTo(state: RequestState): void {
		if (!transitions[this.#state].includes(state)) {
			throw new CarobquayError('5900', {
				message: `request ${this.terms.requestId} cannot go from ${this.#state} to ${state}`, ran: this.ran,
			});
		}

		const from = this.#state;
		this.#state = state;
		this.#listener(from, state);
	}
}
