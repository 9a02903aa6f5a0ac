/**
 * Work that instances have placed on engines, own and told by peers.
 *
 * Each engine reads prompts one after another, so the book keeps the time at which its reading ends, and the requests
 * that write beside it. All times are monotonic, in milliseconds.
 *
 * @module
 */

/** Share of a prompt's reading that is taken to be left while its first event is overdue. */
const overduePrefillShare = 0.15;

/** Factor on the expected reading after which a prompt without a first event no longer counts as reading. */
const maximumPrefillOverrun = 3;

/** What one request does at one engine. */
export type EngineAssignment = {
	engineId: string;
	/** Time that the engine reads for it. */
	prefillTime: number;
	/** Tokens of the engine's memory that it takes until its end. */
	kvCacheTokens: number;
	/** Whether the engine writes the answer; others only read. */
	runsDecode: boolean;
};

/** One request and what it does at engines. */
export type Placement = {
	/** Unique among all instances. */
	key: string;
	assignments: readonly EngineAssignment[];
	/** Longest pause between events that counts as on time; `Infinity` where none is asked. */
	eventGapTarget: number;
	/** How much its being late matters, relative to a short prompt. */
	weight: number;
	/** Time at which its engines begin to read at the earliest. */
	startsAt: number;
	/** Time after which it is forgotten if nothing is heard of it. */
	expiresAt: number;
};

/** One request at one engine. */
type TrackedAssignment = {
	placement: Placement;
	assignment: EngineAssignment;
	prefillEndsAt: number;
	isPrefillComplete: boolean;
};

/** A writing request, as far as it matters to what is placed beside it. */
export type DecodingRequest = {eventGapTarget: number; weight: number};

/** What is known of one engine's work. */
export type EngineLoadSnapshot = {
	/** Time until its reading ends. */
	prefillBacklog: number;
	/** Longest reading of one request that is not over. */
	longestPrefill: number;
	/** Requests that write or will write there. */
	running: number;
	kvCacheTokens: number;
	decodingRequests: readonly DecodingRequest[];
};

const idleLoad: EngineLoadSnapshot = {
	prefillBacklog: 0, longestPrefill: 0, running: 0, kvCacheTokens: 0, decodingRequests: [],
};

/** Work at one engine. */
class EngineLoad {
	readonly #entries = new Map<string, TrackedAssignment>();
	#prefillEndsAt = 0;

	get isEmpty(): boolean {
		return this.#entries.size === 0;
	}

	add(placement: Placement, part: EngineAssignment, now: number): void {
		this.#prefillEndsAt = Math.max(now, placement.startsAt, this.#prefillEndsAt) + part.prefillTime;
		this.#entries.set(placement.key, {
			placement, assignment: part, prefillEndsAt: this.#prefillEndsAt, isPrefillComplete: part.prefillTime === 0,
		});
	}

	/** The prompt is read: takes what the book still expected of it out of the queue. */
	completePrefill(key: string, now: number): void {
		const entry = this.#entries.get(key);
		if (entry && !entry.isPrefillComplete) {
			entry.isPrefillComplete = true;
			this.#removePendingPrefill(entry, now);
			if (!entry.assignment.runsDecode && entry.assignment.kvCacheTokens === 0) {
				this.#entries.delete(key);
			}
		}
	}

	isPrefillComplete(key: string): boolean {
		return this.#entries.get(key)?.isPrefillComplete ?? false;
	}

	remove(key: string, now: number): void {
		const entry = this.#entries.get(key);
		if (entry) {
			this.#entries.delete(key);
			if (!entry.isPrefillComplete) {
				this.#removePendingPrefill(entry, now);
			}
		}
	}

	snapshot(now: number): EngineLoadSnapshot {
		let overdue = 0;
		let longestPart = 0;
		let memory = 0;
		const writers: DecodingRequest[] = [];
		for (const [key, {placement, assignment: part, prefillEndsAt: readEnds, isPrefillComplete: begun}] of this.#entries) {
			if (placement.expiresAt <= now) {
				this.remove(key, now);
				continue;
			}

			memory += part.kvCacheTokens;
			if (!begun && now < readEnds) {
				longestPart = Math.max(longestPart, part.prefillTime);
			} else if (!begun && now - readEnds < part.prefillTime * (maximumPrefillOverrun - 1)) {
				overdue += part.prefillTime * overduePrefillShare;
			}

			if (part.runsDecode) {
				writers.push(placement);
			}
		}

		return {
			prefillBacklog: Math.max(0, this.#prefillEndsAt - now) + overdue, longestPrefill: longestPart, running: writers.length, kvCacheTokens: memory, decodingRequests: writers,
		};
	}

	#removePendingPrefill(entry: TrackedAssignment, now: number): void {
		const unread = Math.min(entry.assignment.prefillTime, Math.max(0, entry.prefillEndsAt - now));
		if (unread === 0) {
			return;
		}

		this.#prefillEndsAt -= unread;
		for (const other of this.#entries.values()) {
			if (other.prefillEndsAt > entry.prefillEndsAt) {
				other.prefillEndsAt -= unread;
			}
		}
	}
}

/** Work at all engines. */
export class LoadTracker {
	readonly #engines = new Map<string, EngineLoad>();
	readonly #placements = new Map<string, Placement>();

	/** Placements that are known now. */
	get size(): number {
		return this.#placements.size;
	}

	/** Takes in a placement; one that is known already stays as it is. */
	add(placement: Placement, now: number): void {
		if (this.#placements.has(placement.key)) {
			return;
		}

		this.#placements.set(placement.key, placement);
		for (const part of placement.assignments) {
			let engine = this.#engines.get(part.engineId);
			if (!engine) {
				engine = new EngineLoad();
				this.#engines.set(part.engineId, engine);
			}

			engine.add(placement, part, now);
		}
	}

	/** The first event of a request has come, so that its prompt is read. */
	completePrefill(key: string, now: number): void {
		for (const part of this.#placements.get(key)?.assignments ?? []) {
			this.#engines.get(part.engineId)?.completePrefill(key, now);
		}
	}

	remove(key: string, now: number): void {
		for (const part of this.#placements.get(key)?.assignments ?? []) {
			this.#engines.get(part.engineId)?.remove(key, now);
		}

		this.#placements.delete(key);
	}

	/** Placements of an instance, whose keys begin with its name, and those of them whose first event has come. */
	placementsOf(keyPrefix: string): {placements: Placement[]; prefilledKeys: string[]} {
		const placed = [...this.#placements.values()].filter(({key}) => key.startsWith(keyPrefix));
		const began = placed.filter(({key, assignments: parts}) => parts.some(({engineId}) => this.#engines.get(engineId)?.isPrefillComplete(key))).map(({key}) => key);
		return {placements: placed, prefilledKeys: began};
	}

	/** Ends all requests of an instance, whose keys begin with its name. */
	removeAllOf(keyPrefix: string, now: number): void {
		for (const key of this.#placements.keys()) {
			if (key.startsWith(keyPrefix)) {
				this.remove(key, now);
			}
		}
	}

	/** Forgets an engine that is gone or has started anew. */
	removeEngine(id: string): void {
		this.#engines.delete(id);
	}

	/** Drops placements that nobody ended in time. */
	removeExpired(now: number): void {
		for (const [key, placement] of this.#placements) {
			if (placement.expiresAt <= now) {
				this.remove(key, now);
			}
		}
	}

	snapshot(engineId: string, now: number): EngineLoadSnapshot {
		return this.#engines.get(engineId)?.snapshot(now) ?? idleLoad;
	}
}
