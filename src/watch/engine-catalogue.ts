/**
 * Engines as they describe themselves in the platform's store.
 *
 * @module
 */
import {errorMessage} from '../errors/errors.js';
import type {EngineRecord} from '../serving/model.js';
import type {EventLog} from '../telemetry/log.js';
import type {RowChange} from './row-source.js';
import type {TableListener} from './table-watch.js';

/** Time in milliseconds after an outage of the store in which entries that lapsed meanwhile come back; the platform's figure. */
const expiryGracePeriod = 2000;

/** What the catalogue works with. */
export type EngineCatalogueOptions = {
	log: EventLog;
	/** Decodes one entry. @throws where it names no engine that may be used. */
	decode: (id: string, value: string) => EngineRecord;
	/** Told of an engine that is gone, drains, or has started anew. */
	onChange: (id: string, record: EngineRecord | undefined) => void;
};

/** The engines that are known, each under its id. */
export class EngineCatalogue implements TableListener {
	readonly #options: EngineCatalogueOptions;
	readonly #engines = new Map<string, EngineRecord>();
	/** Timers of engines whose entries were missing after an outage. */
	readonly #pendingRemovals = new Map<string, NodeJS.Timeout>();
	#byService = new Map<string, EngineRecord[]>();
	#isOutageOrGracePeriod = false;
	#isRecoveringFromOutage = false;
	#graceTimer: NodeJS.Timeout | undefined;

	constructor(options: EngineCatalogueOptions) {
		this.#options = options;
	}

	get size(): number {
		return this.#engines.size;
	}

	/** Engines of a service that take new work. */
	ready(service: string): readonly EngineRecord[] {
		return this.#byService.get(service) ?? [];
	}

	get(id: string): EngineRecord | undefined {
		return this.#engines.get(id);
	}

	onSnapshot(rows: readonly RowChange[], regained: boolean): void {
		if (regained) {
			this.#options.log.info('store.regained', {table: 'engines', known: this.#engines.size});
			this.#isRecoveringFromOutage = true;
			this.#startGracePeriod();
		}

		const present = new Set(rows.map(row => row.key));
		this.onChanges(rows);
		for (const id of this.#engines.keys()) {
			if (!present.has(id)) {
				this.#handleMissing(id);
			}
		}

		this.#rebuildIndex();
	}

	onChanges(rows: readonly RowChange[]): void {
		for (const {key, value, removed} of rows) {
			if (removed) {
				this.#handleMissing(key);
			} else {
				this.#update(key, value);
			}
		}

		this.#rebuildIndex();
	}

	onStoreUnavailable(reason: string): void {
		this.#isOutageOrGracePeriod = true;
		this.#isRecoveringFromOutage = false;
		clearTimeout(this.#graceTimer);
		this.#options.log.warn('store.lost', {table: 'engines', known: this.#engines.size, reason});
	}

	/** Whether the store answers this instance again since less than the grace, so that entries may be missing because they lapsed. */
	get isRecoveringFromOutage(): boolean {
		return this.#isRecoveringFromOutage;
	}

	/** Another instance has just been through an outage: entries that go missing now may have lapsed in it. */
	onPeerOutage(): void {
		if (!this.#isOutageOrGracePeriod) {
			this.#startGracePeriod();
		}
	}

	/** Stops using an engine whose address another one has taken. */
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
		this.#graceTimer = setTimeout(() => {
			this.#isOutageOrGracePeriod = false;
			this.#isRecoveringFromOutage = false;
		}, expiryGracePeriod);
	}

	#update(id: string, value: string | undefined): void {
		this.#cancelRemoval(id);
		const before = this.#engines.get(id);
		try {
			const record = this.#options.decode(id, value ?? '');
			this.#engines.set(id, record);
			if (before?.state !== record.state || before.startedAt !== record.startedAt || before.address !== record.address) {
				this.#options.log.info('engine.known', {
					engine: id, service: record.service, address: record.address, state: record.state, before: before?.state, started: record.startedAt,
				});
				this.#options.onChange(id, record);
			}
		} catch (error) {
			this.#options.log.warn('engine.unreadable', {engine: id, reason: errorMessage(error)});
			if (before) {
				this.#removeEngine(id, 'entry unreadable');
			}
		}
	}

	/** Entries that are missing right after an outage may have lapsed while their engines went on. */
	#handleMissing(id: string): void {
		if (!this.#engines.has(id) || this.#pendingRemovals.has(id)) {
			return;
		}

		if (!this.#isOutageOrGracePeriod) {
			this.#removeEngine(id, 'entry removed');
			return;
		}

		this.#options.log.info('engine.lapsed', {engine: id, grace: expiryGracePeriod});
		this.#pendingRemovals.set(id, setTimeout(() => {
			this.#pendingRemovals.delete(id);
			this.#removeEngine(id, 'entry did not come back');
			this.#rebuildIndex();
		}, expiryGracePeriod));
	}

	#cancelRemoval(id: string): void {
		clearTimeout(this.#pendingRemovals.get(id));
		this.#pendingRemovals.delete(id);
	}

	#removeEngine(id: string, reason: string): void {
		this.#cancelRemoval(id);
		this.#engines.delete(id);
		this.#options.log.info('engine.gone', {engine: id, reason});
		this.#options.onChange(id, undefined);
	}

	#rebuildIndex(): void {
		this.#byService = new Map();
		for (const record of this.#engines.values()) {
			if (record.state === 'ready') {
				const members = this.#byService.get(record.service) ?? [];
				members.push(record);
				this.#byService.set(record.service, members);
			}
		}
	}
}
