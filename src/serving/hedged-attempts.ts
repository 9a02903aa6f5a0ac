/**
 * Hedged attempts of one request: while the engine of the newest attempt is idle, another engine gets the request too.
 *
 * The first engine that sends an event continues the response and the other attempts are aborted, so that no response
 * ends only because an engine is idle. On routes whose answers cannot go on at another engine, a comment suffices.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {AttemptOutcome, EngineAttempt, EngineAttemptListener} from './engine-attempt.js';
import type {ChosenEngine} from './engine-chooser.js';

/** One attempt that has not ended. */
export type InFlightAttempt = {
	engine: ChosenEngine;
	attempt: EngineAttempt;
	/** Monotonic time in milliseconds at which the request was sent. */
	sentAt: number;
	/** Whether the head of a response of the engine was received. */
	hasResponse: boolean;
	/** Events that the engine has sent for this attempt. */
	eventCount: number;
	/** Whether the request was also sent to another engine because this one was idle. */
	isHedged: boolean;
	/** Whether the attempt was aborted because another engine sent an event. */
	isSuperseded: boolean;
};

/** Decisions and notifications that the attempts leave to their request. */
export interface HedgedAttemptsHandlers {
	/** Sends the request to an engine. */
	startAttempt(engine: ChosenEngine, listener: EngineAttemptListener): EngineAttempt;
	/** Whether the request may be sent to another engine while attempts are in flight. */
	canHedge(): boolean;
	/** Resolves with another engine; undefined if none can accept the request now. */
	chooseHedgeEngine(): Promise<ChosenEngine | undefined>;
	/**
	 * Counts a hedge against the retry budget.
	 *
	 * @param idleAttempt - Attempt whose engine is idle.
	 * @param timeout - Time in milliseconds for which it was idle.
	 * @returns false if the request may not be retried.
	 */
	admitHedge(idleAttempt: InFlightAttempt, timeout: number, hedgeEngine: ChosenEngine): boolean;
	/** Called when another engine could not be chosen or contacted. The idle attempt continues. */
	onHedgeFailure(error: unknown): void;
	/** Whether another engine may go on with the answer from what the caller has of it. */
	canContinueElsewhere(): boolean;
	/** Called when an event was forwarded to the caller. */
	onEvent(gap: number, inFlight: InFlightAttempt): void;
	/** Called when an attempt has ended. */
	onAttemptEnd(inFlight: InFlightAttempt, outcome: AttemptOutcome): void;
}

/** Attempts of one request that are in flight at the same time. */
export class HedgedAttempts {
	readonly #handlers: HedgedAttemptsHandlers;
	readonly #inFlightAttempts = new Set<InFlightAttempt>();
	#isHedging = false;
	#isAborted = false;
	#eventCount = 0;
	#lastOutcome: AttemptOutcome | undefined;
	#resolve: ((outcome: AttemptOutcome) => void) | undefined;

	constructor(handlers: HedgedAttemptsHandlers) {
		this.#handlers = handlers;
	}

	/** Engines with an attempt in flight. */
	get engineIds(): string[] {
		return [...this.#inFlightAttempts].map(({engine}) => engine.record.id);
	}

	get size(): number {
		return this.#inFlightAttempts.size;
	}

	/** Number of attempts in flight of which no byte has reached an engine. */
	get unconnectedCount(): number {
		return [...this.#inFlightAttempts].filter(({attempt}) => !attempt.hasConnected).length;
	}

	/** Sends the request to an engine. Resolves with the complete response, or with the last attempt's outcome if all fail. */
	async run(engine: ChosenEngine): Promise<AttemptOutcome> {
		return new Promise(resolve => {
			this.#resolve = resolve;
			this.#startAttempt(engine);
		});
	}

	/** Aborts all attempts. */
	abort(): void {
		this.#isAborted = true;
		for (const {attempt} of this.#inFlightAttempts) {
			attempt.abort();
		}
	}

	#startAttempt(engine: ChosenEngine): void {
		const inFlight: InFlightAttempt = {
			engine,
			sentAt: performance.now(),
			hasResponse: false,
			eventCount: 0,
			isHedged: false,
			isSuperseded: false,
			attempt: this.#handlers.startAttempt(engine, {
				onIdle: timeout => {
					void this.#hedge(inFlight, timeout);
				},
				onResponse(status, headerValues) {
					inFlight.hasResponse = true;
					engine.recorder.recordStatement(status, headerValues, inFlight.attempt.relay);
				},
				onAnswerStart: () => {
					if (!this.#handlers.canContinueElsewhere()) {
						this.#supersedeOthers(inFlight);
					}
				},
				onEvent: gap => {
					this.#onEvent(gap, inFlight);
				},
				onEnd: outcome => {
					this.#onAttemptEnd(inFlight, outcome);
				},
			}),
		};
		this.#inFlightAttempts.add(inFlight);
	}

	/** Sends the request to another engine as well, if the idle attempt is the newest one and an engine can accept the request now. */
	async #hedge(idleAttempt: InFlightAttempt, timeout: number): Promise<void> {
		if (this.#isHedging || [...this.#inFlightAttempts].at(-1) !== idleAttempt || !this.#handlers.canHedge()) {
			return;
		}

		const previousEventCount = this.#eventCount;
		let hedgeEngine: ChosenEngine | undefined;
		this.#isHedging = true;
		try {
			hedgeEngine = await this.#handlers.chooseHedgeEngine();
			if (hedgeEngine && !this.#isAborted && this.#eventCount === previousEventCount && this.#handlers.canContinueElsewhere() && this.#handlers.admitHedge(idleAttempt, timeout, hedgeEngine)) {
				this.#lastOutcome = undefined;
				this.#startAttempt(hedgeEngine);
				idleAttempt.isHedged = true;
				return;
			}
		} catch (error) {
			this.#handlers.onHedgeFailure(error);
		} finally {
			this.#isHedging = false;
		}

		hedgeEngine?.release();
		if (this.#inFlightAttempts.size === 0 && this.#lastOutcome) {
			this.#resolve?.(this.#lastOutcome);
		}
	}

	#onEvent(gap: number, inFlight: InFlightAttempt): void {
		this.#eventCount += 1;
		inFlight.eventCount += 1;
		this.#handlers.onEvent(gap, inFlight);
		this.#supersedeOthers(inFlight);
	}

	#supersedeOthers(inFlight: InFlightAttempt): void {
		for (const other of this.#inFlightAttempts) {
			if (other !== inFlight) {
				other.isSuperseded = true;
				other.attempt.abort();
			}
		}
	}

	#onAttemptEnd(inFlight: InFlightAttempt, outcome: AttemptOutcome): void {
		this.#inFlightAttempts.delete(inFlight);
		inFlight.engine.release();
		this.#handlers.onAttemptEnd(inFlight, outcome);
		// The response in an outcome takes memory for as long as it is kept.
		this.#lastOutcome = this.#isHedging ? outcome : undefined;
		if (this.#isAborted || outcome.kind === 'complete' || (this.#inFlightAttempts.size === 0 && !this.#isHedging)) {
			this.#resolve?.(outcome);
		}
	}
}
