/**
 * Load that instances have placed on engines: this instance's own placements and those that peers report.
 *
 * Each engine prefills prompts one after another, so the tracker keeps the time at which an engine's prefill ends, and
 * the requests that decode beside it. All times are monotonic, in milliseconds.
 *
 * @module
 */

/** Share of a prefill that is assumed to remain while its first event is overdue. */
const overduePrefillShare = 0.15;

/** Factor on the expected prefill time after which a prompt without a first event no longer counts as prefilling. */
const maximumPrefillOverrun = 3;

/** Factor on the expected prefill time after which a prefill whose end was not reported is taken to be complete; engines that prefill in parts beside answers take several times as long. */
const unreportedPrefillOverrun = 8;

/** What one request does at one engine. */
export type EngineAssignment = {
	engineId: string;
	/** Time that the engine prefills for it. */
	prefillTime: number;
	/** Tokens of the engine's KV cache that it takes until its end. */
	kvCacheTokens: number;
	/** Whether the engine decodes the answer; others only prefill. */
	runsDecode: boolean;
};

/** One request and what it does at engines. */
export type Placement = {
	/** Unique among all instances. */
	key: string;
	assignments: readonly EngineAssignment[];
	/** Longest gap between events that counts as on time; `Infinity` where no target is set. */
	eventGapTarget: number;
	/** Cost of its being late, relative to a short prompt. */
	weight: number;
	/** Time at which its engines begin to prefill at the earliest. */
	startsAt: number;
	/** Time after which it is dropped if its end is not reported. */
	expiresAt: number;
};

/** One request at one engine. */
type TrackedAssignment = {
	placement: Placement;
	assignment: EngineAssignment;
	prefillEndsAt: number;
	isPrefillComplete: boolean;
};

/** A decoding request, as far as it matters to what is placed beside it. */
export type DecodingRequest = {eventGapTarget: number; weight: number};

/** Load of one engine at one time. */
export type EngineLoadSnapshot = {
	/** Time until its prefill ends. */
	prefillBacklog: number;
	/** Longest prefill of one request that is not complete. */
	longestPrefill: number;
	/** Requests that decode or will decode there. */
	running: number;
	kvCacheTokens: number;
	decodingRequests: readonly DecodingRequest[];
};

/** What an engine may be doing at one time. */
export type EngineActivity = Pick<EngineLoadSnapshot, 'running' | 'kvCacheTokens'> & {
	/** Prefill time of all requests there whose prefill is not known to be complete. */
	unfinishedPrefill: number;
	/** Prefill time of all that was ever placed there. */
	placedPrefill: number;
};

const idleLoad: EngineLoadSnapshot = {
	prefillBacklog: 0, longestPrefill: 0, running: 0, kvCacheTokens: 0, decodingRequests: [],
};

/** Load of one engine. */
class EngineLoad {
	readonly #entries = new Map<string, TrackedAssignment>();
	#prefillEndsAt = 0;
	#placedPrefill = 0;

