/**
 * Memory that engines set aside for one prompt, held for as long as the request lasts and released after it.
 *
 * @module
 */
import {randomBytes} from 'node:crypto';
import type {EngineRecord} from '../serving/model.js';
import type {EventLog} from '../telemetry/log.js';

/** What is asked of an engine. */
export type ReservationTerms = {
	/** Chosen by this instance, unique. */
	id: string;
	tokens: number;
	/** Time in milliseconds after which the engine takes the memory back by itself. */
	hold: number;
};

/** Orders that engines take. */
export interface EngineOrders {
	/** Resolves with whether the memory is set aside; without an answer, with false. */
	reserve(engine: {host: string; port: number}, terms: ReservationTerms): Promise<boolean>;
	/** Resolves with whether the engine confirmed. */
	release(engine: {host: string; port: number}, id: string): Promise<boolean>;
}

/** Share of the platform's bound on unused memory that one hold lasts, so that a dead holder's memory is free in time. */
const holdShare = 0.85;

/** Share of a hold after which it is renewed; two renewals may go unanswered before it ends. */
const renewalShare = 0.3;

/** Times that a release is sent until an engine confirms it; after that the hold ends by itself. */
const releaseTries = 3;

/** Bytes of an id. */
const idBytes = 8;

type Held = {engine: EngineRecord; id: string; tokens: number};

/** What reservations are made with. */
export type ReservationsOptions = {
	orders: EngineOrders;
	log: EventLog;
	/** Time in milliseconds after a request's end at which its memory must be free. */
	memoryRelease: number;
	/** Longest time in milliseconds of one hold. */
	longestHold: number;
};

/** Reservations of one request. */
export class Reservations {
	readonly #options: ReservationsOptions;
	readonly #requestId: string;
	#held: Held[] = [];
	#renewal: NodeJS.Timeout | undefined;

	constructor(requestId: string, options: ReservationsOptions) {
		this.#requestId = requestId;
		this.#options = options;
	}

	/**
	 * Sets memory aside at all engines named, or at none.
	 *
	 * @returns the id at each engine, or the engine that had no memory or did not answer.
	 */
	async reserve(wanted: ReadonlyArray<{engine: EngineRecord; tokens: number}>): Promise<{ids: Map<string, string>} | {failed: EngineRecord}> {
		this.#held = wanted.map(({engine, tokens}) => ({engine, tokens, id: randomBytes(idBytes).toString('hex')}));
		const outcomes = await Promise.all(this.#held.map(async held => this.#order(held)));
		const failed = this.#held.find((_, index) => !outcomes[index]);
		if (failed) {
			this.#options.log.warn('reservation.failed', {request: this.#requestId, engine: failed.engine.id, tokens: failed.tokens});
			this.release();
			return {failed: failed.engine};
		}

		this.#options.log.info('reservation.held', {
			request: this.#requestId, engines: this.#held.map(({engine}) => engine.id).join(','), tokens: this.#held.map(({tokens}) => tokens).join(','),
		});
		this.#renewal = setInterval(() => {
			for (const held of this.#held) {
				void this.#order(held);
			}
		}, this.#hold * renewalShare);
		return {ids: new Map(this.#held.map(({engine, id}) => [engine.id, id]))};
	}

	/** Gives all memory back. */
	release(): void {
		clearInterval(this.#renewal);
		for (const held of this.#held) {
			void this.#release(held);
		}

		this.#held = [];
	}

	get #hold(): number {
		return Math.floor(Math.min(this.#options.memoryRelease * holdShare, this.#options.longestHold));
	}

	async #order({engine, id, tokens}: Held): Promise<boolean> {
		return this.#options.orders.reserve(engine, {id, tokens, hold: this.#hold});
	}

	async #release({engine, id}: Held): Promise<void> {
		for (let tries = 0; tries < releaseTries; tries++) {
			if (await this.#options.orders.release(engine, id)) { // eslint-disable-line no-await-in-loop
				return;
			}
		}

		this.#options.log.warn('reservation.release-unconfirmed', {
			request: this.#requestId, engine: engine.id, reservation: id, ends: this.#hold,
		});
	}
}
