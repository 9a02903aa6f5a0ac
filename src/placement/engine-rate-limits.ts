/**
 * Rate limits that engines state in their responses, each for the requests of all instances together.
 *
 * The instances that use an engine hear of each request that another one sends there. Each keeps the same token bucket and
 * takes the requests of all from it, so that a limit can be used by few instances or by many without further messages.
 * What several send at the same moment, before they hear of each other, is paid back by all afterwards.
 *
 * @module
 */
import {TokenBucket} from '../platform/token-bucket.js';
import {DecayingRate} from '../routing/decaying-rate.js';
import type {EventLog} from '../telemetry/log.js';

/** Time in seconds for which an unused limit is saved. */
const savedTime = 1;

/** Time in seconds for which requests beyond the limit are paid back at most. */
const maximumDebtTime = 2;

/** Time in milliseconds in which the other instances hear of a request, with some lag of busy processes. */
const reportLatency = 20;

/** Factors by which an engine's contention grows with each request beyond the room that was there, and shrinks with each one of this instance that left room unused. */
const contentionGrowth = 1.3;
const contentionDecay = 0.97;

/** Greatest contention, so that room is taken again soon once few requests are left. */
const maximumContention = 64;

/** Time constant in milliseconds of the rate at which requests find an engine's limit used up. */
const demandTimeConstant = 1000;

/** Least limit in requests a second that is taken into account, so that an engine that stated 0 is asked again now and then. */
const minimumLimit = 0.1;

/** Time in milliseconds for which a response without a limit does not lift one; it may have been sent before the limit was stated. */
const minimumLimitAge = 500;

/** Time in milliseconds between two reports of an unchanged limit to other instances. */
const reportInterval = 1000;

const millisecondsPerSecond = 1000;

/** Most engines whose limits are remembered; of more, the oldest ones are forgotten. */
const maximumLimitedEngines = 1000;

/** A limit in requests a second; undefined if the engine states none. */
export type StatedLimit = number | undefined;

/** Options of an `EngineRateLimits`. */
export type EngineRateLimitsOptions = {
	ownIp: string;
	/** IP addresses of the live instances that use an engine, this one included if it does. */
	users: (engineId: string) => readonly string[];
	/** Share of the known instances that this one hears of, from 0 to 1; of the others it does not know what they send. */
	reachableShare: () => number;
	log: EventLog;
	/**
	 * Numbers from 0 (inclusive) to 1 (exclusive).
	 *
	 * @default Math.random
	 */
	random?: () => number;
};

type LimitedEngine = {
	/** 0 until the first statement. */
	limit: number;
	/** When the engine's limit changed to this one. */
	changedAt: number;
	reportedAt: number;
	/** Requests of this instance that found the limit used up. */
	unmetDemand: DecayingRate;
	/** Requests that the same room is used for, relative to what the unmet demand lets expect; 1 or more. */
	contention: number;
	/** Undefined while this instance does not use the engine. */
	bucket: TokenBucket | undefined;
};

/** What is read of limits to decide where a request may go. */
export type LimitReader = Pick<EngineRateLimits, 'limitOf' | 'isLimited' | 'hasRoom' | 'timeUntilRoom'>;

/** Limits as one instance knows them; all times are monotonic, in milliseconds. */
export class EngineRateLimits {
	readonly #options: EngineRateLimitsOptions;
	readonly #random: () => number;
	readonly #engines = new Map<string, LimitedEngine>();

	constructor(options: EngineRateLimitsOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
	}

