/**
 * Keeps the accepted configuration in the platform's table service and follows it.
 *
 * @module
 */
import {z} from 'zod';
import {CarobquayError, errorMessage} from '../errors/errors.js';
import type {TableService} from '../platform/table.js';
import type {EventLog} from '../telemetry/log.js';
import {parseConfiguration} from './document.js';
import type {Configuration} from './model.js';

/** Key of the item that holds the configuration in force. */
const currentKey = 'configuration/current';

const storedConfiguration = z.strictObject({generation: z.int().positive(), text: z.string()});

/** A configuration with the document it was read from. */
export type AcceptedConfiguration = {configuration: Configuration; text: string};

/** What the store works with. */
export type ConfigurationStoreOptions = {
	table: TableService;
	log: EventLog;
	/** Time in milliseconds between looks at the table. */
	pollInterval: number;
	/** Takes each newer configuration. */
	onChange: (accepted: AcceptedConfiguration) => void;
};

/** Follows the configuration; what is in force here never goes back to a lower generation. */
export class ConfigurationStore {
	readonly #options: ConfigurationStoreOptions;
	#current: AcceptedConfiguration | undefined;
	#timer: NodeJS.Timeout | undefined;
	#stopped = false;

	constructor(options: ConfigurationStoreOptions) {
		this.#options = options;
	}

	/** The configuration in force here. */
	get current(): AcceptedConfiguration | undefined {
		return this.#current;
	}

	/** Looks once and goes on looking. Resolves also where the table cannot be read. */
	async start(): Promise<void> {
		await this.#poll();
	}

	stop(): void {
		this.#stopped = true;
		clearTimeout(this.#timer);
	}

	/**
	 * Proposes a whole document as the next generation.
	 *
	 * @throws {CarobquayError} 6001 where it is invalid, 6002 where another change came first, 5001 to 5003 by the table.
	 */
	async apply(text: string): Promise<Configuration> {
		const stored = await this.#read();
		const generation = (stored?.generation ?? 0) + 1;
		const configuration = parseConfiguration(text, generation);
		const result = await this.#options.table.transact({
			conditions: [{key: currentKey, version: stored?.version ?? 0}],
			writes: [{kind: 'put', key: currentKey, value: {generation, text}}],
		});
		if (!result.committed) {
			throw new CarobquayError('6002', {message: `another change was accepted as generation ${generation} first`});
		}

		this.#take({configuration, text});
		return configuration;
	}

	/** Takes a configuration that another instance has in force, if it is newer. */
	offer(generation: number, text: string): void {
		if (generation > (this.#current?.configuration.generation ?? 0)) {
			this.#take({configuration: parseConfiguration(text, generation), text});
		}
	}

	async #read(): Promise<{generation: number; text: string; version: number} | undefined> {
		const [item] = await this.#options.table.read([currentKey]);
		return item && {...storedConfiguration.parse(item.value), version: item.version};
	}

	async #poll(): Promise<void> {
		try {
			const stored = await this.#read();
			if (stored && stored.generation > (this.#current?.configuration.generation ?? 0)) {
				this.#take({configuration: parseConfiguration(stored.text, stored.generation), text: stored.text});
			}
		} catch (error) {
			this.#options.log.warn('configuration.unreadable', {error: errorMessage(error)});
		}

		if (!this.#stopped) {
			this.#timer = setTimeout(() => {
				void this.#poll();
			}, this.#options.pollInterval);
		}
	}

	#take(accepted: AcceptedConfiguration): void {
		if (accepted.configuration.generation <= (this.#current?.configuration.generation ?? 0)) {
			return;
		}

		this.#current = accepted;
		this.#options.log.info('configuration.in-force', {generation: accepted.configuration.generation});
		this.#options.onChange(accepted);
	}
}
