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

/** Longest random delay in milliseconds before an instance writes its address again after the store has lost it; only instances that start later need it. */
const maximumRewriteDelay = 2000;

/** Writes this instance's own rows to the store. */
export interface RowWriter {
	/** @returns the era of the store in which it has acknowledged the row; undefined where it states none. */
	write(table: string, key: string, value: string): Promise<number | undefined>;
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
	/** @default Math.random */
	random?: () => number;
};

/** Registers one instance. */
export class InstanceRegistration {
	readonly #options: InstanceRegistrationOptions;
	readonly #random: () => number;
	#isRegistering = false;
	#listedCount = 0;
	/** Era in which the store has acknowledged the row. */
	#writtenEra: number | undefined;
	/** Latest era that this instance has heard of. */
	#latestEra = Number.NEGATIVE_INFINITY;

	constructor(options: InstanceRegistrationOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
	}

	/** Instances that the store listed when it was last read. */
	get listedCount(): number {
		return this.#listedCount;
	}

	/**
	 * Writes the row, after a random delay so that not all instances write at once, and until the store has acknowledged it
	 * in its latest era. Does nothing if that is still to come from an earlier call.
	 *
	 * @param maximumDelay - In milliseconds.
	 */
	async register(maximumDelay: number): Promise<void> {
		if (this.#isRegistering) {
			return;
		}

		this.#isRegistering = true;
		let wait = maximumDelay * this.#random();
		do {
			await delay(wait); // eslint-disable-line no-await-in-loop
			wait = retryDelay * (0.5 + this.#random());
		} while (this.#options.isServing() && !await this.#write()); // eslint-disable-line no-await-in-loop

		this.#isRegistering = false;
	}

	/** Takes note of an era of the store that this instance or a peer has read. What was written in an earlier one may be lost and is written again. */
	recordEra(era: number): void {
		this.#latestEra = Math.max(this.#latestEra, era);
		if (this.#writtenEra !== undefined && this.#writtenEra < era) {
			void this.register(maximumRewriteDelay);
		}
	}

	/** Contacts all instances that are listed in the store. @returns their number, 0 if the store cannot be read. */
	async contactListed(): Promise<number> {
		const {store, table, messenger, log} = this.#options;
		try {
			const {rows} = await store.read(table.table);
			this.#listedCount = rows.length;
			messenger.contact(rows.flatMap(({value}) => value === undefined ? [] : [table.decode(value)]));
			return rows.length;
		} catch (error) {
			log.warn('instance.list-failed', {reason: errorMessage(error)});
			return 0;
		}
	}

	/** @returns whether the store has acknowledged the row in its latest era. */
	async #write(): Promise<boolean> {
		const {store, table, instance, ip, messenger, log} = this.#options;
		try {
			this.#writtenEra = await store.write(table.table, instance, ip) ?? this.#latestEra;
			log.info('instance.joined', {peers: messenger.peerCount, read: messenger.peerCount === 0 ? await this.contactListed() : 0});
			return this.#writtenEra >= this.#latestEra;
		} catch (error) {
			log.warn('instance.join-failed', {reason: errorMessage(error)});
			return false;
		}
	}
}
