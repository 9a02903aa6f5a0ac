/**
 * Limits what this instance sends to engines that have just started and crash above a rate of requests.
 *
 * Each instance has an allowance of its own (cold-senders.ts), so that the limit holds without messages, also while the fleet
 * is cut.
 *
 * @module
 */
import type {ColdStart, EngineRecord} from '../serving/model.js';
import type {EventLog} from '../telemetry/log.js';
import {
	type ColdLimits, type ColdShare, divideColdLimit, isColdSender,
} from './cold-senders.js';
import {SuspectedStarts} from './suspected-starts.js';

/** Length in milliseconds of the windows in which the platform counts requests. */
const limitWindow = 1000;

/** Time in milliseconds by which one request may take longer from decision to arrival than another: connection, reservation, a busy process, and the primary engine's call of a prefill helper. */
const arrivalSpread = 250;

/** Time in milliseconds for which a request counts here, so that the platform's windows hold with any delay within the spread. */
export const allowanceWindow = limitWindow + arrivalSpread;

/** Number of instances that one assumes that does not know it; the largest fleet planned for has 195. */
export const assumedFleetSize = 256;

/** Time in milliseconds after its start in which an instance does not rely on the number that it knows: others learn of it within 2 s, and what they sent before counts for a window more. */
const settlingTime = 2000 + allowanceWindow;

/** Longest time in milliseconds for which one statement counts, so that an invalid one does not limit an engine for ever. */
export const maximumStatedTime = 600_000;

/** Time in milliseconds by which a response must extend the cold time to be told to peers; the way of a response varies as much. */
const extensionMargin = 100;

/** Longest time in milliseconds for which a request counts that is not sent; deadlines of requests are shorter. */
const maximumUnsentTime = 60_000;

/** Most engines that are remembered; of more, the oldest ones are forgotten. */
const maximumEngines = 1000;

/** How an instance came to know that an engine is cold. */
type ColdOrigin = 'row' | 'response' | 'start' | 'failure';

/** How a row came to be read. */
export type RowContext = {isInitial: boolean; isUnchanged: boolean};

/** Options of a `ColdEngines`. */
export type ColdEnginesOptions = {
	ownIp: string;
	/** What engines of a service tolerate while they are cold; undefined where there is no limit. */
	coldStart: (service: string) => ColdStart | undefined;
	limits: ColdLimits;
	/** Largest number of instances known lately, also to peers, whether some may still be unknown, and the addresses known lately, a new list after each change. */
	fleet: () => {largestSize: number; isKnown: boolean; addresses: readonly string[]};
	/** Monotonic time in milliseconds at which this instance started. */
	startedAt: number;
	/**
	 * Monotonic time in milliseconds as of which the table of engines is known to hold all rows.
	 * @default it is never known
	 */
	tableConfirmedAt?: () => number;
	log: EventLog;
};

/** A request of this instance; `at` is infinite until it has been sent. */
type Arrival = {key: string; at: number; recordedAt: number};

type EngineEntry = {
	service: string;
	/** Undefined after the removal of its row. */
	start: {startedAt: number | undefined; address: string} | undefined;
	/** When the time that the engine has stated ends. */
	statedUntil: number;
	/** When this instance last saw it start. */
	startSeenAt: number;
	/** Requests of this instance that arrived within the window or are still to arrive. */
	arrivals: Arrival[];
	origin: ColdOrigin;
	isCold: boolean;
	/** Whether this instance may send to it, as of these numbers and addresses. */
	sender: {isSender: boolean; share: ColdShare; fleetSize: number; addresses: readonly string[]} | undefined;
};

/** Cold engines as one instance knows them; all times are monotonic, in milliseconds. */
export class ColdEngines {
	readonly #options: ColdEnginesOptions;
	readonly #engines = new Map<string, EngineEntry>();
	readonly #shares = new Map<string, ColdShare>();
	readonly #suspectedStarts = new SuspectedStarts();
	#withheld = 0;

