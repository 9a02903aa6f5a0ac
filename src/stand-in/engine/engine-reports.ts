/**
 * What an engine reports of itself, late and with gaps.
 *
 * @module
 */
import type {CacheEvent, CacheEventPage} from '../../upstream/engine.js';
import {History} from '../history.js';
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
