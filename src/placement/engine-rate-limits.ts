/**
 * Rate limits that engines state in their responses, each for the requests of all instances together.
 *
 * An engine's limit is divided among a few instances, its owners, which rendezvous hashing chooses; the others send it
 * nothing. So few owners have a bucket each that their bursts together stay within what the platform tolerates, in a
 * fleet of any size and without a message for each request.
 *
 * @module
 */
import {TokenBucket} from '../platform/token-bucket.js';
import type {EventLog} from '../telemetry/log.js';
import {hashPosition} from './hash-position.js';

/** What the platform tolerates: in any window of so many seconds a factor on the limit, and so many requests beyond it. */
const toleratedWindow = 4;
const toleratedFactor = 1.5;
const toleratedBurst = 5;

/** Share of the tolerated excess that bursts of the owners may use; the rest is for instances that disagree about the live ones. */
const usableShare = 0.7;

/** Time in seconds whose share of the limit an owner may save for a burst. */
const maximumSavedTime = 1;

/** Least limit in requests a second that is taken into account, so that an engine that stated 0 is asked again now and then. */
const minimumLimit = 0.1;

/** Time in milliseconds for which a response without a limit does not lift one; it may have been sent before the limit was stated. */
const minimumLimitAge = 500;

/** Time in milliseconds without a statement after which the other instances ask the engine again, and the share of the limit that they use together. */
const staleLimitAge = 10_000;
const staleShare = 0.25;

/** Time in milliseconds between two reports of an unchanged limit to other instances. */
const reportInterval = 1000;

/** Most engines whose limits are remembered; of more, the oldest ones are forgotten. */
const maximumLimitedEngines = 1000;

/** A limit in requests a second; undefined if the engine states none. */
export type StatedLimit = number | undefined;

/** Options of an `EngineRateLimits`. */
export type EngineRateLimitsOptions = {
	ownIp: string;
	/** IP addresses of the live instances that use an engine, this one included if it does; a new list after each change. */
	users: (engineId: string) => readonly string[];
	log: EventLog;
};

type LimitedEngine = {
	/** 0 until the first statement. */
	limit: number;
	/** When the engine's limit changed to this one. */
	changedAt: number;
	/** When the engine last stated the limit, to this instance or to one that reported it. */
	statedAt: number;
	reportedAt: number;
	/** Users by which the bucket was made. */
	users: readonly string[] | undefined;
	isOwner: boolean;
	bucket: TokenBucket | undefined;
};

/** Limits as one instance knows them; all times are monotonic, in milliseconds. */
export class EngineRateLimits {
	readonly #options: EngineRateLimitsOptions;
	readonly #engines = new Map<string, LimitedEngine>();

	constructor(options: EngineRateLimitsOptions) {
		this.#options = options;
	}

