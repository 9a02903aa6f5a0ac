/**
 * Worker thread that outlines large bodies, which arrive chunk by chunk.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {parentPort} from 'node:worker_threads';
import {outlineBody} from './outline.js';
import type {PromptWorkerRequest, PromptWorkerResponse} from './prompt-worker-messages.js';

const bodies = new Map<number, Uint8Array[]>();

parentPort!.on('message', (message: PromptWorkerRequest) => {
	if (message.kind === 'chunk') {
		const chunks = bodies.get(message.body) ?? [];
		chunks.push(message.chunk);
		bodies.set(message.body, chunks);
		return;
	}

	const chunks = bodies.get(message.body) ?? [];
	bodies.delete(message.body);
	if (message.kind === 'finish') {
		const response: PromptWorkerResponse = {body: message.body, outline: outlineBody(Buffer.concat(chunks))};
		parentPort!.postMessage(response);
	}
});
