/**
 * Worker thread that outlines large bodies, which arrive chunk by chunk.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {parentPort} from 'node:worker_threads';
import {parseChatBody} from './chat-body.js';
import type {PromptWorkerRequest, PromptWorkerResponse} from './prompt-worker-messages.js';

const bodies = new Map<number, Uint8Array[]>();

parentPort!.on('message', (message: PromptWorkerRequest) => {
	if (message.kind === 'chunk') {
		const chunks = bodies.get(message.bodyId) ?? [];
		chunks.push(message.chunk);
		bodies.set(message.bodyId, chunks);
		return;
	}

	const chunks = bodies.get(message.bodyId) ?? [];
	bodies.delete(message.bodyId);
	if (message.kind === 'finish') {
		const response: PromptWorkerResponse = {bodyId: message.bodyId, result: parseChatBody(Buffer.concat(chunks))};
		parentPort!.postMessage(response);
	}
});
