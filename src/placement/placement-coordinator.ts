/**
 * Where placements are decided, recorded and told to the other instances.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {EngineCost, EngineRecord, Service} from '../serving/model.js';
import {engineOrder} from './hash-position.js';
import type {EngineReputation} from './engine-health.js';
import type {LoadBook, Placement} from './load-tracker.js';
import {
	longReading, placePrompt, type PromptCandidate, type PromptDecision, type PromptTerms,
} from './prompt-placement.js';
import {placeServiceRequest} from './service-placement.js';

/** Engines that take new work. */
export interface EngineSource {
	ready(service: string): readonly EngineRecord[];
}

/** Told what this instance did, to tell the others. */
export interface PlacementNews {
	placed(placement: Placement): void;
	began(key: string): void;
	ended(key: string): void;
	/** An engine failed a request and is avoided for some milliseconds. */
	avoids(engineId: string, duration: number): void;
	/** An engine is slower than published. */
	paced(engineId: string, pace: number): void;
}

/** What the desk works with. */
export type PlacementDeskOptions = {
	engines: EngineSource;
	book: LoadBook;
	reputation: EngineReputation;
	news: PlacementNews;
	failureDomain: string;
	/** Whether other instances are known; alone, an instance keeps an order of its own, or all would fill the same engine. */
	isInTouch: () => boolean;
	/** Begins the keys of this instance's placements; differs for each start of a process. */
	origin: string;
	/** @default Math.random */
	random?: () => number;
};

/** Time in milliseconds after a request's deadline until which its placement may still be ended. */
const expiryMargin = 1000;

/** Time in milliseconds for which an engine that turned a request away is avoided; a few passes, in which places become free. */
const fullTime = 300;

/** Least change of an engine's pace that the others are told of. */
const paceStep = 0.3;

/** Placements of one instance. */
export class PlacementDesk {
	readonly #options: PlacementDeskOptions;
	readonly #random: () => number;
	readonly #toldPace = new Map<string, number>();
	readonly #longReadings = new Set<string>();
	#sequence = 0;

	constructor(options: PlacementDeskOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
	}

	/** Decides where a prompt goes, passing over some engines. */
	decidePrompt(service: Service, cost: EngineCost, terms: PromptTerms, excluded: ReadonlySet<string>): PromptDecision & {candidates: number} {
		const now = performance.now();
		const {book, reputation, isInTouch, origin} = this.#options;
		const candidates = this.#candidates(service, excluded).map((record): PromptCandidate => ({
			record,
			load: book.view(record.id, now),
			pace: reputation.pace(record.id, now),
			isAvoided: reputation.isAvoided(record.id, now),
			order: engineOrder(isInTouch() ? record.id : `${origin} ${record.id}`),
		}));
		return {...placePrompt(terms, cost, candidates), candidates: candidates.length};
	}

	/** The engine for a request without a prompt; undefined where there is none. */
	decideService(service: Service, excluded: ReadonlySet<string>): {record: EngineRecord; running: number; candidates: number} | undefined {
		const now = performance.now();
		const {book, reputation, failureDomain} = this.#options;
		const candidates = this.#candidates(service, excluded).map(record => ({
			record,
			running: book.view(record.id, now).running,
			isAvoided: reputation.isAvoided(record.id, now),
			inOwnDomain: record.failureDomain === failureDomain,
		}));
		const chosen = placeServiceRequest(candidates, this.#random);
		return chosen && {record: chosen.record, running: chosen.running, candidates: candidates.length};
	}

	/**
	 * Records a placement.
	 *
	 * @param terms - With the times in milliseconds that the request has left and until which it is held.
	 */
	place(parts: Placement['parts'], {gapTarget, weight, remaining, startIn = 0}: {gapTarget: number; weight: number; remaining: number; startIn?: number}): string {
		const now = performance.now();
		this.#sequence += 1;
		const placement: Placement = {
			key: `${this.#options.origin}/${this.#sequence}`, parts, gapTarget, weight, startsAt: now + startIn, expiresAt: now + remaining + expiryMargin,
		};
		this.#options.book.place(placement, now);
		if (parts.some(({reading}) => reading >= longReading)) {
			this.#longReadings.add(placement.key);
		}

		this.#options.news.placed(placement);
		return placement.key;
	}

	/** Whether an engine still takes new work. */
	isReady(service: Service, engineId: string): boolean {
		return this.#options.engines.ready(service.name).some(({id}) => id === engineId);
	}

	/** Time in milliseconds until an engine has read what is placed there. */
	backlog(engineId: string): number {
		return this.#options.book.view(engineId, performance.now()).backlog;
	}

	/** The first event has come. The others are told where the reading was long enough to matter to them. */
	begin(key: string): void {
		this.#options.book.begin(key, performance.now());
		if (this.#longReadings.delete(key)) {
			this.#options.news.began(key);
		}
	}

	end(key: string): void {
		this.#longReadings.delete(key);
		this.#options.book.end(key, performance.now());
		this.#options.news.ended(key);
	}

	/** An engine failed a request by its own fault. */
	failed(engineId: string): void {
		const duration = this.#options.reputation.failed(engineId, performance.now());
		this.#options.news.avoids(engineId, duration);
	}

	/** An engine turned a request away; its queue is full for a moment, which is no failure. */
	full(engineId: string): void {
		this.#options.reputation.avoid(engineId, fullTime, performance.now());
		this.#options.news.avoids(engineId, fullTime);
	}

	/** The engine at an address failed a request that another one had asked it to read for. */
	failedAt(service: Service, address: string): void {
		const engine = this.#options.engines.ready(service.name).find(record => record.address === address || record.id === address);
		if (engine) {
			this.failed(engine.id);
		}
	}

	/** An engine took some factor of the expected time between two events. */
	observePace(engineId: string, factor: number): void {
		const now = performance.now();
		this.#options.reputation.observePace(engineId, factor, now);
		const pace = this.#options.reputation.pace(engineId, now);
		if (Math.abs(pace - (this.#toldPace.get(engineId) ?? 1)) >= paceStep) {
			this.#toldPace.set(engineId, pace);
			this.#options.news.paced(engineId, pace);
		}
	}

	/** Engines of a service, without excluded ones as long as others are left. */
	#candidates(service: Service, excluded: ReadonlySet<string>): readonly EngineRecord[] {
		const ready = this.#options.engines.ready(service.name);
		return excluded.size === 0 ? ready : ready.filter(({id}) => !excluded.has(id));
	}
}
