/**
 * Where placements are decided, recorded and told to the other instances.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {EngineProfile, EngineRecord, Service} from '../serving/model.js';
import {hashPosition} from './hash-position.js';
import type {EngineHealth} from './engine-health.js';
import type {LoadTracker, Placement} from './load-tracker.js';
import {
	longPrefillThreshold, placePrompt, type PromptCandidate, type PromptDecision, type PromptRequirements,
} from './prompt-placement.js';
import {placeServiceRequest} from './service-placement.js';

/** Engines that take new work. */
export interface EngineSource {
	ready(service: string): readonly EngineRecord[];
}

/** Told what this instance did, to tell the others. */
export interface PlacementListener {
	placed(placement: Placement): void;
	prefillCompleted(key: string): void;
	ended(key: string): void;
	/** An engine failed a request and is avoided for some milliseconds. */
	cooldownStarted(engineId: string, duration: number): void;
	/** An engine is slower than published. */
	slowdownChanged(engineId: string, pace: number): void;
}

/** What the desk works with. */
export type PlacementCoordinatorOptions = {
	engines: EngineSource;
	loadTracker: LoadTracker;
	engineHealth: EngineHealth;
	listener: PlacementListener;
	failureDomain: string;
	/** Whether other instances are known; alone, an instance keeps an order of its own, or all would fill the same engine. */
	hasPeers: () => boolean;
	/** Begins the keys of this instance's placements; differs for each start of a process. */
	origin: string;
	/** @default Math.random */
	random?: () => number;
};

/** Time in milliseconds after a request's deadline until which its placement may still be ended. */
const expiryMargin = 1000;

/** Time in milliseconds for which an engine that turned a request away is avoided; a few passes, in which places become free. */
const rejectionCooldown = 300;

/** Least change of an engine's pace that the others are told of. */
const reportedSlowdownChange = 0.3;

/** Placements of one instance. */
export class PlacementCoordinator {
	readonly #options: PlacementCoordinatorOptions;
	readonly #random: () => number;
	readonly #reportedSlowdowns = new Map<string, number>();
	readonly #longPrefills = new Set<string>();
	#sequence = 0;

	constructor(options: PlacementCoordinatorOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
	}

	/** Decides where a prompt goes, passing over some engines. */
	decidePromptPlacement(service: Service, cost: EngineProfile, terms: PromptRequirements, excluded: ReadonlySet<string>): PromptDecision & {candidates: number} {
		const now = performance.now();
		const {loadTracker: book, engineHealth: reputation, hasPeers: isInTouch, origin} = this.#options;
		const candidates = this.#candidates(service, excluded).map((record): PromptCandidate => ({
			record,
			load: book.snapshot(record.id, now),
			slowdown: reputation.slowdown(record.id, now),
			isCoolingDown: reputation.isCoolingDown(record.id, now),
			position: hashPosition(isInTouch() ? record.id : `${origin} ${record.id}`),
		}));
		return {...placePrompt(terms, cost, candidates), candidates: candidates.length};
	}

	/** The engine for a request without a prompt; undefined where there is none. */
	decideServicePlacement(service: Service, excluded: ReadonlySet<string>): {record: EngineRecord; running: number; candidates: number} | undefined {
		const now = performance.now();
		const {loadTracker: book, engineHealth: reputation, failureDomain} = this.#options;
		const candidates = this.#candidates(service, excluded).map(record => ({
			record,
			running: book.snapshot(record.id, now).running,
			isAvoided: reputation.isCoolingDown(record.id, now),
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
	recordPlacement(parts: Placement['assignments'], {eventGapTarget: gapTarget, weight, remaining, holdTime: startIn = 0}: {eventGapTarget: number; weight: number; remaining: number; holdTime?: number}): string {
		const now = performance.now();
		this.#sequence += 1;
		const placement: Placement = {
			key: `${this.#options.origin}/${this.#sequence}`, assignments: parts, eventGapTarget: gapTarget, weight, startsAt: now + startIn, expiresAt: now + remaining + expiryMargin,
		};
		this.#options.loadTracker.add(placement, now);
		if (parts.some(({prefillTime: reading}) => reading >= longPrefillThreshold)) {
			this.#longPrefills.add(placement.key);
		}

		this.#options.listener.placed(placement);
		return placement.key;
	}

	/** Whether an engine still takes new work. */
	isReady(service: Service, engineId: string): boolean {
		return this.#options.engines.ready(service.name).some(({id}) => id === engineId);
	}

	/** Time in milliseconds until an engine has read what is placed there. */
	prefillBacklog(engineId: string): number {
		return this.#options.loadTracker.snapshot(engineId, performance.now()).prefillBacklog;
	}

	/** The first event has come. The others are told where the reading was long enough to matter to them. */
	completePrefill(key: string): void {
		this.#options.loadTracker.completePrefill(key, performance.now());
		if (this.#longPrefills.delete(key)) {
			this.#options.listener.prefillCompleted(key);
		}
	}

	endPlacement(key: string): void {
		this.#longPrefills.delete(key);
		this.#options.loadTracker.remove(key, performance.now());
		this.#options.listener.ended(key);
	}

	/** An engine failed a request by its own fault. */
	recordFailure(engineId: string): void {
		const duration = this.#options.engineHealth.recordFailure(engineId, performance.now());
		this.#options.listener.cooldownStarted(engineId, duration);
	}

	/** An engine turned a request away; its queue is full for a moment, which is no failure. */
	recordRejection(engineId: string): void {
		this.#options.engineHealth.startCooldown(engineId, rejectionCooldown, performance.now());
		this.#options.listener.cooldownStarted(engineId, rejectionCooldown);
	}

	/** The engine at an address failed a request that another one had asked it to read for. */
	recordFailureAt(service: Service, address: string): void {
		const engine = this.#options.engines.ready(service.name).find(record => record.address === address || record.id === address);
		if (engine) {
			this.recordFailure(engine.id);
		}
	}

	/** An engine took some factor of the expected time between two events. */
	recordSlowdown(engineId: string, factor: number): void {
		const now = performance.now();
		this.#options.engineHealth.recordSlowdown(engineId, factor, now);
		const pace = this.#options.engineHealth.slowdown(engineId, now);
		if (Math.abs(pace - (this.#reportedSlowdowns.get(engineId) ?? 1)) >= reportedSlowdownChange) {
			this.#reportedSlowdowns.set(engineId, pace);
			this.#options.listener.slowdownChanged(engineId, pace);
		}
	}

	/** Engines of a service, without excluded ones as long as others are left. */
	#candidates(service: Service, excluded: ReadonlySet<string>): readonly EngineRecord[] {
		const ready = this.#options.engines.ready(service.name);
		return excluded.size === 0 ? ready : ready.filter(({id}) => !excluded.has(id));
	}
}
