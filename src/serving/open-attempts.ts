/**
 * The engines that are at work on one request: one, and others beside it while it is silent.
 *
 * The first of them to go on answers and the others are stopped, so that silence alone ends no answer.
 *
 * @module
 */
import type {AnswerOutcome, EngineAnswer, EngineAnswerListener} from './engine-answer.js';
import type {ChosenEngine} from './engine-chooser.js';

/** One engine at work. */
export type OpenAttempt = {
	engine: ChosenEngine;
	answer: EngineAnswer;
	/** Whether another engine was asked because this one was silent. */
	isRelieved: boolean;
	/** Whether it was stopped because another engine went on. */
	isSuperseded: boolean;
};

/** What the attempts need of their request. */
export interface AttemptsOwner {
	/** Sends the request to an engine. */
	start(engine: ChosenEngine, listener: EngineAnswerListener): EngineAnswer;
	/** Whether another engine could be asked beside the open ones. */
	mayRelieve(): boolean;
	/** Resolves with another engine; undefined where none takes the request now. */
	chooseRelief(): Promise<ChosenEngine | undefined>;
	/** Counts the engine that is asked beside a silent one. @returns false where the request may not be repeated. */
	takeRelief(silent: OpenAttempt, limit: number, relief: ChosenEngine): boolean;
	/** Choosing or asking another engine failed; the silent one is kept. */
	reliefFailed(error: unknown): void;
	/** An event went to the caller. */
	delivered(event: number | undefined, gap: number, engine: ChosenEngine): void;
	/** An attempt has ended. */
	closed(attempt: OpenAttempt, outcome: AnswerOutcome): void;
}

/** Attempts of one request. */
export class OpenAttempts {
	readonly #owner: AttemptsOwner;
	readonly #open = new Set<OpenAttempt>();
	#isRelieving = false;
	#isOver = false;
	#events = 0;
	#lastOutcome: AnswerOutcome | undefined;
	#settle: ((outcome: AnswerOutcome) => void) | undefined;

	constructor(owner: AttemptsOwner) {
		this.#owner = owner;
	}

	/** Engines that are at work. */
	get engineIds(): string[] {
		return [...this.#open].map(({engine}) => engine.record.id);
	}

	get size(): number {
		return this.#open.size;
	}

	/** Whether any byte may have reached an engine that is at work. */
	get maySend(): boolean {
		return [...this.#open].some(({answer}) => answer.maySend);
	}

	/** Resolves with the whole answer, or with the end of the last attempt where none brought one. */
	async run(engine: ChosenEngine): Promise<AnswerOutcome> {
		return new Promise(resolve => {
			this.#settle = resolve;
			this.#start(engine);
		});
	}

	/** Stops all attempts. */
	abort(): void {
		this.#isOver = true;
		for (const {answer} of this.#open) {
			answer.abort();
		}
	}

	#start(engine: ChosenEngine): void {
		const attempt: OpenAttempt = {
			engine,
			isRelieved: false,
			isSuperseded: false,
			answer: this.#owner.start(engine, {
				silent: limit => {
					void this.#relieve(attempt, limit);
				},
				event: (event, gap) => {
					this.#delivered(event, gap, attempt);
				},
				ended: outcome => {
					this.#closed(attempt, outcome);
				},
			}),
		};
		this.#open.add(attempt);
	}

	/** Asks another engine beside the newest one where that is silent and one would take the request now. */
	async #relieve(silent: OpenAttempt, limit: number): Promise<void> {
		if (this.#isRelieving || [...this.#open].at(-1) !== silent || !this.#owner.mayRelieve()) {
			return;
		}

		const eventsBefore = this.#events;
		let relief: ChosenEngine | undefined;
		this.#isRelieving = true;
		try {
			relief = await this.#owner.chooseRelief();
			if (relief && !this.#isOver && this.#events === eventsBefore && this.#owner.takeRelief(silent, limit, relief)) {
				this.#start(relief);
				silent.isRelieved = true;
				return;
			}
		} catch (error) {
			this.#owner.reliefFailed(error);
		} finally {
			this.#isRelieving = false;
		}

		relief?.release();
		if (this.#open.size === 0 && this.#lastOutcome) {
			this.#settle?.(this.#lastOutcome);
		}
	}

	#delivered(event: number | undefined, gap: number, by: OpenAttempt): void {
		this.#events += 1;
		this.#owner.delivered(event, gap, by.engine);
		for (const other of this.#open) {
			if (other !== by) {
				other.isSuperseded = true;
				other.answer.abort();
			}
		}
	}

	#closed(attempt: OpenAttempt, outcome: AnswerOutcome): void {
		this.#open.delete(attempt);
		attempt.engine.release();
		this.#owner.closed(attempt, outcome);
		this.#lastOutcome = outcome;
		if (this.#isOver || outcome.kind === 'complete' || (this.#open.size === 0 && !this.#isRelieving)) {
			this.#settle?.(outcome);
		}
	}
}
