/**
 * Interface of the receivers of a prompt's answer.
 *
 * @module
 */
import type {EndReason, Usage} from '../upstream/engine.js';

/** End reason, token counts and upstream of a complete answer. */
export type AnswerCompletion = {reason: EndReason; usage: Usage; upstream: string};

/** Receives the answer tokens of one request in order and without gaps. */
export interface AnswerSink {
	/** Whether the caller receives tokens before the answer is complete; if not, an incomplete answer can be restarted. */
	readonly isStreamed: boolean;
	/** Writes the next token. A returned promise resolves when the caller can receive more (backpressure). */
	writeToken(text: string): Promise<void> | undefined;
	/** Discards the tokens written so far; called only if `isStreamed` is false. */
	restart(): void;
	/** Completes the answer after its last token. */
	complete(completion: AnswerCompletion): Promise<void>;
}
