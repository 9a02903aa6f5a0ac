/**
 * Which of the ready engines may get a request now, whatever their load.
 *
 * @module
 */
import type {EngineRecord} from '../serving/model.js';
import type {ColdEngines} from './cold-engines.js';
import type {EnginePauses} from './engine-pauses.js';
import type {EngineRateLimits, LimitReader} from './engine-rate-limits.js';

/** Least Retry-After in milliseconds while the limits of all engines are used up; the caller may return to another instance. */
const minimumLimitRetryAfter = 150;

const millisecondsPerSecond = 1000;

/** Why a request without a prompt is refused. */
export type ServiceRefusal = {
	kind: 'refuse';
	reason: 'no-engine' | 'rate-limited' | 'paused' | 'cold';
	/** Time in milliseconds after which a retry makes sense. */
	retryAfter: number;
	/** Ready engines. */
	candidates: number;
};

/** Regions in which a request may run; undefined for all. */
export type HomeRegions = ReadonlySet<string> | undefined;

/** Regions that all lists hold, of a route and a customer; lists that are undefined restrict nothing. */
export function combineHomeRegions(...lists: ReadonlyArray<readonly string[] | undefined>): HomeRegions {
	const [first, ...others] = lists.filter(list => list !== undefined);
	return first && new Set(first.filter(region => others.every(list => list.includes(region))));
}

/** Whether a failure domain lies in one of the home regions; one without a known region lies in none. */
export function isInHomeRegions(failureDomain: string | undefined, homeRegions: HomeRegions, regions: ReadonlyMap<string, string>): boolean {
	const region = failureDomain === undefined ? undefined : regions.get(failureDomain);
	return homeRegions === undefined || (region !== undefined && homeRegions.has(region));
}

/** Options of an `EngineEligibility`. */
export type EngineEligibilityOptions = {
	/**
	 * Region of each failure domain.
	 * @default no domain has a known region
	 */
	regions?: ReadonlyMap<string, string> | undefined;
	/**
	 * Whether an engine whose entry says that it is ready may get requests; not where its failure domain is evacuated.
	 * @default always
	 */
	mayReceive?: (record: EngineRecord) => boolean;
	rateLimits: EngineRateLimits;
	pauses: EnginePauses;
	/** Undefined where engines take any rate of requests from their start on. */
	coldEngines?: ColdEngines;
	/** Called with each engine that is to get a request and is not known to be cold. */
	onWarmArrival?: (engineId: string) => void;
};

/** Views by which a decision reads limits and cold engines. */
type EligibilityViews = {rateLimits: LimitReader; coldRooms: Pick<ColdEngines, 'withRoom'> | undefined};

/** Why an engine whose entry says that it is ready may not be used. */
export type EngineObstacle = 'evacuated' | 'home-region' | 'cold' | 'paused' | 'limited';

/** What decisions ask about engines. */
export type EngineFilter = Pick<EngineEligibility, 'inHomeRegions' | 'accepting' | 'refusal' | 'isCold'>;

/** Decides which engines may be used at all. */
export class EngineEligibility {
	readonly #options: EngineEligibilityOptions;
	readonly #views: EligibilityViews;

	/** @param views - By default those that count what is asked. */
	constructor(options: EngineEligibilityOptions, views?: EligibilityViews) {
		this.#options = options;
		this.#views = views ?? {rateLimits: options.rateLimits, coldRooms: options.coldEngines};
	}

