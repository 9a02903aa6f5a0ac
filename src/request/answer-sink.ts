/**
 * Where a prompt's answer goes.
 *
 * @module
 */
import type {EndReason, Usage} from '../upstream/engine.js';

/** How a whole answer ended. */
export type AnswerCompletion = {reason: EndReason; usage: Usage; upstream: string};

/** Receives the answer of one request, in order and without gaps. */
export interface AnswerSink {
	/** Whether tokens reach the caller before the end; otherwise an unfinished answer can start over. */
	readonly isStreamed: boolean;
	/** Takes the next token; a promise resolves once the caller has room for more. */
	writeToken(text: string): Promise<void> | undefined;
	/** Drops the tokens taken so far; called only where `streams` is false. */
	restart(): void;
	/** Takes the end of a whole answer. */
	complete(completion: AnswerCompletion): Promise<void>;
}
