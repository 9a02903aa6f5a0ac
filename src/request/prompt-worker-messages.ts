/**
 * Messages between the prompt reader and its worker thread.
 *
 * @module
 */
import type {ParsedChatBody, ChatBodyError} from './chat-body.js';

/** To the worker: a chunk of a body, its end, or that it was given up. */
export type PromptWorkerRequest
	= | {kind: 'chunk'; bodyId: number; chunk: Uint8Array}
		| {kind: 'finish'; bodyId: number}
		| {kind: 'abandon'; bodyId: number};

/** From the worker: the outline of a finished body. */
export type PromptWorkerResponse = {bodyId: number; result: ParsedChatBody | ChatBodyError};
