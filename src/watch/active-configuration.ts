/**
 * Keeps the newest accepted configuration in force.
 *
 * @module
 */
import type {ServingConfiguration} from '../serving/model.js';
import {RouteTable} from '../serving/route-table.js';
import type {EventLog} from '../telemetry/log.js';
import {errorMessage} from '../errors/errors.js';
import type {RowChange} from './row-source.js';
import type {TableListener} from './table-watch.js';

/** Where a configuration was learned. */
export type ConfigurationOrigin = 'store' | 'peer';

/** What the watch works with. */
export type ActiveConfigurationOptions = {
	log: EventLog;
	/** Key of the row that holds the configuration. */
	key: string;
	/** Decodes the row's value. @throws where it is no configuration. */
	decode: (encodedValue: string) => ServingConfiguration;
	/** Told of each configuration that comes into force. */
	onChange: (routes: RouteTable) => void;
};

/** The configuration in force at this instance; its version never falls. */
export class ActiveConfiguration implements TableListener {
	readonly #options: ActiveConfigurationOptions;
	#routes: RouteTable | undefined;
	#encodedValue: string | undefined;

	constructor(options: ActiveConfigurationOptions) {
		this.#options = options;
	}

	/** Undefined until a configuration is known. */
	get routes(): RouteTable | undefined {
		return this.#routes;
	}

	/** Version in force; 0 where none is known. */
	get version(): number {
		return this.#routes?.version ?? 0;
	}

	/** The configuration in force as it was read, for other instances. */
	get value(): string | undefined {
		return this.#encodedValue;
	}

	onSnapshot(rows: readonly RowChange[], regained: boolean): void {
		if (regained) {
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

	/** Puts a configuration in force if it is newer than the one known. */
	apply(value: string, origin: ConfigurationOrigin): void {
		const {log, decode, onChange} = this.#options;
		if (value === this.#encodedValue) {
			return;
		}

		try {
			const configuration = decode(value);
			if (configuration.version <= this.version) {
				return;
			}

			const previousVersion = this.version;
			this.#routes = new RouteTable(configuration);
			this.#encodedValue = value;
			log.info('configuration.in-force', {
				version: configuration.version, before: previousVersion, origin, routes: configuration.routes.length,
				customers: configuration.customers?.length,
			});
			onChange(this.#routes);
		} catch (error) {
			log.error('configuration.unreadable', {origin, version: this.version, reason: errorMessage(error)});
		}
	}
}
