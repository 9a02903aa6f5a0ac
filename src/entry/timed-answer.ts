/**
 * Tells when the first token of an answer comes.
 *
 * @module
 */
import type {CarobquayError} from '../errors/errors.js';
import type {AnswerCompletion} from '../request/answer-sink.js';
import type {ChatAnswer} from './chat-answer.js';

/** Passes an answer on and reports its first token, once. */
export class TimedAnswer implements ChatAnswer {
	readonly #answer: ChatAnswer;
	#onFirstToken: (() => void) | undefined;

	constructor(answer: ChatAnswer, onFirstToken: () => void) {
		this.#answer = answer;
		this.#onFirstToken = onFirstToken;
	}

	get isStreamed(): boolean {
		return this.#answer.isStreamed;
	}

	writeToken(text: string): Promise<void> | undefined {
		this.#onFirstToken?.();
		this.#onFirstToken = undefined;
		return this.#answer.writeToken(text);
	}

	restart(): void {
		this.#answer.restart();
	}

	async complete(completion: AnswerCompletion): Promise<void> {
		await this.#answer.complete(completion);
	}

	async fail(error: CarobquayError): Promise<void> {
		await this.#answer.fail(error);
	}
}
