/**
 * Worker thread that parses large bodies, which it receives in chunks.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {parentPort} from 'node:worker_threads';
import {parseChatBody} from './chat-body.js';
import type {PromptWorkerRequest, PromptWorkerResponse} from './prompt-worker-messages.js';

const chunksByBodyId = new Map<number, Uint8Array[]>();

parentPort!.on('message', (message: PromptWorkerRequest) => {
	if (message.kind === 'chunk') {
		const chunks = chunksByBodyId.get(message.bodyId) ?? [];
		chunks.push(message.chunk);
		chunksByBodyId.set(message.bodyId, chunks);
		return;
	}

	const chunks = chunksByBodyId.get(message.bodyId) ?? [];
	chunksByBodyId.delete(message.bodyId);
	if (message.kind === 'finish') {
		const response: PromptWorkerResponse = {bodyId: message.bodyId, result: parseChatBody(Buffer.concat(chunks))};
		parentPort!.postMessage(response);
	}
});
