/**
 * Messages between the prompt reader and its worker thread.
 *
 * @module
 */
import type {ParsedChatBody, ChatBodyError} from './chat-body.js';

/** Message to the worker: a chunk of a body, the end of a body, or that a body is discarded. */
export type PromptWorkerRequest
	= | {kind: 'chunk'; bodyId: number; chunk: Uint8Array}
		| {kind: 'finish'; bodyId: number}
		| {kind: 'abandon'; bodyId: number};

/** Message from the worker: a parsed body, or the reason why it cannot be parsed. */
export type PromptWorkerResponse = {bodyId: number; result: ParsedChatBody | ChatBodyError};
