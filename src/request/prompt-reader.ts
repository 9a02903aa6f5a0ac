/**
 * Summarizes prompts: small bodies at once, large ones in a worker thread while they arrive.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {Worker} from 'node:worker_threads';
import {CarobquayError} from '../errors/errors.js';
import {promptWorkerCode} from './generated/prompt-worker-code.js';
import {summarizeOutline, summarizePrompt, type PromptSummary} from './prompt.js';
import type {PromptWorkerRequest, PromptWorkerResponse} from './prompt-worker-messages.js';

/** Bodies up to this size in bytes are read on the event loop. */
const largestInlineBody = 65_536;

/** One body that is arriving. */
export class PromptReading {
	readonly #reader: PromptReader;
	#chunks: Uint8Array[] = [];
	#bytes = 0;
	#workerBody: number | undefined;

	constructor(reader: PromptReader) {
		this.#reader = reader;
	}

	push(chunk: Uint8Array): void {
		this.#bytes += chunk.byteLength;
		if (this.#workerBody !== undefined) {
			this.#reader.post({kind: 'chunk', body: this.#workerBody, chunk});
			return;
		}

		this.#chunks.push(chunk);
		if (this.#bytes > largestInlineBody) {
			this.#handOver();
		}
	}

	/**
	 * Ends the body.
	 *
	 * @throws {CarobquayError} 1001 or 1002 where the body cannot be read.
	 */
	async finish(): Promise<PromptSummary> {
		if (this.#workerBody === undefined) {
			return summarizePrompt(this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks));
		}

		return this.#reader.finish(this.#workerBody);
	}

	/** Gives the body up, where its caller has left. */
	abandon(): void {
		if (this.#workerBody !== undefined) {
			this.#reader.post({kind: 'abandon', body: this.#workerBody});
		}
	}

	#handOver(): void {
		this.#workerBody = this.#reader.nextBody();
		for (const chunk of this.#chunks) {
			this.#reader.post({kind: 'chunk', body: this.#workerBody, chunk});
		}

		this.#chunks = [];
	}
}

type Waiting = {resolve: (summary: PromptSummary) => void; reject: (error: unknown) => void};

/** Owns the worker thread, which starts with the first large body. */
export class PromptReader {
	readonly #waiting = new Map<number, Waiting>();
	#worker: Worker | undefined;
	#lastBody = 0;

	/** Starts reading a body. */
	begin(): PromptReading {
		return new PromptReading(this);
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
	nextBody(): number {
		this.#lastBody += 1;
		return this.#lastBody;
	}

	post(message: PromptWorkerRequest): void {
		this.#worker ??= this.#start();
		this.#worker.postMessage(message);
	}

	async finish(body: number): Promise<PromptSummary> {
		return new Promise((resolve, reject) => {
			this.#waiting.set(body, {resolve, reject});
			this.post({kind: 'finish', body});
		});
	}

	#start(): Worker {
		const worker = new Worker(promptWorkerCode, {eval: true});
		worker.unref();
		worker.on('message', (response: PromptWorkerResponse) => {
			const waiting = this.#waiting.get(response.body);
			this.#waiting.delete(response.body);
			try {
				waiting?.resolve(summarizeOutline(response.outline));
			} catch (error) {
				waiting?.reject(error);
			}
		});
		worker.on('error', error => {
			this.#fail(error);
		});
		worker.on('exit', () => {
			this.#fail(new Error('the worker thread ended'));
		});
		return worker;
	}

	/** Fails the bodies under way; the next large body starts a new worker. */
	#fail(cause: unknown): void {
		this.#worker = undefined;
		const waiting = [...this.#waiting.values()];
		this.#waiting.clear();
		for (const {reject} of waiting) {
			reject(new CarobquayError('5900', {message: 'reading a large body failed', ran: 'no', cause}));
		}
	}
}
