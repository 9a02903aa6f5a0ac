/**
 * Sends what is new of the unwritten tail to its keeper, a message at a time.
 *
 * @module
 */
import {errorMessage} from '../errors/errors.js';
import type {EventLog} from '../telemetry/log.js';
import type {NumberedRecord} from './pending-records.js';
import type {ChainPosition} from './segment.js';
import type {StoreTail, TailKeeper} from './tail.js';

/** Time in milliseconds between two messages where none is set. */
const defaultInterval = 50;

/** Greatest number of records in one message. */
const recordsPerMessage = 1000;

/** The tail as it stands. */
export type CurrentTail = {
	incarnation: string;
	position: ChainPosition;
	writtenThrough: number;
	/** Unwritten records, oldest first. */
	records: readonly NumberedRecord[];
};

export type TailSenderOptions = {
	keeper: TailKeeper;
	log: EventLog;
	current: () => CurrentTail;
	/**
	 * Time in milliseconds between two messages.
	 * @default 50
	 */
	interval?: number;
};

/** Keeps a keeper up to date. */
export class TailSender {
	readonly #options: TailSenderOptions;
	#through = 0;
	#sending = false;
	#held = true;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: TailSenderOptions) {
		this.#options = options;
	}

	start(): void {
		this.#timer = setInterval(() => {
			void this.#send(false);
		}, this.#options.interval ?? defaultInterval);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Tells the keeper that the chain is closed. */
	async close(): Promise<void> {
		this.stop();
		this.#sending = false;
		await this.#send(true);
	}

	async #send(closed: boolean): Promise<void> {
		if (this.#sending) {
			return;
		}

		this.#sending = true;
		try {
			this.#through = await this.#options.keeper.store(this.#message(closed));
			this.#report(true);
		} catch (error) {
			this.#report(false, errorMessage(error));
		}

		this.#sending = false;
	}

	#message(closed: boolean): StoreTail {
		const {incarnation, position, writtenThrough, records} = this.#options.current();
		const after = Math.max(this.#through, writtenThrough);
		return {
			kind: 'ledger.store-tail',
			incarnation,
			position,
			writtenThrough,
			after,
			records: records.filter(({number}) => number > after).slice(0, recordsPerMessage),
			closed,
		};
	}

	/** Logs when the tail ceases to be held and when it is held again. */
	#report(held: boolean, reason?: string): void {
		if (held !== this.#held) {
			this.#held = held;
			this.#options.log.warn(held ? 'ledger.tail-held' : 'ledger.tail-not-held', {reason});
		}
	}
}
