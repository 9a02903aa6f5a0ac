/**
 * Engines registered in the platform's metadata store; each engine writes its own entry.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {errorMessage} from '../errors/errors.js';
import type {EngineRecord} from '../serving/model.js';
import type {EventLog} from '../telemetry/log.js';
import type {RowContext} from '../placement/cold-engines.js';
import {lapseGrace, type MissingEntry, rewriteTime} from './lapse-grace.js';
import type {RowChange} from './row-source.js';
import type {StorePosition} from './store-position.js';
import type {RowOrigin, TableListener} from './table-watch.js';

/** Options of an `EngineCatalogue`. */
export type EngineCatalogueOptions = {
	log: EventLog;
	/** Decodes one entry. @throws if it does not describe a usable engine. */
	decode: (id: string, value: string) => EngineRecord;
	/**
	 * Time in milliseconds after which an engine that has left must get no request.
	 * @default the grace period of the platform
	 */
	drainLimit?: number | undefined;
	/**
	 * Time in milliseconds since the store was last shown to be away.
	 * @default it never was
	 */
	timeSinceStoreAway?: (() => number) | undefined;
	/** Called with a new engine, one whose state, start time or address has changed, and, with `undefined`, one that was removed. @param hasRestarted - Whether another start was known under its id. */
	onChange: (id: string, record: EngineRecord | undefined, hasRestarted: boolean) => void;
	/** Called with each row that is read, before `onChange`. */
	onRow?: (record: EngineRecord, context: RowContext) => void;
};

/** Most engines whose last start is remembered, also after they were removed; of more, the oldest ones are forgotten. */
const maximumRememberedStarts = 1000;

/** The last known start of an engine. */
type EngineStart = {startedAt: number | undefined; hasDrained: boolean};

/** Returned while a service has no ready engine; always the same list, as consumers cache what they derive from it. */
const noEngines: readonly EngineRecord[] = [];

/** Known engines by id. */
export class EngineCatalogue implements TableListener {
	readonly #options: EngineCatalogueOptions;
	readonly #engines = new Map<string, EngineRecord>();
	/** Removal timers of engines whose entries went missing during or right after an outage. */
	readonly #pendingRemovals = new Map<string, NodeJS.Timeout>();
	readonly #starts = new Map<string, EngineStart>();
	/** Last write of each row; the store may give a row with the same text a new version. */
	readonly #writes = new Map<string, {value: string | undefined; version: number | undefined}>();
	#byService = new Map<string, EngineRecord[]>();
	#evacuatedDomains: ReadonlySet<string> = new Set();
	#hasReadTable = false;
	#isOutageOrGracePeriod = false;
	#isRecoveringFromOutage = false;
	#graceTimer: NodeJS.Timeout | undefined;
	/** Monotonic time in milliseconds at which the grace period ends. */
	#graceEndsAt = 0;

	constructor(options: EngineCatalogueOptions) {
		this.#options = options;
	}

	get size(): number {
		return this.#engines.size;
	}

	/** Engines of a service that accept new requests, without those of evacuated failure domains. */
	ready(service: string): readonly EngineRecord[] {
		return this.#byService.get(service) ?? noEngines;
	}