	/** Reads limits without counting a request that asks for room. Of room that is there, none is withheld because many ask for it. */
	get readOnly(): LimitReader {
		const timeUntilRoom = (engineId: string) => {
			const engine = this.#engines.get(engineId);
			return engine ? (this.#currentBucket(engine, engineId)?.readDelayOf() ?? Number.POSITIVE_INFINITY) : 0;
		};

		return {
			limitOf: engineId => this.limitOf(engineId),
			isLimited: engineId => this.isLimited(engineId),
			hasRoom: engineId => timeUntilRoom(engineId) === 0,
			timeUntilRoom,
		};
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
	recordLimit(engineId: string, limit: StatedLimit, now: number): boolean {
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
	recordReportedLimit(engineId: string, limit: StatedLimit, now: number): void {
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

	/**
	 * Whether a request may be sent to the engine now. Each call counts as a request that asks for room. Where many requests wait for room, most are told that there is none, as
	 * all instances see the same room and would take it before they hear of each other.
	 */
	hasRoom(engineId: string, now: number): boolean {
		const engine = this.#engines.get(engineId);
		if (!engine) {
			return true;
		}

		const bucket = this.#bucket(engineId, engine);
		if (bucket === undefined) {
			return false;
		}

		if (bucket.delayOf() > 0) {
			engine.unmetDemand.add(1, now);
			return false;
		}

		const requestsUntilHeard = engine.unmetDemand.perSecond(now) * this.#options.users(engineId).length * reportLatency / millisecondsPerSecond;
		const isTaken = this.#random() * Math.max(1, requestsUntilHeard) * engine.contention < 1;
		engine.contention = isTaken ? engine.contention : Math.max(1, engine.contention * contentionDecay);
		return isTaken;
	}

	/** Time in milliseconds until the engine has room: 0 if it has now, infinite if this instance does not use it. */
	timeUntilRoom(engineId: string): number {
		const engine = this.#engines.get(engineId);
		return engine ? (this.#bucket(engineId, engine)?.delayOf() ?? Number.POSITIVE_INFINITY) : 0;
	}

	/** Counts a request that this instance or another one sends to the engine. */
	recordRequest(engineId: string): void {
		const engine = this.#engines.get(engineId);
		const bucket = engine && this.#bucket(engineId, engine);
		if (!bucket) {
			return;
		}

		if (bucket.delayOf() > 0) {
			engine.contention = Math.min(maximumContention, engine.contention * contentionGrowth);
		}

		if (bucket.tokens > -maximumDebtTime * bucket.rate) {
			bucket.reserve();
		}
	}

	#state(engineId: string, statedLimit: number, origin: 'response' | 'peer', now: number): LimitedEngine {
		const limit = Math.max(minimumLimit, statedLimit);
		const engine = this.#engines.get(engineId) ?? this.#addEngine(engineId, now);
		if (engine.limit !== limit) {
			this.#options.log.info('engine.limit', {
				engine: engineId, limit, before: engine.limit === 0 ? undefined : engine.limit, origin,
			});
			engine.limit = limit;
			engine.changedAt = now;
			engine.reportedAt = Number.NEGATIVE_INFINITY;
		}

		return engine;
	}

	#addEngine(engineId: string, now: number): LimitedEngine {
		const [oldest] = this.#engines.keys();
		if (this.#engines.size >= maximumLimitedEngines && oldest !== undefined) {
			this.#engines.delete(oldest);
		}

		const engine: LimitedEngine = {
			limit: 0, changedAt: 0, reportedAt: Number.NEGATIVE_INFINITY, unmetDemand: new DecayingRate(demandTimeConstant, now), contention: 1, bucket: undefined,
		};
		this.#engines.set(engineId, engine);
		return engine;
	}

	#lift(engineId: string, origin: 'response' | 'peer'): void {
		this.#options.log.info('engine.limit', {engine: engineId, before: this.#engines.get(engineId)?.limit, origin});
		this.#engines.delete(engineId);
	}

	/** The bucket that all users of the engine take requests from; undefined if this instance is none. A new one begins empty, as others may have used the limit before. */
	#bucket(engineId: string, engine: LimitedEngine): TokenBucket | undefined {
		engine.bucket = this.#currentBucket(engine, engineId);
		return engine.bucket;
	}

	/** As `#bucket`, without keeping a new one. */
	#currentBucket({limit, bucket}: LimitedEngine, engineId: string): TokenBucket | undefined {
		const {ownIp, users, reachableShare} = this.#options;
		if (!users(engineId).includes(ownIp)) {
			return undefined;
		}

		const rate = limit * reachableShare();
		if (bucket?.rate === rate) {
			return bucket;
		}

		const burst = Math.max(1, rate * savedTime);
		return new TokenBucket({rate, burst, initial: Math.min(burst, bucket?.tokens ?? 0)});
	}
}