	add(placement: Placement, assignment: EngineAssignment, now: number): void {
		this.#placedPrefill += assignment.prefillTime;
		this.#prefillEndsAt = Math.max(now, placement.startsAt, this.#prefillEndsAt) + assignment.prefillTime;
		this.#entries.set(placement.key, {
			placement, assignment, prefillEndsAt: this.#prefillEndsAt, isPrefillComplete: assignment.prefillTime === 0,
		});
	}

	/** Marks a prefill as complete and takes what was still expected of it out of the queue. */
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
		let overduePrefill = 0;
		let longestPrefill = 0;
		let kvCacheTokens = 0;
		const decodingRequests: DecodingRequest[] = [];
		for (const [key, {placement, assignment, prefillEndsAt, isPrefillComplete}] of this.#entries) {
			if (placement.expiresAt <= now) {
				this.remove(key, now);
				continue;
			}

			kvCacheTokens += assignment.kvCacheTokens;
			if (!isPrefillComplete && now < prefillEndsAt) {
				longestPrefill = Math.max(longestPrefill, assignment.prefillTime);
			} else if (!isPrefillComplete && now - prefillEndsAt < assignment.prefillTime * (maximumPrefillOverrun - 1)) {
				overduePrefill += assignment.prefillTime * overduePrefillShare;
			}

			if (assignment.runsDecode) {
				decodingRequests.push(placement);
			}
		}

		return {
			prefillBacklog: Math.max(0, this.#prefillEndsAt - now) + overduePrefill,
			longestPrefill,
			running: decodingRequests.length,
			kvCacheTokens,
			decodingRequests,
		};
	}

	/** The same load, whose changes leave this one as it is. */
	copy(): EngineLoad {
		const copy = new EngineLoad();
		copy.#prefillEndsAt = this.#prefillEndsAt;
		copy.#placedPrefill = this.#placedPrefill;
		for (const [key, entry] of this.#entries) {
			copy.#entries.set(key, {...entry});
		}

		return copy;
	}

	activity(now: number): EngineActivity {
		const {running, kvCacheTokens} = this.snapshot(now);
		let unfinishedPrefill = 0;
		for (const {assignment: {prefillTime}, prefillEndsAt, isPrefillComplete} of this.#entries.values()) {
			if (!isPrefillComplete && now - prefillEndsAt < prefillTime * unreportedPrefillOverrun) {
				unfinishedPrefill += prefillTime;
			}
		}

		return {
			running, kvCacheTokens, unfinishedPrefill, placedPrefill: this.#placedPrefill,
		};
	}

	#removePendingPrefill(entry: TrackedAssignment, now: number): void {
		const pending = Math.min(entry.assignment.prefillTime, Math.max(0, entry.prefillEndsAt - now));
		if (pending === 0) {
			return;
		}

		this.#prefillEndsAt -= pending;
		for (const other of this.#entries.values()) {
			if (other.prefillEndsAt > entry.prefillEndsAt) {
				other.prefillEndsAt -= pending;
			}
		}
	}
}

/** Load of all engines. */
export class LoadTracker {
	readonly #engines = new Map<string, EngineLoad>();
	readonly #placements = new Map<string, Placement>();

	/** Placements that are known now. */
	get size(): number {
		return this.#placements.size;
	}

	/** Reads loads without removing the placements that have expired, which moves the prefills behind them. */
	get readOnly(): Pick<LoadTracker, 'snapshot'> {
		return {snapshot: (engineId, now) => this.#engines.get(engineId)?.copy().snapshot(now) ?? idleLoad};
	}

	/** Adds a placement; one whose key is known already stays as it is. @returns whether it is new. */
	add(placement: Placement, now: number): boolean {
		if (this.#placements.has(placement.key)) {
			return false;
		}

		this.#placements.set(placement.key, placement);
		for (const assignment of placement.assignments) {
			let engine = this.#engines.get(assignment.engineId);
			if (!engine) {
				engine = new EngineLoad();
				this.#engines.set(assignment.engineId, engine);
			}

			engine.add(placement, assignment, now);
		}

		return true;
	}

	/** Marks a request's prefill as complete, because its first event has arrived. */
	completePrefill(key: string, now: number): void {
		for (const assignment of this.#placements.get(key)?.assignments ?? []) {
			this.#engines.get(assignment.engineId)?.completePrefill(key, now);
		}
	}

	remove(key: string, now: number): void {
		for (const assignment of this.#placements.get(key)?.assignments ?? []) {
			this.#engines.get(assignment.engineId)?.remove(key, now);
		}

		this.#placements.delete(key);
	}

	/** Placements of an instance, whose keys begin with its name, and the keys of those whose first event has arrived. */
	placementsOf(keyPrefix: string): {placements: Placement[]; prefilledKeys: string[]} {
		const placements = [...this.#placements.values()].filter(({key}) => key.startsWith(keyPrefix));
		const prefilledKeys = placements
			.filter(({key, assignments}) => assignments.some(({engineId}) => this.#engines.get(engineId)?.isPrefillComplete(key)))
			.map(({key}) => key);
		return {placements, prefilledKeys};
	}

	/** Removes all placements of an instance, whose keys begin with its name. */
	removeAllOf(keyPrefix: string, now: number): void {
		for (const key of this.#placements.keys()) {
			if (key.startsWith(keyPrefix)) {
				this.remove(key, now);
			}
		}
	}

	/** Removes an engine that is gone or has restarted. */
	removeEngine(id: string): void {
		this.#engines.delete(id);
	}

	/** Removes placements whose end was not reported in time. */
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

	activity(engineId: string, now: number): EngineActivity {
		return this.#engines.get(engineId)?.activity(now) ?? {...idleLoad, unfinishedPrefill: 0, placedPrefill: 0};
	}
}
