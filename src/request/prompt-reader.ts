/**
 * Summarizes prompts: small bodies on the event loop, large bodies in a worker thread that receives them chunk by chunk.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {Worker} from 'node:worker_threads';
import {CarobquayError} from '../errors/errors.js';
import {promptWorkerCode} from './generated/prompt-worker-code.js';
import {summarizeParsedBody, summarizePrompt, type PromptSummary} from './prompt.js';
import type {PromptWorkerRequest, PromptWorkerResponse} from './prompt-worker-messages.js';

/** Maximum size in bytes of a body that is parsed on the event loop. */
const maximumInlineBodyBytes = 65_536;

/** A prompt whose body is being received. */
export class IncomingPrompt {
	readonly #reader: PromptReader;
	#chunks: Uint8Array[] = [];
	#bytes = 0;
	#workerBodyId: number | undefined;

	constructor(reader: PromptReader) {
		this.#reader = reader;
	}

	push(chunk: Uint8Array): void {
		this.#bytes += chunk.byteLength;
		if (this.#workerBodyId !== undefined) {
			this.#reader.post({kind: 'chunk', bodyId: this.#workerBodyId, chunk});
			return;
		}

		this.#chunks.push(chunk);
		if (this.#bytes > maximumInlineBodyBytes) {
			this.#moveToWorker();
		}
	}

	/**
	 * Marks the body as complete and summarizes it.
	 *
	 * @throws {CarobquayError} 1001 or 1002 if the body is invalid, 5900 if the worker thread fails.
	 */
	async finish(): Promise<PromptSummary> {
		if (this.#workerBodyId === undefined) {
			return summarizePrompt(this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks));
		}

		return this.#reader.finish(this.#workerBodyId);
	}

	/** Discards the body, for example after its caller has disconnected. */
	abandon(): void {
		if (this.#workerBodyId !== undefined) {
			this.#reader.post({kind: 'abandon', bodyId: this.#workerBodyId});
		}
	}

	#moveToWorker(): void {
		this.#workerBodyId = this.#reader.openBody();
		for (const chunk of this.#chunks) {
			this.#reader.post({kind: 'chunk', bodyId: this.#workerBodyId, chunk});
		}

		this.#chunks = [];
	}
}

type PendingBody = {resolve: (summary: PromptSummary) => void; reject: (error: unknown) => void};

/** Creates and summarizes incoming prompts. Owns the worker thread, which is started by the first large body. */
export class PromptReader {
	readonly #pending = new Map<number, PendingBody>();
	/** Bodies that the worker thread is receiving. */
	readonly #openBodies = new Set<number>();
	#worker: Worker | undefined;
	#lastBodyId = 0;

	/** Returns a new prompt without any chunks. */
	begin(): IncomingPrompt {
		return new IncomingPrompt(this);
	}

	/** Summarizes a body that has been received completely. */
	async summarize(chunks: readonly Uint8Array[]): Promise<PromptSummary> {
		const prompt = this.begin();
		for (const chunk of chunks) {
			prompt.push(chunk);
		}

		return prompt.finish();
	}

	async close(): Promise<void> {
		await this.#worker?.terminate();
	}

	/** Returns an id for a new body in the worker thread. */
	openBody(): number {
		this.#lastBodyId += 1;
		this.#openBodies.add(this.#lastBodyId);
		return this.#lastBodyId;
	}

	/** Sends a message about a body to the worker thread, unless that thread has died and the body with it. */
	post(message: PromptWorkerRequest): void {
		if (this.#openBodies.has(message.bodyId)) {
			this.#worker ??= this.#startWorker();
			this.#worker.postMessage(message);
		}

		if (message.kind !== 'chunk') {
			this.#openBodies.delete(message.bodyId);
		}
	}

	/** @throws {CarobquayError} 5900 if the worker thread has died since the body was opened. */
	async finish(bodyId: number): Promise<PromptSummary> {
		if (!this.#openBodies.has(bodyId)) {
			throw workerFailure(undefined);
		}

		return new Promise((resolve, reject) => {
			this.#pending.set(bodyId, {resolve, reject});
			this.post({kind: 'finish', bodyId});
		});
	}

	#startWorker(): Worker {
		const worker = new Worker(promptWorkerCode, {eval: true});
		worker.unref();
		worker.on('message', (response: PromptWorkerResponse) => {
			const pending = this.#pending.get(response.bodyId);
			this.#pending.delete(response.bodyId);
			try {
				pending?.resolve(summarizeParsedBody(response.result));
			} catch (error) {
				pending?.reject(error);
			}
		});
		worker.on('error', error => {
			this.#failPending(error);
		});
		worker.on('exit', () => {
			this.#failPending(new Error('the prompt worker thread exited'));
		});
		return worker;
	}

	/** Rejects all pending bodies; the next large body starts a new worker thread. */
	#failPending(cause: unknown): void {
		this.#worker = undefined;
		this.#openBodies.clear();
		const pending = [...this.#pending.values()];
		this.#pending.clear();
		for (const {reject} of pending) {
			reject(workerFailure(cause));
		}
	}
}

function workerFailure(cause: unknown): CarobquayError {
	return new CarobquayError('5900', {message: 'the worker thread for large request bodies failed', ran: 'no', cause});
}
