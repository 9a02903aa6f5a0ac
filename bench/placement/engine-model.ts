/**
 * An engine as the platform describes it: it reads and writes in passes that every request in it waits for.
 *
 * @module
 */
import type {EngineProfile} from '../../src/serving/model.js';
import type {EventQueue} from '../policy/event-queue.js';

/** One request as its engines see it. */
export type ModelRequest = {
	id: number;
	/** Time in milliseconds that each of its engines reads. */
	reading: number;
	/** Tokens of its prompt that each of its engines reads. */
	tokens: number;
	/** Engines that have not read their part. */
	unread: number;
	context: number;
	tokensLeft: number;
	isCancelled: boolean;
	/** Told of each event; the last one ends the request. */
	onEvent: (isLast: boolean) => void;
};

type Part = {request: ModelRequest; readingLeft: number; writes: boolean};

/** One engine under a virtual clock. */
export class EngineModel {
	readonly #queue: EventQueue;
	readonly #cost: EngineProfile;
	readonly #pace: () => number;
	#parts: Part[] = [];
	/** Requests that wait for one of the engine's places. */
	#waiting: Part[] = [];
	#writers: ModelRequest[] = [];
	#isBusy = false;

	/** @param pace - Factor on all times. */
	constructor(queue: EventQueue, cost: EngineProfile, pace: () => number) {
		this.#queue = queue;
		this.#cost = cost;
		this.#pace = pace;
	}

	/** Takes a request, or a part of its reading. @returns false where the engine is full. */
	add(request: ModelRequest, writes: boolean): boolean {
		const part = {request, readingLeft: request.reading, writes};
		if (writes && this.#places <= 0) {
			if (this.#waiting.length >= this.#cost.slots * queueFactor) {
				return false;
			}

			this.#waiting.push(part);
			return true;
		}

		// Parts of divided prompts go ahead of other reading.
		if (request.unread > 1) {
			this.#parts.unshift(part);
		} else {
			this.#parts.push(part);
		}

		this.#begin();
		return true;
	}

	/** Places that are free for requests that write. */
	get #places(): number {
		return this.#cost.slots - this.#writers.length - this.#parts.filter(({writes}) => writes).length;
	}

	#begin(): void {
		if (this.#isBusy) {
			return;
		}

		this.#parts = this.#parts.filter(({request}) => !request.isCancelled);
		this.#writers = this.#writers.filter(({isCancelled}) => !isCancelled);
		this.#waiting = this.#waiting.filter(({request}) => !request.isCancelled);
		this.#parts.push(...this.#waiting.splice(0, Math.max(0, this.#places)));
		const reading = this.#parts.filter(({readingLeft}) => readingLeft > 0);
		if (reading.length === 0 && this.#writers.length === 0) {
			return;
		}

		this.#isBusy = true;
		const {baseStepTime: step, stepTimePerRequest: stepPerRequest, stepTimePerThousandTokens: stepPerThousandTokens, stepsPerIteration: stride} = this.#cost;
		const steps = this.#writers.length > 0 ? stride : 1;
		const context = this.#writers.reduce((sum, writer) => sum + writer.context, 0);
		const writing = steps * (step + (stepPerRequest * this.#writers.length) + (stepPerThousandTokens * context / 1000));
		const read = this.#read(reading, steps);
		const writers = this.#writers;
		this.#queue.after((writing + read) * this.#pace(), () => {
			this.#end(writers, steps);
		});
	}

	/** Reads as many tokens as the steps of a pass allow. @returns the time in milliseconds. */
	#read(parts: Part[], steps: number): number {
		let tokens = steps * chunk;
		let time = 0;
		for (const part of parts) {
			if (tokens <= 0) {
				break;
			}

			const rate = part.request.reading / part.request.tokens;
			const taken = Math.min(part.readingLeft, tokens * rate);
			part.readingLeft -= taken;
			tokens -= taken / rate;
			time += taken;
		}

		return time;
	}

	#end(writers: ModelRequest[], steps: number): void {
		this.#isBusy = false;
		for (const part of this.#parts.filter(({readingLeft}) => readingLeft <= 1e-6)) {
			part.request.unread -= 1;
			this.#parts = this.#parts.filter(other => other !== part);
			if (part.writes) {
				this.#writers.push(part.request);
			}
		}

		for (const writer of writers) {
			if (!writer.isCancelled && writer.unread <= 0) {
				writer.tokensLeft -= steps;
				writer.onEvent(writer.tokensLeft <= 0);
			}
		}

		this.#writers = this.#writers.filter(({tokensLeft}) => tokensLeft > 0);
		this.#begin();
	}
}

/** Requests that wait at an engine for each that it runs, by the deployments' files. */
const queueFactor = 2;

/** Prompt tokens read in one step, by the published speeds of the deployments. */
const chunk = 2048;