	constructor(options: ColdEnginesOptions) {
		this.#options = options;
	}

	/** Decisions since the start in which a cold engine was left out, as this instance may send it nothing more for the moment. */
	get withheld(): number {
		return this.#withheld;
	}

	/** Number of cold engines that have a row. */
	count(now: number): number {
		return [...this.#engines].filter(([id, engine]) => this.#update(id, engine, now) && engine.start !== undefined).length;
	}

	/**
	 * Records a row of the table.
	 *
	 * @param context - `isInitial`: it is of the first table that this instance reads, so that the engine may have started long
	 * ago. `isUnchanged`: the row is known already, so that its time has begun to pass.
	 */
	recordRow({id, service, startedAt, address, coldRemaining}: EngineRecord, {isInitial, isUnchanged}: RowContext, now: number): void {
		const engine = this.#entry(id, service);
		const {start} = engine;
		if (!isInitial && (start === undefined || start.startedAt !== startedAt || start.address !== address)) {
			engine.startSeenAt = now;
			engine.origin = 'start';
			this.#suspectedStarts.end(id);
		}

		engine.start = {startedAt, address};
		this.#extend(engine, isUnchanged ? 0 : coldRemaining, 'row', now);
		this.#update(id, engine, now);
	}

	/** Records that the row of an engine is gone; when it comes back, the engine counts as started. */
	recordRemoval(id: string): void {
		const engine = this.#engines.get(id);
		if (engine) {
			engine.start = undefined;
		}
	}

	/**
	 * Records what an engine has stated in a response. It never ends an earlier statement sooner, as responses may arrive late.
	 *
	 * @returns whether peers have to be told, as the engine is cold for longer than was known.
	 */
	recordStatement(id: string, coldRemaining: number | undefined, now: number): boolean {
		const engine = this.#engines.get(id);
		if (!engine || coldRemaining === undefined) {
			return false;
		}

		const knownUntil = Math.max(now, this.#coldUntil(id, engine));
		this.#extend(engine, coldRemaining, 'response', now);
		this.#update(id, engine, now);
		return this.#coldUntil(id, engine) > knownUntil + extensionMargin;
	}

	/** Records that a connection to an engine failed, here or at a peer that has told of it: the engine may have started again. */
	recordFailure(id: string, origin: 'own' | 'peer', now: number): void {
		const engine = this.#engines.get(id);
		if (!engine || !this.#options.coldStart(engine.service)) {
			return;
		}

		if (origin === 'own') {
			this.#suspectedStarts.record(id, now);
		} else {
			this.#suspectedStarts.recordReport(id, now);
		}

		engine.origin = engine.isCold ? engine.origin : 'failure';
		this.#update(id, engine, now);
	}

	/** Time in milliseconds for which peers have to take the engine for cold after a failure; undefined where they need not be told. */
	takeFailureReport(id: string, now: number): number | undefined {
		const engine = this.#engines.get(id);
		const duration = engine && this.#options.coldStart(engine.service)?.duration;
		return duration !== undefined && this.#suspectedStarts.takeReport(id, now) ? duration : undefined;
	}

	/** Records that an engine has answered a request of this instance. */
	recordAnswer(id: string, now: number): void {
		this.#suspectedStarts.recordAnswer(id, now);
	}

	/** Whether an engine is known that takes few requests while it is cold. */
	hasColdLimit(id: string): boolean {
		const engine = this.#engines.get(id);
		return engine !== undefined && this.#options.coldStart(engine.service) !== undefined;
	}

	isCold(id: string, now: number): boolean {
		const engine = this.#engines.get(id);
		return engine !== undefined && this.#update(id, engine, now);
	}

	/** Leaves out the cold engines to which this instance may send nothing more for the moment. */
	withRoom(records: readonly EngineRecord[], now: number): readonly EngineRecord[] {
		const admitted = this.#admitted(records, now);
		this.#withheld += admitted.length < records.length ? 1 : 0;
		return admitted;
	}

	/** Reads which engines have room without counting a decision. */
	get readOnly(): Pick<ColdEngines, 'withRoom'> {
		return {withRoom: (records, now) => this.#admitted(records, now)};
	}

	/** Time in milliseconds after which an engine may have room: of this instance, or of another to which the caller may return. */
	timeUntilRoom(id: string, now: number): number {
		if (!this.isCold(id, now)) {
			return 0;
		}

		const engine = this.#engines.get(id)!;
		const allowance = this.#allowance(id, this.#fleetSize(now));
		const arrivals = this.#arrivalsOf(id, now);
		if (allowance > arrivals.length) {
			return 0;
		}

		const arrival = allowance === 0 ? undefined : arrivals.map(({at}) => at).toSorted((one, other) => one - other).at(-allowance);
		return Math.min(this.#coldUntil(id, engine) - now, arrival === undefined || !Number.isFinite(arrival) ? allowanceWindow : arrival + allowanceWindow - now);
	}

	/** Counts a request that is to arrive at an engine, cold or not, as it may turn cold before. @param key - Key of its placement. @param at - Infinite where the time of its sending is not known: it counts until then. */
	recordArrival(id: string, key: string, at: number, now: number): void {
		const engine = this.#engines.get(id);
		if (engine && this.#options.coldStart(engine.service)) {
			this.#arrivalsOf(id, now).push({key, at, recordedAt: now});
		}
	}

	/** Records that a request was sent, so that it arrives within the spread. */
	completeArrival(id: string, key: string, now: number): void {
		for (const arrival of this.#arrivalsOf(id, now)) {
			if (arrival.key === key) {
				arrival.at = Math.min(arrival.at, now);
			}
		}
	}

	/** Counts a request no longer of which nothing was sent. */
	withdrawArrival(id: string, key: string): void {
		const engine = this.#engines.get(id);
		if (engine) {
			engine.arrivals = engine.arrivals.filter(arrival => arrival.key !== key);
		}
	}

	/** Whether a counted request may be sent now: the engine may have turned cold since the decision, or the sending been delayed. It counts from now. */
	confirmArrival(id: string, key: string, now: number): boolean {
		const engine = this.#engines.get(id);
		if (!engine || !this.#options.coldStart(engine.service)) {
			return true;
		}

		const own = this.#arrivalsOf(id, now).find(arrival => arrival.key === key);
		const others = this.#arrivalsOf(id, now).filter(arrival => arrival.key !== key);
		if (this.#update(id, engine, now) && others.length >= this.#allowance(id, this.#fleetSize(now))) {
			this.#withheld += 1;
			engine.arrivals = others;
			return false;
		}

		engine.arrivals = [...others, {key, at: own?.at === Number.POSITIVE_INFINITY ? own.at : now, recordedAt: now}];
		return true;
	}

	#admitted(records: readonly EngineRecord[], now: number): readonly EngineRecord[] {
		const cold = records.filter(({id}) => this.isCold(id, now));
		if (cold.length === 0) {
			return records;
		}

		const fleetSize = this.#fleetSize(now);
		const isUsable = this.#knowsFleet(now) || cold.length === records.length;
		const withheld = new Set(cold.filter(({id}) => !isUsable || this.#arrivalsOf(id, now).length >= this.#allowance(id, fleetSize)).map(({id}) => id));
		return withheld.size === 0 ? records : records.filter(({id}) => !withheld.has(id));
	}

	#entry(id: string, service: string): EngineEntry {
		let engine = this.#engines.get(id);
		if (!engine) {
			const [oldest] = this.#engines.keys();
			if (this.#engines.size >= maximumEngines && oldest !== undefined) {
				this.#engines.delete(oldest);
				this.#suspectedStarts.end(oldest);
			}

			engine = {
				service, start: undefined, statedUntil: Number.NEGATIVE_INFINITY, startSeenAt: Number.NEGATIVE_INFINITY, arrivals: [], origin: 'start', isCold: false, sender: undefined,
			};
			this.#engines.set(id, engine);
		}

		engine.service = service;
		return engine;
	}

	#extend(engine: EngineEntry, coldRemaining: number | undefined, origin: ColdOrigin, now: number): void {
		const until = now + Math.min(maximumStatedTime, coldRemaining ?? 0);
		if (until > now && until > engine.statedUntil) {
			engine.statedUntil = until;
			engine.origin = engine.isCold ? engine.origin : origin;
		}
	}

	#coldUntil(id: string, {service, statedUntil, startSeenAt}: EngineEntry): number {
		const {coldStart, tableConfirmedAt} = this.#options;
		const known = coldStart(service);
		if (!known) {
			return Number.NEGATIVE_INFINITY;
		}

		const duration = Math.min(maximumStatedTime, known.duration);
		return Math.max(statedUntil, startSeenAt + duration, this.#suspectedStarts.until(id, {duration, tableConfirmedAt: tableConfirmedAt?.() ?? Number.NEGATIVE_INFINITY}));
	}

	/** Whether the engine is cold now; logs a change. */
	#update(id: string, engine: EngineEntry, now: number): boolean {
		const remaining = this.#coldUntil(id, engine) - now;
		const isCold = remaining > 0;
		if (isCold !== engine.isCold) {
			engine.isCold = isCold;
			if (isCold) {
				const fleetSize = this.#fleetSize(now);
				const share = this.#share(engine.service, fleetSize);
				this.#options.log.info('engine.cold', {
					engine: id, remaining: Math.round(remaining), origin: engine.origin, share: share.requests, is_sender: this.#isSender(id, engine, share, fleetSize),
				});
			} else {
				this.#options.log.info('engine.warm', {engine: id});
			}
		}

		return isCold;
	}

