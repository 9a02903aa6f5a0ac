/**
 * The row of this instance in the store's list of instances, and the others in it.
 *
 * @module
 */
import {errorMessage} from '../errors/errors.js';
import type {PeerMessenger} from '../peers/peer-messenger.js';
import {delay} from '../request/time-limit.js';
import type {EventLog} from '../telemetry/log.js';
import type {RowSource} from '../watch/row-source.js';

/** Mean time in milliseconds between two attempts to write the row. */
const retryDelay = 1000;

/** Writes this instance's own rows to the store. */
export interface RowWriter {
	write(table: string, key: string, value: string): Promise<void>;
}

/** Options of an `InstanceRegistration`. */
export type InstanceRegistrationOptions = {
	store: RowSource & RowWriter;
	/** One row per instance, with its IP address. */
	table: {table: string; decode: (value: string) => string};
	instance: string;
	ip: string;
	log: EventLog;
	messenger: Pick<PeerMessenger, 'peerCount' | 'contact'>;
	/** Whether this instance is still to be found by others. */
	isServing: () => boolean;
};

/** Registers one instance. */
export class InstanceRegistration {
	readonly #options: InstanceRegistrationOptions;
	#isWritePending = false;

	constructor(options: InstanceRegistrationOptions) {
		this.#options = options;
	}

	/**
	 * Writes the row, after a random delay so that not all instances write at once, and until the store has acknowledged it.
	 * Does nothing if that is still to come from an earlier call.
	 *
	 * @param maximumDelay - In milliseconds.
	 */
	async register(maximumDelay: number): Promise<void> {
		if (this.#isWritePending) {
			return;
		}

		let wait = maximumDelay * Math.random();
		do {
			this.#isWritePending = true;
			await delay(wait); // eslint-disable-line no-await-in-loop
			this.#isWritePending = false;
			wait = retryDelay * (0.5 + Math.random());
		} while (this.#options.isServing() && !await this.#write()); // eslint-disable-line no-await-in-loop
	}

	/** Contacts all instances that are listed in the store. @returns their number, 0 if the store cannot be read. */
	async contactListed(): Promise<number> {
		const {store, table, messenger, log} = this.#options;
		try {
			const {rows} = await store.read(table.table);
			messenger.contact(rows.flatMap(({value}) => value === undefined ? [] : [table.decode(value)]));
			return rows.length;
		} catch (error) {
			log.warn('instance.list-failed', {reason: errorMessage(error)});
			return 0;
		}
	}

	/** @returns whether the store has acknowledged the row. */
	async #write(): Promise<boolean> {
		const {store, table, instance, ip, messenger, log} = this.#options;
		try {
			await store.write(table.table, instance, ip);
			log.info('instance.joined', {peers: messenger.peerCount, read: messenger.peerCount === 0 ? await this.contactListed() : 0});
			return true;
		} catch (error) {
			log.warn('instance.join-failed', {reason: errorMessage(error)});
			return false;
		}
	}
}