	/** Engines of a service whose entries say that they are ready, also those of evacuated failure domains. */
	stated(service: string): readonly EngineRecord[] {
		return [...this.#engines.values()].filter(record => record.service === service && record.state === 'ready');
	}

	/** Names of the services that have ready engines. */
	get services(): readonly string[] {
		return [...this.#byService.keys()];
	}

	/** Engines of all services that accept new requests. */
	get allReady(): readonly EngineRecord[] {
		return [...this.#byService.values()].flat();
	}

	get(id: string): EngineRecord | undefined {
		return this.#engines.get(id);
	}

	/** Whether an engine may get new requests, by its own entry and the evacuations. */
	mayReceive({state, failureDomain}: EngineRecord): boolean {
		return state === 'ready' && !this.#evacuatedDomains.has(failureDomain);
	}

	/** Number of known engines of a failure domain, whatever their state. */
	countIn(failureDomain: string): number {
		return [...this.#engines.values()].filter(record => record.failureDomain === failureDomain).length;
	}

	/** Leaves the engines of these failure domains out of the ready ones. They stay known, as requests may be running there. */
	evacuate(failureDomains: ReadonlySet<string>): void {
		this.#evacuatedDomains = failureDomains;
		this.#rebuildIndex();
	}

	onSnapshot(rows: readonly RowChange[], isAfterOutage: boolean, _position?: StorePosition, origin: RowOrigin = 'store'): void {
		if (isAfterOutage) {
			this.#options.log.info('store.regained', {table: 'engines', known: this.#engines.size});
			this.#isRecoveringFromOutage = true;
			this.#startGracePeriod();
		}

		const present = new Set(rows.map(row => row.key));
		this.onChanges(rows);
		// A peer that has just started may send an empty copy of the table.
		this.#hasReadTable ||= this.#engines.size > 0 || origin === 'store';
		for (const id of this.#engines.keys()) {
			if (!present.has(id)) {
				this.#handleMissing(id, origin === 'peer' ? 'peer' : 'first-read');
			}
		}

		this.#rebuildIndex();
	}

	onChanges(rows: readonly RowChange[], _position?: StorePosition, origin: RowOrigin = 'store'): void {
		for (const {key, value, version, removed} of rows) {
			if (removed) {
				this.#handleMissing(key, origin === 'peer' ? 'peer' : 'change');
			} else {
				this.#update(key, value, version);
			}
		}

		this.#rebuildIndex();
	}

	onStoreUnavailable(reason: string): void {
		this.#isOutageOrGracePeriod = true;
		this.#graceEndsAt = 0;
		this.#isRecoveringFromOutage = false;
		clearTimeout(this.#graceTimer);
		this.#options.log.warn('store.lost', {table: 'engines', known: this.#engines.size, reason});
	}

	/** Entries that go missing from now on may have expired for as long as after an outage, but peers need not hear of it. */
	onOutageCovered(): void {
		this.#startGracePeriod();
	}

	/** Whether the store became reachable for this instance less than a grace period ago, so that entries may be missing because they expired. */
	get isRecoveringFromOutage(): boolean {
		return this.#isRecoveringFromOutage;
	}

	/** Whether the store was lost and came back so recently that engines may not have written their entries again. */
	get isInGracePeriod(): boolean {
		return performance.now() < this.#graceEndsAt;
	}

	/** Handles a store outage that a peer reports: entries that go missing now may have expired during it. */
	onPeerOutage(): void {
		if (!this.#isOutageOrGracePeriod) {
			this.#startGracePeriod();
		}
	}

	/** Gives an engine that states in a response that it leaves no new requests, whatever its entry says, until it has restarted. */
	recordLeaving(id: string): void {
		const start = this.#starts.get(id);
		if (start === undefined || start.hasDrained) {
			return;
		}

		start.hasDrained = true;
		this.#options.log.info('engine.leaving', {engine: id});
		const record = this.#engines.get(id);
		if (record) {
			this.#engines.set(id, {...record, state: 'draining'});
			this.#rebuildIndex();
		}
	}

	/** Stops using an engine whose address now belongs to another engine. */
	remove(id: string, reason: string): void {
		if (this.#engines.has(id)) {
			this.#removeEngine(id, reason);
			this.#rebuildIndex();
		}
	}

	close(): void {
		clearTimeout(this.#graceTimer);
		for (const timer of this.#pendingRemovals.values()) {
			clearTimeout(timer);
		}
	}

	#startGracePeriod(): void {
		this.#isOutageOrGracePeriod = true;
		clearTimeout(this.#graceTimer);
		this.#graceEndsAt = performance.now() + rewriteTime;
		this.#graceTimer = setTimeout(() => {
			this.#isOutageOrGracePeriod = false;
			this.#isRecoveringFromOutage = false;
		}, rewriteTime);
	}

	#update(id: string, value: string | undefined, version: number | undefined): void {
		this.#cancelRemoval(id);
		const previous = this.#engines.get(id);
		try {
			const knownStart = this.#starts.get(id);
			const record = this.#withKnownState(this.#options.decode(id, value ?? ''));
			this.#engines.set(id, record);
			const write = this.#writes.get(id);
			const isSameWrite = write?.value === value && (version === undefined || write?.version === undefined || write.version === version);
			this.#options.onRow?.(record, {isInitial: !this.#hasReadTable, isUnchanged: previous !== undefined && isSameWrite});
			this.#writes.set(id, {value, version});
			if (previous?.state !== record.state || previous.startedAt !== record.startedAt || previous.address !== record.address) {
				this.#options.log.info('engine.known', {
					engine: id, service: record.service, address: record.address, state: record.state, before: previous?.state, started: record.startedAt,
				});
				this.#options.onChange(id, record, knownStart !== undefined && knownStart.startedAt !== record.startedAt);
			}
		} catch (error) {
			this.#options.log.warn('engine.unreadable', {engine: id, reason: errorMessage(error)});
			if (previous) {
				this.#removeEngine(id, 'entry cannot be decoded');
			}
		}
	}

	/**
	 * An engine that drains does not become ready again until it has restarted, whatever an older copy of its entry says.
	 *
	 * @throws {TypeError} If the entry does not state the start of an engine that has stated it: another writer has left it.
	 */
	#withKnownState(record: EngineRecord): EngineRecord {
		const {id, startedAt} = record;
		const known = this.#starts.get(id);
		if (startedAt === undefined && known?.startedAt !== undefined) {
			throw new TypeError(`the entry of engine "${id}" states no start time, but an earlier one stated ${known.startedAt}`);
		}

		const hasDrained = record.state === 'draining' || (known?.hasDrained === true && known.startedAt === startedAt);
		this.#starts.delete(id);
		this.#starts.set(id, {startedAt, hasDrained});
		const [oldest] = this.#starts.keys();
		if (this.#starts.size > maximumRememberedStarts && oldest !== undefined) {
			this.#starts.delete(oldest);
		}

		return hasDrained ? {...record, state: 'draining'} : record;
	}