	/** Decides the same without counting what is asked. */
	get readOnly(): EngineFilter & Pick<EngineEligibility, 'reasonAgainst'> {
		const {rateLimits, coldEngines} = this.#options;
		return new EngineEligibility(this.#options, {rateLimits: rateLimits.readOnly, coldRooms: coldEngines?.readOnly});
	}

	/** Why an engine may not be used now; undefined if it may. Counts nothing. @param homeRegions - Of the request. */
	reasonAgainst(record: EngineRecord, now: number, homeRegions?: HomeRegions): EngineObstacle | undefined {
		const {regions = new Map<string, string>(), mayReceive, rateLimits, pauses, coldEngines} = this.#options;
		const {id, failureDomain} = record;
		if (mayReceive?.(record) === false) {
			return 'evacuated';
		}

		if (!isInHomeRegions(failureDomain, homeRegions, regions)) {
			return 'home-region';
		}

		if (pauses.timeLeft(id, now) > 0) {
			return 'paused';
		}

		if (coldEngines?.readOnly.withRoom([record], now).length === 0) {
			return 'cold';
		}

		return rateLimits.readOnly.hasRoom(id, now) ? undefined : 'limited';
	}

	/** Engines in the home regions of a request. */
	inHomeRegions(records: readonly EngineRecord[], homeRegions: HomeRegions): readonly EngineRecord[] {
		const {regions = new Map<string, string>()} = this.#options;
		return homeRegions === undefined ? records : records.filter(({failureDomain}) => isInHomeRegions(failureDomain, homeRegions, regions));
	}

	/**
	 * Engines that have not asked for a pause and whose limits leave room for a request of this instance, as does its
	 * allowance for cold ones. A long prompt takes several engines, so those with a limit are left to the others.
	 */
	accepting(records: readonly EngineRecord[], isLong: boolean, now: number): readonly EngineRecord[] {
		const {pauses} = this.#options;
		const {rateLimits, coldRooms} = this.#views;
		const unpaused = records.filter(({id}) => pauses.timeLeft(id, now) === 0);
		const running = coldRooms?.withRoom(unpaused, now) ?? unpaused;
		const unlimited = running.filter(({id}) => !rateLimits.isLimited(id));
		if (unlimited.length === running.length || (isLong && unlimited.length > 0)) {
			return unlimited;
		}

		return running.filter(({id}) => rateLimits.hasRoom(id, now));
	}

	/** Refusal of a request that no engine accepts from this instance now. */
	refusal(records: readonly EngineRecord[], now: number): ServiceRefusal & {reason: 'paused' | 'rate-limited' | 'cold'} {
		const {pauses, coldEngines} = this.#options;
		const {rateLimits} = this.#views;
		const coldTime = (id: string) => coldEngines?.timeUntilRoom(id, now) ?? 0;
		const time = Math.min(...records.map(({id}) => Math.max(pauses.timeLeft(id, now), rateLimits.timeUntilRoom(id), coldTime(id))));
		const unpaused = records.filter(({id}) => pauses.timeLeft(id, now) === 0);
		const unpausedReason = unpaused.every(({id}) => coldTime(id) > 0) ? 'cold' : 'rate-limited';
		return {
			kind: 'refuse',
			reason: unpaused.length === 0 ? 'paused' : unpausedReason,
			retryAfter: Math.max(minimumLimitRetryAfter, Number.isFinite(time) ? time : this.#timeUntilRoomElsewhere(records)),
			candidates: records.length,
		};
	}

	isCold(engineId: string, now: number): boolean {
		return this.#options.coldEngines?.isCold(engineId, now) ?? false;
	}

	/** Counts a request that is to arrive at an engine. @param key - Key of its placement. */
	recordArrival(engineId: string, key: string, at: number, now: number): void {
		const {coldEngines, onWarmArrival} = this.#options;
		coldEngines?.recordArrival(engineId, key, at, now);
		if (coldEngines?.isCold(engineId, now) === false) {
			onWarmArrival?.(engineId);
		}
	}

	/** Whether a request that was counted may be sent now. */
	confirmArrival(engineId: string, key: string, now: number): boolean {
		return this.#options.coldEngines?.confirmArrival(engineId, key, now) ?? true;
	}

	/** Records that a counted request was sent. */
	completeArrival(engineId: string, key: string, now: number): void {
		this.#options.coldEngines?.completeArrival(engineId, key, now);
	}

	/** Counts a request no longer of which nothing was sent. */
	withdrawArrival(engineId: string, key: string): void {
		this.#options.coldEngines?.withdrawArrival(engineId, key);
	}

	/** Records how long an engine states that it stays cold. @returns whether that is longer than was known. */
	recordColdStatement(engineId: string, coldRemaining: number | undefined, now: number): boolean {
		return this.#options.coldEngines?.recordStatement(engineId, coldRemaining, now) ?? false;
	}

	/** Records that a connection of this instance to an engine failed, so that the engine may have started again. */
	recordFailure(engineId: string, now: number): void {
		this.#options.coldEngines?.recordFailure(engineId, 'own', now);
	}

	/** Records that a peer has told of such a failure. */
	recordReportedFailure(engineId: string, now: number): void {
		this.#options.coldEngines?.recordFailure(engineId, 'peer', now);
	}

	/** Time in milliseconds for which peers have to take an engine for cold after a failure; undefined where they need not be told. */
	takeFailureReport(engineId: string, now: number): number | undefined {
		return this.#options.coldEngines?.takeFailureReport(engineId, now);
	}

	/** Records that an engine has answered a request of this instance. */
	recordAnswer(engineId: string, now: number): void {
		this.#options.coldEngines?.recordAnswer(engineId, now);
	}

	/** Time in milliseconds in which engines that only other instances use have room for one more request. */
	#timeUntilRoomElsewhere(records: readonly EngineRecord[]): number {
		const total = records.reduce((sum, {id}) => sum + (this.#options.rateLimits.limitOf(id) ?? 0), 0);
		return millisecondsPerSecond / total;
	}
}
