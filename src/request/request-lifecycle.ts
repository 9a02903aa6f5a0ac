/**
 * Lifecycle of a request: its states, its attempts, and whether an upstream may have executed it.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {CarobquayError} from '../errors/errors.js';
import type {ExecutionStatus} from '../errors/catalogue.js';

export type RequestState = 'received' | 'admitted' | 'refused' | 'waiting' | 'claimed' | 'sent' | 'streaming' | 'ended';

const allowedTransitions: Readonly<Record<RequestState, readonly RequestState[]>> = {
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

/** Properties of a request that are known when it arrives and do not change. */
export type RequestMetadata = {
	requestId: string;
	customer: string;
	requestClass: string;
	/** Deadline of the caller, as a monotonic time in milliseconds. */
	deadlineAt: number;
	nonIdempotent: boolean;
	idempotencyKey: string | undefined;
};

/** State machine of one request, from its arrival to its end. */
export class RequestLifecycle {
	readonly metadata: RequestMetadata;
	readonly #onTransition: (from: RequestState, to: RequestState) => void;
	#state: RequestState = 'received';
	#attempt = 0;
	/** Attempts that may have reached an upstream; several may be in flight at once. */
	#possibleRunCount = 0;
	#isKnownToHaveRun = false;
	#nextOffset = 0;

	/** @param onTransition - Called after each transition, for log lines and metrics. */
	constructor(metadata: RequestMetadata, onTransition: (from: RequestState, to: RequestState) => void = () => undefined) {
		this.metadata = metadata;
		this.#onTransition = onTransition;
	}

	get state(): RequestState {
		return this.#state;
	}

	/** Number of the current attempt, counted from 1; 0 before the first attempt. */
	get attempt(): number {
		return this.#attempt;
	}

	/** Offset of the next answer token, which equals the number of tokens accepted for delivery. */
	get nextOffset(): number {
		return this.#nextOffset;
	}

	/** Time in milliseconds until the deadline; never negative. */
	get timeRemaining(): number {
		return Math.max(0, this.metadata.deadlineAt - performance.now());
	}

	/** Whether an upstream executed the request, as far as this instance knows. */
	get ran(): ExecutionStatus {
		if (this.#isKnownToHaveRun) {
			return 'yes';
		}

		return this.#possibleRunCount > 0 ? 'unknown' : 'no';
	}

	/** Whether another attempt may be sent before the deadline; for a non-idempotent request, only while it cannot have run. */
	get canBeginAttempt(): boolean {
		return this.timeRemaining > 0 && !(this.metadata.nonIdempotent && this.ran !== 'no');
	}

	/** Admits the request. Has no effect if it was admitted before. */
	admit(): void {
		if (this.#state === 'received' || this.#state === 'claimed') {
			this.#transitionTo('admitted');
		}
	}

	markWaiting(): void {
		if (this.#state !== 'waiting') {
			this.#transitionTo('waiting');
		}
	}

	/** Records that this instance holds the claim for the request, which is not admitted yet. */
	markClaimed(): void {
		this.#transitionTo('claimed');
	}

	/**
	 * Begins an attempt. From this call on, bytes may reach an upstream.
	 *
	 * @returns the number of the attempt.
	 * @throws {CarobquayError} 4001 if the deadline has passed, 4008 if the request is non-idempotent and may already have run.
	 */
	beginAttempt(): number {
		if (!this.canBeginAttempt) {
			throw new CarobquayError(this.timeRemaining > 0 ? '4008' : '4001', {
				message: `request ${this.metadata.requestId} may not be sent again after attempt ${this.#attempt}`, ran: this.ran,
			});
		}

		this.#transitionTo('sent');
		this.#attempt += 1;
		this.#possibleRunCount += 1;
		return this.#attempt;
	}

	/** Records, once for each such attempt, that it never reached an upstream, or that the upstream refused it without running it. */
	markAttemptNotRun(): void {
		this.#possibleRunCount = Math.max(0, this.#possibleRunCount - 1);
	}

	/** Records that an upstream is known to run the request. */
	beginStreaming(): void {
		this.#isKnownToHaveRun = true;
		if (this.#state !== 'streaming') {
			this.#transitionTo('streaming');
		}
	}

	/** Continues the current attempt on a new connection. */
	resumeAttempt(): void {
		this.#transitionTo('sent');
	}

	/**
	 * Checks the offset of an answer token.
	 *
	 * @returns true if the token is the next one, false if it was accepted before.
	 * @throws {CarobquayError} 4003 if tokens before it are missing.
	 */
	acceptToken(offset: number): boolean {
		if (offset > this.#nextOffset) {
			throw new CarobquayError('4003', {
				message: `answer of request ${this.metadata.requestId} skips from token ${this.#nextOffset} to ${offset}`, ran: 'yes',
			});
		}

		if (offset < this.#nextOffset) {
			return false;
		}

		this.#nextOffset += 1;
		return true;
	}

	/** Resets the token offset to 0. Only for answers of which nothing has reached the caller. */
	restartAnswer(): void {
		this.#nextOffset = 0;
	}

	/** Ends a request that is answered with the stored answer of an earlier request with the same idempotency key. */
	endWithReplayedAnswer(): void {
		this.#isKnownToHaveRun = true;
		this.admit();
		this.end();
	}

	/** Ends the request; one that was never admitted becomes refused. Has no effect if the request has already ended. */
	end(): void {
		if (this.#state !== 'ended' && this.#state !== 'refused') {
			this.#transitionTo(this.#state === 'received' || this.#state === 'claimed' ? 'refused' : 'ended');
		}
	}

	#transitionTo(state: RequestState): void {
		if (!allowedTransitions[this.#state].includes(state)) {
			throw new CarobquayError('5900', {
				message: `request ${this.metadata.requestId} cannot go from ${this.#state} to ${state}`, ran: this.ran,
			});
		}

		const from = this.#state;
		this.#state = state;
		this.#onTransition(from, state);
	}
}
