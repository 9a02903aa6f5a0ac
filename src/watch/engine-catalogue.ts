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
const lapsedGrace = 2000;

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
	readonly #lapsed = new Map<string, NodeJS.Timeout>();
	#byService = new Map<string, EngineRecord[]>();
	#isOutage = false;
	#isRegained = false;
	#graceEnds: NodeJS.Timeout | undefined;

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

	replaced(rows: readonly RowChange[], regained: boolean): void {
		if (regained) {
			this.#options.log.info('store.regained', {table: 'engines', known: this.#engines.size});
			this.#isRegained = true;
			this.#beginGrace();
		}

		const present = new Set(rows.map(row => row.key));
		this.changed(rows);
		for (const id of this.#engines.keys()) {
			if (!present.has(id)) {
				this.#missing(id);
			}
		}

		this.#index();
	}

	changed(rows: readonly RowChange[]): void {
		for (const {key, value, removed} of rows) {
			if (removed) {
				this.#missing(key);
			} else {
				this.#described(key, value);
			}
		}

		this.#index();
	}

	lost(reason: string): void {
		this.#isOutage = true;
		this.#isRegained = false;
		clearTimeout(this.#graceEnds);
		this.#options.log.warn('store.lost', {table: 'engines', known: this.#engines.size, reason});
	}

	/** Whether the store answers this instance again since less than the grace, so that entries may be missing because they lapsed. */
	get isAfterOutage(): boolean {
		return this.#isRegained;
	}

	/** Another instance has just been through an outage: entries that go missing now may have lapsed in it. */
	expectLapses(): void {
		if (!this.#isOutage) {
			this.#beginGrace();
		}
	}

	/** Stops using an engine whose address another one has taken. */
	forget(id: string, reason: string): void {
		if (this.#engines.has(id)) {
			this.#remove(id, reason);
			this.#index();
		}
	}

	close(): void {
		clearTimeout(this.#graceEnds);
		for (const timer of this.#lapsed.values()) {
			clearTimeout(timer);
		}
	}

	#beginGrace(): void {
		this.#isOutage = true;
		clearTimeout(this.#graceEnds);
		this.#graceEnds = setTimeout(() => {
			this.#isOutage = false;
			this.#isRegained = false;
		}, lapsedGrace);
	}

	#described(id: string, value: string | undefined): void {
		this.#cancelLapse(id);
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
				this.#remove(id, 'entry unreadable');
			}
		}
	}

	/** Entries that are missing right after an outage may have lapsed while their engines went on. */
	#missing(id: string): void {
		if (!this.#engines.has(id) || this.#lapsed.has(id)) {
			return;
		}

		if (!this.#isOutage) {
			this.#remove(id, 'entry removed');
			return;
		}

		this.#options.log.info('engine.lapsed', {engine: id, grace: lapsedGrace});
		this.#lapsed.set(id, setTimeout(() => {
			this.#lapsed.delete(id);
			this.#remove(id, 'entry did not come back');
			this.#index();
		}, lapsedGrace));
	}

	#cancelLapse(id: string): void {
		clearTimeout(this.#lapsed.get(id));
		this.#lapsed.delete(id);
	}

	#remove(id: string, reason: string): void {
		this.#cancelLapse(id);
		this.#engines.delete(id);
		this.#options.log.info('engine.gone', {engine: id, reason});
		this.#options.onChange(id, undefined);
	}

	#index(): void {
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
