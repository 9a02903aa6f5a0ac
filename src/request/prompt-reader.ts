/**
 * Summarizes prompts: small bodies at once, large ones in a worker thread while they arrive.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {Worker} from 'node:worker_threads';
import {CarobquayError} from '../errors/errors.js';
import {promptWorkerCode} from './generated/prompt-worker-code.js';
import {summarizeParsedBody, summarizePrompt, type PromptSummary} from './prompt.js';
import type {PromptWorkerRequest, PromptWorkerResponse} from './prompt-worker-messages.js';

/** Bodies up to this size in bytes are read on the event loop. */
const maximumInlineBodyBytes = 65_536;

/** One body that is arriving. */
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
	 * Ends the body.
	 *
	 * @throws {CarobquayError} 1001 or 1002 where the body cannot be read.
	 */
	async finish(): Promise<PromptSummary> {
		if (this.#workerBodyId === undefined) {
			return summarizePrompt(this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks));
		}

		return this.#reader.finish(this.#workerBodyId);
	}

	/** Gives the body up, where its caller has left. */
	abandon(): void {
		if (this.#workerBodyId !== undefined) {
			this.#reader.post({kind: 'abandon', bodyId: this.#workerBodyId});
		}
	}

	#moveToWorker(): void {
		this.#workerBodyId = this.#reader.nextBodyId();
		for (const chunk of this.#chunks) {
			this.#reader.post({kind: 'chunk', bodyId: this.#workerBodyId, chunk});
		}

		this.#chunks = [];
	}
}

type PendingBody = {resolve: (summary: PromptSummary) => void; reject: (error: unknown) => void};

/** Owns the worker thread, which starts with the first large body. */
export class PromptReader {
	readonly #pending = new Map<number, PendingBody>();
	#worker: Worker | undefined;
	#lastBodyId = 0;

	/** Starts reading a body. */
	begin(): IncomingPrompt {
		return new IncomingPrompt(this);
	}

	/** Summarizes a body that is here as a whole. */
	async summarize(chunks: readonly Uint8Array[]): Promise<PromptSummary> {
		const reading = this.begin();
		for (const chunk of chunks) {
			reading.push(chunk);
		}

		return reading.finish();
	}

	async close(): Promise<void> {
		await this.#worker?.terminate();
	}

	/** Number for a new body in the worker. */
	nextBodyId(): number {
		this.#lastBodyId += 1;
		return this.#lastBodyId;
	}

	post(message: PromptWorkerRequest): void {
		this.#worker ??= this.#startWorker();
		this.#worker.postMessage(message);
	}

	async finish(body: number): Promise<PromptSummary> {
		return new Promise((resolve, reject) => {
			this.#pending.set(body, {resolve, reject});
			this.post({kind: 'finish', bodyId: body});
		});
	}

	#startWorker(): Worker {
		const worker = new Worker(promptWorkerCode, {eval: true});
		worker.unref();
		worker.on('message', (response: PromptWorkerResponse) => {
			const waiting = this.#pending.get(response.bodyId);
			this.#pending.delete(response.bodyId);
			try {
				waiting?.resolve(summarizeParsedBody(response.result));
			} catch (error) {
				waiting?.reject(error);
			}
		});
		worker.on('error', error => {
			this.#failPending(error);
		});
		worker.on('exit', () => {
			this.#failPending(new Error('the worker thread ended'));
		});
		return worker;
	}

	/** Fails the bodies under way; the next large body starts a new worker. */
	#failPending(cause: unknown): void {
		this.#worker = undefined;
		const waiting = [...this.#pending.values()];
		this.#pending.clear();
		for (const {reject} of waiting) {
			reject(new CarobquayError('5900', {message: 'reading a large body failed', ran: 'no', cause}));
		}
	}
}
