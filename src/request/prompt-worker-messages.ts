/**
 * Messages between the prompt reader and its worker thread.
 *
 * @module
 */
import type {BodyOutline, OutlineFault} from './outline.js';

/** To the worker: a chunk of a body, its end, or that it was given up. */
export type PromptWorkerRequest
	= | {kind: 'chunk'; body: number; chunk: Uint8Array}
		| {kind: 'finish'; body: number}
		| {kind: 'abandon'; body: number};

/** From the worker: the outline of a finished body. */
export type PromptWorkerResponse = {body: number; outline: BodyOutline | OutlineFault};