	/**
	 * Removes an engine whose entry is missing; during an outage only after a grace period, and after one when that of the outage
	 * ends, as entries of running engines may have expired. The engine may as well have left, so it is kept no longer than one
	 * that has may be used.
	 */
	#handleMissing(id: string, found: MissingEntry): void {
		if (!this.#engines.has(id) || this.#pendingRemovals.has(id)) {
			return;
		}

		if (!this.#isOutageOrGracePeriod) {
			this.#removeEngine(id, 'entry removed');
			return;
		}

		const timeLeft = this.#graceEndsAt - performance.now();
		const {drainLimit = rewriteTime, timeSinceStoreAway} = this.#options;
		const grace = lapseGrace({
			found, graceLeft: timeLeft > 0 ? timeLeft : rewriteTime, drainLimit, timeSinceStoreAway: timeSinceStoreAway?.() ?? Number.POSITIVE_INFINITY,
		});
		this.#options.log.info('engine.lapsed', {engine: id, grace: Math.round(grace), found});
		this.#pendingRemovals.set(id, setTimeout(() => {
			this.#pendingRemovals.delete(id);
			this.#removeEngine(id, 'entry not written again within the grace period');
			this.#rebuildIndex();
		}, grace));
	}

	#cancelRemoval(id: string): void {
		clearTimeout(this.#pendingRemovals.get(id));
		this.#pendingRemovals.delete(id);
	}

	#removeEngine(id: string, reason: string): void {
		this.#cancelRemoval(id);
		this.#engines.delete(id);
		this.#writes.delete(id);
		this.#options.log.info('engine.gone', {engine: id, reason});
		this.#options.onChange(id, undefined, false);
	}

	#rebuildIndex(): void {
		this.#byService = new Map();
		for (const record of this.#engines.values()) {
			if (this.mayReceive(record)) {
				const members = this.#byService.get(record.service) ?? [];
				members.push(record);
				this.#byService.set(record.service, members);
			}
		}
	}
}
