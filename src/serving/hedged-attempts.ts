/**
 * The engines that are at work on one request: one, and others beside it while it is silent.
 *
 * The first of them to go on answers and the others are stopped, so that silence alone ends no answer.
 *
 * @module
 */
import type {AttemptOutcome, EngineAttempt, EngineAttemptListener} from './engine-attempt.js';
import type {ChosenEngine} from './engine-chooser.js';

/** One engine at work. */
export type InFlightAttempt = {
	engine: ChosenEngine;
	attempt: EngineAttempt;
	/** Whether another engine was asked because this one was silent. */
	isHedged: boolean;
	/** Whether it was stopped because another engine went on. */
	isSuperseded: boolean;
};

/** What the attempts need of their request. */
export interface HedgedAttemptsHandlers {
	/** Sends the request to an engine. */
	startAttempt(engine: ChosenEngine, listener: EngineAttemptListener): EngineAttempt;
	/** Whether another engine could be asked beside the open ones. */
	canHedge(): boolean;
	/** Resolves with another engine; undefined where none takes the request now. */
	chooseHedgeEngine(): Promise<ChosenEngine | undefined>;
	/** Counts the engine that is asked beside a silent one. @returns false where the request may not be repeated. */
	admitHedge(silent: InFlightAttempt, limit: number, relief: ChosenEngine): boolean;
	/** Choosing or asking another engine failed; the silent one is kept. */
	onHedgeFailure(error: unknown): void;
	/** An event went to the caller. */
	onEvent(event: number | undefined, gap: number, engine: ChosenEngine): void;
	/** An attempt has ended. */
	onAttemptEnd(attempt: InFlightAttempt, outcome: AttemptOutcome): void;
}

/** Attempts of one request. */
export class HedgedAttempts {
	readonly #handlers: HedgedAttemptsHandlers;
	readonly #inFlightAttempts = new Set<InFlightAttempt>();
	#isHedging = false;
	#isAborted = false;
	#eventCount = 0;
	#lastOutcome: AttemptOutcome | undefined;
	#resolve: ((outcome: AttemptOutcome) => void) | undefined;

	constructor(owner: HedgedAttemptsHandlers) {
		this.#handlers = owner;
	}

	/** Engines that are at work. */
	get engineIds(): string[] {
		return [...this.#inFlightAttempts].map(({engine}) => engine.record.id);
	}

	get size(): number {
		return this.#inFlightAttempts.size;
	}

	/** Whether any byte may have reached an engine that is at work. */
	get hasConnected(): boolean {
		return [...this.#inFlightAttempts].some(({attempt: answer}) => answer.hasConnected);
	}

	/** Resolves with the whole answer, or with the end of the last attempt where none brought one. */
	async run(engine: ChosenEngine): Promise<AttemptOutcome> {
		return new Promise(resolve => {
			this.#resolve = resolve;
			this.#startAttempt(engine);
		});
	}

	/** Stops all attempts. */
	abort(): void {
		this.#isAborted = true;
		for (const {attempt: answer} of this.#inFlightAttempts) {
			answer.abort();
		}
	}

	#startAttempt(engine: ChosenEngine): void {
		const attempt: InFlightAttempt = {
			engine,
			isHedged: false,
			isSuperseded: false,
			attempt: this.#handlers.startAttempt(engine, {
				onIdle: limit => {
					void this.#hedge(attempt, limit);
				},
				onEvent: (event, gap) => {
					this.#onEvent(event, gap, attempt);
				},
				onEnd: outcome => {
					this.#onAttemptEnd(attempt, outcome);
				},
			}),
		};
		this.#inFlightAttempts.add(attempt);
	}

	/** Asks another engine beside the newest one where that is silent and one would take the request now. */
	async #hedge(silent: InFlightAttempt, limit: number): Promise<void> {
		if (this.#isHedging || [...this.#inFlightAttempts].at(-1) !== silent || !this.#handlers.canHedge()) {
			return;
		}

		const eventsBefore = this.#eventCount;
		let relief: ChosenEngine | undefined;
		this.#isHedging = true;
		try {
			relief = await this.#handlers.chooseHedgeEngine();
			if (relief && !this.#isAborted && this.#eventCount === eventsBefore && this.#handlers.admitHedge(silent, limit, relief)) {
				this.#startAttempt(relief);
				silent.isHedged = true;
				return;
			}
		} catch (error) {
			this.#handlers.onHedgeFailure(error);
		} finally {
			this.#isHedging = false;
		}

		relief?.release();
		if (this.#inFlightAttempts.size === 0 && this.#lastOutcome) {
			this.#resolve?.(this.#lastOutcome);
		}
	}

	#onEvent(event: number | undefined, gap: number, by: InFlightAttempt): void {
		this.#eventCount += 1;
		this.#handlers.onEvent(event, gap, by.engine);
		for (const other of this.#inFlightAttempts) {
			if (other !== by) {
				other.isSuperseded = true;
				other.attempt.abort();
			}
		}
	}

	#onAttemptEnd(attempt: InFlightAttempt, outcome: AttemptOutcome): void {
		this.#inFlightAttempts.delete(attempt);
		attempt.engine.release();
		this.#handlers.onAttemptEnd(attempt, outcome);
		this.#lastOutcome = outcome;
		if (this.#isAborted || outcome.kind === 'complete' || (this.#inFlightAttempts.size === 0 && !this.#isHedging)) {
			this.#resolve?.(outcome);
		}
	}
}
