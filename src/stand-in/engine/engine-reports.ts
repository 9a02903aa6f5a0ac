/**
 * What an engine reports of itself, late and with gaps.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {CacheEvent, CacheEventPage} from '../../upstream/engine.js';
import type {EngineModel} from './engine-model.js';
import type {ModelLoad} from './model-stream.js';

/** How late and how incomplete reports are. */
export type ReportOptions = {
	/**
	 * Age in milliseconds of the load that is reported.
	 * @default 0
	 */
	loadLag?: number;
	/**
	 * Time in milliseconds by which cache events are published late.
	 * @default 0
	 */
	cacheEventLag?: number;
	/**
	 * Every how manieth cache event is lost; 0 for none.
	 * @default 0
	 */
	lostCacheEventInterval?: number;
};

/** Values over time, kept as far back as needed. */
class History<Value> {
	readonly #lag: number;
	readonly #entries: Array<{at: number; value: Value}>;

	/** @param lag - Age in milliseconds of the values that are asked for. */
	constructor(lag: number, first: Value) {
		this.#lag = lag;
		this.#entries = [{at: performance.now(), value: first}];
	}

	record(value: Value): void {
		this.#prune();
		this.#entries.push({at: performance.now(), value});
	}

	/** The value as it was before the lag. */
	get late(): Value {
		this.#prune();
		return this.#entries[0]!.value;
	}

	#prune(): void {
		const time = performance.now() - this.#lag;
		const next = this.#entries.findIndex(entry => entry.at > time);
		const first = next === -1 ? this.#entries.length - 1 : Math.max(0, next - 1);
		if (first > 0) {
			this.#entries.splice(0, first);
		}
	}
}

/** Reports over a model; `record` is called after each change of it. */
export class EngineReports {
	readonly #model: EngineModel;
	readonly #incarnation: string;
	readonly #loadLag: number;
	readonly #lostCacheEventInterval: number;
	readonly #loads: History<ModelLoad>;
	readonly #lastEvents: History<number>;

	constructor(model: EngineModel, incarnation: string, {loadLag = 0, cacheEventLag = 0, lostCacheEventInterval = 0}: ReportOptions) {
		this.#model = model;
		this.#incarnation = incarnation;
		this.#loadLag = loadLag;
		this.#lostCacheEventInterval = lostCacheEventInterval;
		this.#loads = new History(loadLag, model.load());
		this.#lastEvents = new History(cacheEventLag, 0);
	}

	/** Notes the model's state at this moment. */
	record(): void {
		this.#loads.record(this.#model.load());
		this.#lastEvents.record(this.#model.lastCacheEvent);
	}

	/** Load as it was before the lag, with its age in milliseconds. */
	load(): ModelLoad & {age: number} {
		return {...this.#loads.late, age: this.#loadLag};
	}

	/** Published cache events after a sequence number. */
	cacheEvents(after: number): CacheEventPage {
		const last = this.#lastEvents.late;
		const events = this.#model.cacheEvents(after).events.filter(event => event.sequence <= last && !this.#isLost(event));
		return {incarnation: this.#incarnation, events, last};
	}

	/** All hashes held now. */
	cacheSnapshot(): {incarnation: string; last: number; hashes: readonly string[]} {
		return {incarnation: this.#incarnation, ...this.#model.cacheSnapshot()};
	}

	#isLost(event: CacheEvent): boolean {
		return this.#lostCacheEventInterval > 0 && event.sequence % this.#lostCacheEventInterval === 0;
	}
}
