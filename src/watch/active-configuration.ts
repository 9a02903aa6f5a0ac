/**
 * Holds the newest accepted configuration.
 *
 * @module
 */
import type {ServingConfiguration} from '../serving/model.js';
import {RouteTable} from '../serving/route-table.js';
import type {EventLog} from '../telemetry/log.js';
import {errorMessage} from '../errors/errors.js';
import type {RowChange} from './row-source.js';
import type {TableListener} from './table-watch.js';

/** Where a configuration was received from. */
export type ConfigurationOrigin = 'store' | 'peer';

/** Options of an `ActiveConfiguration`. */
export type ActiveConfigurationOptions = {
	log: EventLog;
	/** Key of the row that holds the configuration. */
	key: string;
	/** Decodes the row's value. @throws if the value is not a valid configuration. */
	decode: (value: string) => ServingConfiguration;
	/** Called with the routes of each configuration that becomes active. */
	onChange: (routes: RouteTable) => void;
};

/** The active configuration of this instance; its version never decreases. */
export class ActiveConfiguration implements TableListener {
	readonly #options: ActiveConfigurationOptions;
	#routes: RouteTable | undefined;
	#encodedValue: string | undefined;

	constructor(options: ActiveConfigurationOptions) {
		this.#options = options;
	}

	/** Undefined until a configuration has been received. */
	get routes(): RouteTable | undefined {
		return this.#routes;
	}

	/** Version of the active configuration; 0 if there is none. */
	get version(): number {
		return this.#routes?.version ?? 0;
	}

	/** Row value of the active configuration as it was received, for other instances. */
	get encodedValue(): string | undefined {
		return this.#encodedValue;
	}

	onSnapshot(rows: readonly RowChange[], isAfterOutage: boolean): void {
		if (isAfterOutage) {
			this.#options.log.info('store.regained', {table: 'configuration', version: this.version});
		}

		this.onChanges(rows);
	}

	onChanges(rows: readonly RowChange[]): void {
		for (const row of rows) {
			if (row.key === this.#options.key && row.value !== undefined) {
				this.apply(row.value, 'store');
			}
		}
	}

	onStoreUnavailable(reason: string): void {
		this.#options.log.warn('store.lost', {table: 'configuration', version: this.version, reason});
	}

	/** Makes a configuration active unless it is older than the current one; one of the same version that reads otherwise replaces it. */
	apply(value: string, origin: ConfigurationOrigin): void {
		const {log, onChange} = this.#options;
		const routes = value === this.#encodedValue ? undefined : this.#decode(value, origin);
		if (!routes) {
			return;
		}

		if (routes.version < this.version) {
			log.info('configuration.ignored', {version: routes.version, in_force: this.version, origin});
			return;
		}

		const {configuration} = routes;
		log.info('configuration.in-force', {
			version: configuration.version, before: this.version, origin, routes: configuration.routes.length, customers: configuration.customers?.length,
		});
		if (configuration.invalidFields && configuration.invalidFields.length > 0) {
			log.warn('configuration.fields-ignored', {version: configuration.version, count: configuration.invalidFields.length, first: configuration.invalidFields[0]});
		}

		this.#routes = routes;
		this.#encodedValue = value;
		try {
			onChange(routes);
		} catch (error) {
			log.error('configuration.listener-failed', {version: this.version, reason: errorMessage(error)});
		}
	}

	#decode(value: string, origin: ConfigurationOrigin): RouteTable | undefined {
		const {log, decode} = this.#options;
		try {
			return new RouteTable(decode(value));
		} catch (error) {
			log.error('configuration.unreadable', {origin, version: this.version, reason: errorMessage(error)});
			return undefined;
		}
	}
}
