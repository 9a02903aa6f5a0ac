/**
 * Failure domains that the operator has evacuated: their engines get no new request.
 *
 * Handles the loss of a whole domain that is planned. The set follows from the rows of a replicated table alone, so that an
 * instance that hears only peers knows it as well, and an unreachable store leaves it unchanged.
 *
 * @module
 */
import type {EventLog} from '../telemetry/log.js';
import type {RowChange} from './row-source.js';
import type {StorePosition} from './store-position.js';
import type {RowOrigin, TableListener} from './table-watch.js';

/** Options of `Evacuations`. */
export type EvacuationsOptions = {
	log: EventLog;
	/** The failure domain that a row evacuates; undefined for rows of other kinds. */
	decode: (key: string) => string | undefined;
	/** Number of known engines of a failure domain. */
	engineCount: (failureDomain: string) => number;
	/** Called with the whole set after each change. */
	onChange: (failureDomains: ReadonlySet<string>) => void;
};

/** Failure domains that are evacuated after changes of rows. A row evacuates its domain until it is removed, whatever its value, which may be empty or unreadable. */
export function applyEvacuationRows(known: ReadonlySet<string>, rows: readonly RowChange[], decode: EvacuationsOptions['decode']): ReadonlySet<string> {
	const result = new Set(known);
	for (const {key, removed} of rows) {
		const failureDomain = decode(key);
		if (failureDomain === undefined) {
			continue;
		}

		if (removed) {
			result.delete(failureDomain);
		} else {
			result.add(failureDomain);
		}
	}

	return result;
}

/** Evacuated failure domains as one instance knows them. */
export class Evacuations implements TableListener {
	readonly #options: EvacuationsOptions;
	#failureDomains: ReadonlySet<string> = new Set();

	constructor(options: EvacuationsOptions) {
		this.#options = options;
	}

	get size(): number {
		return this.#failureDomains.size;
	}

	onSnapshot(rows: readonly RowChange[], _isAfterOutage: boolean, _position: StorePosition, origin: RowOrigin = 'store'): void {
		this.#replace(applyEvacuationRows(new Set(), rows, this.#options.decode), origin);
	}

	onChanges(rows: readonly RowChange[], _position: StorePosition, origin: RowOrigin = 'store'): void {
		this.#replace(applyEvacuationRows(this.#failureDomains, rows, this.#options.decode), origin);
	}

	onStoreUnavailable(): void {
		// The set stays as it is.
	}

	#replace(failureDomains: ReadonlySet<string>, origin: RowOrigin): void {
		const {log, engineCount, onChange} = this.#options;
		const before = this.#failureDomains;
		const started = [...failureDomains].filter(domain => !before.has(domain));
		const ended = [...before].filter(domain => !failureDomains.has(domain));
		if (started.length + ended.length === 0) {
			return;
		}

		this.#failureDomains = failureDomains;
		onChange(failureDomains);
		for (const domain of started) {
			log.info('evacuation.started', {domain, origin, engines: engineCount(domain)});
		}

		for (const domain of ended) {
			log.info('evacuation.ended', {domain, origin, engines: engineCount(domain)});
		}
	}
}
