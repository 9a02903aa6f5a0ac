/**
 * One modelled engine under the virtual clock.
 *
 * @module
 */
import type {LoadReport} from '../../src/upstream/engine.js';
import {EngineModel} from '../../src/stand-in/engine/engine-model.js';
import type {EngineParameters} from '../../src/stand-in/engine/engine-parameters.js';
import type {ModelRequest, ModelStream} from '../../src/stand-in/engine/model-stream.js';
import {modelName} from './decider.js';
import type {EventQueue} from './event-queue.js';

/** What a stream's owner is told; called at the time the engine produces it. */
export type StreamListener = {
	token: ((stream: ModelStream, isFirst: boolean) => void) | undefined;
	ended: (stream: ModelStream) => void;
	/** The engine died. */
	broken: (() => void) | undefined;
};

/** Prefill that is still to do, by priority, as only the clairvoyant bound may see it. */
export type EngineTruth = {model: EngineModel; alive: boolean; streams: ReadonlyMap<string, ModelStream>};

/** An engine that runs its model's steps one after another. */
export class SimulatedEngine implements EngineTruth {
	readonly name: string;
	readonly failureDomain: string;
	readonly model: EngineModel;
	readonly #events: EventQueue;
	readonly #listeners = new Map<string, StreamListener>();
	readonly #streams = new Map<string, ModelStream>();
	#isBusy = false;
	#isAlive = true;
	#reports = 0;
	#busyTime = 0;
	#stepEndsAt = 0;

	constructor(events: EventQueue, {name, failureDomain, parameters}: {name: string; failureDomain: string; parameters: EngineParameters}) {
		this.#events = events;
		this.name = name;
		this.failureDomain = failureDomain;
		this.model = new EngineModel(parameters);
	}

	get alive(): boolean {
		return this.#isAlive;
	}

	/** Time in milliseconds spent in steps. */
	get busyTime(): number {
		return this.#busyTime;
	}

	/** Time in milliseconds until a new stream's prefill would begin; the model itself has begun its step's work. */
	get expectedWait(): number {
		return Math.max(0, this.#stepEndsAt - this.#events.now) + this.model.expectedWait();
	}

	get streams(): ReadonlyMap<string, ModelStream> {
		return this.#streams;
	}

	/** Starts a stream; false where the engine refuses it. */
	submit(request: ModelRequest, listener: StreamListener): boolean {
		if (this.model.submit(request) !== 'accepted') {
			return false;
		}

		this.#listeners.set(request.streamId, listener);
		this.#streams.set(request.streamId, this.model.stream(request.streamId)!);
		this.#run();
		return true;
	}

	cancel(streamId: string): void {
		this.model.cancel(streamId);
		this.#forget(streamId);
		this.#run();
	}

	/** Dies with all its streams. */
	die(): void {
		this.#isAlive = false;
		for (const listener of this.#listeners.values()) {
			listener.broken?.();
		}

		this.#listeners.clear();
		this.#streams.clear();
	}

	/** Load at this moment. */
	report(age: number): LoadReport {
		return {
			...this.model.load(), sequence: ++this.#reports, incarnation: this.name, age, models: [modelName], role: 'mixed', leaving: false,
		};
	}

	#run(): void {
		if (this.#isBusy || !this.#isAlive) {
			return;
		}

		const result = this.model.step();
		if (!result) {
			return;
		}

		this.#isBusy = true;
		this.#busyTime += result.duration;
		this.#stepEndsAt = this.#events.now + result.duration;
		this.#events.after(result.duration, () => {
			this.#isBusy = false;
			if (!this.#isAlive) {
				return;
			}

			const first = new Set(result.firstTokens);
			for (const stream of result.produced) {
				this.#listeners.get(stream.request.streamId)?.token?.(stream, first.has(stream));
			}

			for (const stream of result.finished) {
				this.#listeners.get(stream.request.streamId)?.ended(stream);
				this.#forget(stream.request.streamId);
			}

			this.#run();
		});
	}

	#forget(streamId: string): void {
		this.#listeners.delete(streamId);
		this.#streams.delete(streamId);
	}
}

