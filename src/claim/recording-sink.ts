/**
 * Records the answer of a claimed prompt on its way to the caller, and gives a recorded one out again.
 *
 * @module
 */
import type {AnswerSink, AnswerCompletion} from '../request/answer-sink.js';
import type {KeptAnswer} from './kept-answers.js';

/** Passes an answer on and keeps it, also where the caller has left. */
export class RecordingSink implements AnswerSink {
	readonly #sink: AnswerSink;
	readonly #texts: string[] = [];
	#callerLeft = false;
	#completion: AnswerCompletion | undefined;

	constructor(sink: AnswerSink) {
		this.#sink = sink;
	}

	get isStreamed(): boolean {
		return this.#sink.isStreamed;
	}

	/** The whole answer; undefined before its end. */
	get answer(): KeptAnswer | undefined {
		return this.#completion && {kind: 'prompt', text: this.#texts.join(''), completion: this.#completion};
	}

	async writeToken(text: string): Promise<void> {
		this.#texts.push(text);
		await this.#pass(async () => this.#sink.writeToken(text));
	}

	restart(): void {
		this.#texts.length = 0;
		this.#sink.restart();
	}

	async complete(completion: AnswerCompletion): Promise<void> {
		this.#completion = completion;
		await this.#pass(async () => this.#sink.complete(completion));
	}

	/** A caller that left does not end the one attempt: it may ask again for the answer. */
	async #pass(write: () => Promise<void> | undefined): Promise<void> {
		if (this.#callerLeft) {
			return;
		}

		try {
			await write();
		} catch {
			this.#callerLeft = true;
		}
	}
}

/** Gives a kept answer to a caller who asked again. */
export async function replay({text, completion}: Extract<KeptAnswer, {kind: 'prompt'}>, sink: AnswerSink): Promise<void> {
	await sink.writeToken(text);
	await sink.complete(completion);
}