	#arrivalsOf(id: string, now: number): Arrival[] {
		const engine = this.#engines.get(id);
		if (!engine) {
			return [];
		}

		const counts = ({at, recordedAt}: Arrival) => Math.min(at, recordedAt + maximumUnsentTime) > now - allowanceWindow;
		if (!engine.arrivals.every(arrival => counts(arrival))) {
			engine.arrivals = engine.arrivals.filter(arrival => counts(arrival));
		}

		return engine.arrivals;
	}

	/** Most requests of this instance to a cold engine in a window. */
	#allowance(id: string, fleetSize: number): number {
		const engine = this.#engines.get(id)!;
		const share = this.#share(engine.service, fleetSize);
		return this.#isSender(id, engine, share, fleetSize) ? share.requests : 0;
	}

	#isSender(id: string, engine: EngineEntry, share: ColdShare, fleetSize: number): boolean {
		const {addresses} = this.#options.fleet();
		if (engine.sender?.share !== share || engine.sender.fleetSize !== fleetSize || engine.sender.addresses !== addresses) {
			const isSender = isColdSender(id, share, {ownIp: this.#options.ownIp, addresses, fleetSize});
			engine.sender = {
				isSender, share, fleetSize, addresses,
			};
		}

		return engine.sender.isSender;
	}

	#share(service: string, fleetSize: number): ColdShare {
		const {coldStart, limits} = this.#options;
		const known = coldStart(service);
		const requestsPerSecond = known?.requestsPerSecond ?? 0;
		const key = `${requestsPerSecond} ${fleetSize}`;
		let share = this.#shares.get(key);
		if (!share) {
			// One entry for each pair of a rate and a fleet size in use; both change seldom.
			if (this.#shares.size >= maximumEngines) {
				this.#shares.clear();
			}

			share = divideColdLimit({requestsPerSecond}, limits, fleetSize);
			this.#shares.set(key, share);
		}

		return share;
	}

	#knowsFleet(now: number): boolean {
		return this.#options.fleet().isKnown && now - this.#options.startedAt >= settlingTime;
	}

	/** Number of instances among which the limit is divided. */
	#fleetSize(now: number): number {
		const {largestSize} = this.#options.fleet();
		return this.#knowsFleet(now) ? largestSize : Math.max(largestSize, assumedFleetSize);
	}
}