	/** Limits of all engines that have stated one, for an instance that has just started. */
	get limits(): Array<{engineId: string; limit: number}> {
		return [...this.#engines].map(([engineId, {limit}]) => ({engineId, limit}));
	}

	/** Number of engines that state a limit. */
	get size(): number {
		return this.#engines.size;
	}

	/** Limit in requests a second. */
	limitOf(engineId: string): StatedLimit {
		return this.#engines.get(engineId)?.limit;
	}

	isLimited(engineId: string): boolean {
		return this.#engines.has(engineId);
	}

	/** Records the limit in a response of the engine. @returns whether to report it to the other instances. */
	recordResponse(engineId: string, limit: StatedLimit, now: number): boolean {
		const known = this.#engines.get(engineId);
		if (limit === undefined) {
			if (known === undefined || now - known.changedAt < minimumLimitAge) {
				return false;
			}

			this.#lift(engineId, 'response');
			return true;
		}

		const engine = this.#state(engineId, limit, 'response', now);
		if (now - engine.reportedAt < reportInterval) {
			return false;
		}

		engine.reportedAt = now;
		return true;
	}

	/** Records a limit that another instance reports. */
	recordReport(engineId: string, limit: StatedLimit, now: number): void {
		if (limit !== undefined) {
			this.#state(engineId, limit, 'peer', now);
		} else if (this.#engines.has(engineId)) {
			this.#lift(engineId, 'peer');
		}
	}

	/** Forgets an engine that has started again. */
	reset(engineId: string): void {
		this.#engines.delete(engineId);
	}

	/** Time in milliseconds until this instance may send the engine a request: 0 if it may now, infinite if others own the limit. */
	timeUntilRoom(engineId: string, now: number): number {
		const engine = this.#engines.get(engineId);
		if (!engine) {
			return 0;
		}

		const bucket = this.#bucket(engineId, engine, now);
		return bucket === undefined ? Number.POSITIVE_INFINITY : bucket.delayOf();
	}

	/** Counts a request that is sent to the engine. */
	recordRequest(engineId: string, now: number): void {
		const engine = this.#engines.get(engineId);
		if (engine) {
			this.#bucket(engineId, engine, now)?.reserve();
		}
	}

	#state(engineId: string, statedLimit: number, origin: 'response' | 'peer', now: number): LimitedEngine {
		const limit = Math.max(minimumLimit, statedLimit);
		const engine = this.#engines.get(engineId) ?? this.#addEngine(engineId);
		engine.statedAt = now;
		if (engine.limit !== limit) {
			this.#options.log.info('engine.limit', {
				engine: engineId, limit, before: engine.limit === 0 ? undefined : engine.limit, origin,
			});
			engine.limit = limit;
			engine.changedAt = now;
			engine.reportedAt = Number.NEGATIVE_INFINITY;
			engine.users = undefined;
		}

		return engine;
	}

	#addEngine(engineId: string): LimitedEngine {
		const [oldest] = this.#engines.keys();
		if (this.#engines.size >= maximumLimitedEngines && oldest !== undefined) {
			this.#engines.delete(oldest);
		}

		const engine: LimitedEngine = {
			limit: 0, changedAt: 0, statedAt: 0, reportedAt: Number.NEGATIVE_INFINITY, users: undefined, isOwner: false, bucket: undefined,
		};
		this.#engines.set(engineId, engine);
		return engine;
	}

	#lift(engineId: string, origin: 'response' | 'peer'): void {
		this.#options.log.info('engine.limit', {engine: engineId, before: this.#engines.get(engineId)?.limit, origin});
		this.#engines.delete(engineId);
	}

	/** The bucket of this instance's share, undefined if it has none. A new owner's begins empty, as another instance may have used the share before. */
	#bucket(engineId: string, engine: LimitedEngine, now: number): TokenBucket | undefined {
		const users = this.#options.users(engineId);
		const isStale = now - engine.statedAt > staleLimitAge;
		if (engine.users !== users) {
			engine.users = users;
			const {owners, burst} = divideLimit(engineId, engine.limit, users);
			const isOwner = owners.includes(this.#options.ownIp);
			const share = engine.limit / Math.max(1, owners.length);
			engine.bucket = isOwner ? new TokenBucket({rate: share, burst, initial: engine.isOwner ? Math.min(burst, engine.bucket?.tokens ?? 0) : 0}) : undefined;
			engine.isOwner = isOwner;
		}

		if (isStale && !engine.isOwner) {
			engine.bucket ??= new TokenBucket({rate: engine.limit * staleShare / Math.max(1, users.length), burst: 1, initial: 0});
		} else if (!engine.isOwner) {
			engine.bucket = undefined;
		}

		return engine.bucket;
	}
}

/** The instances that share an engine's limit, and the burst of each in requests. */
export function divideLimit(engineId: string, limit: number, users: readonly string[]): {owners: readonly string[]; burst: number} {
	const usableBurst = Math.floor(usableShare * (((toleratedFactor - 1) * limit * toleratedWindow) + toleratedBurst));
	const owners = users.toSorted((one, other) => hashPosition(`${one} ${engineId}`) - hashPosition(`${other} ${engineId}`)).slice(0, usableBurst);
	return {
		owners,
		burst: Math.max(1, Math.min(Math.floor(usableBurst / Math.max(1, owners.length)), limit * maximumSavedTime / Math.max(1, owners.length))),
	};
}
