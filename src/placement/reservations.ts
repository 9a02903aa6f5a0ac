/**
 * Memory that engines set aside for one prompt, held for as long as the request lasts and released after it.
 *
 * @module
 */
import {randomBytes} from 'node:crypto';
import type {EngineRecord} from '../serving/model.js';
import type {EventLog} from '../telemetry/log.js';

/** What is asked of an engine. */
export type ReservationRequest = {
	/** Chosen by this instance, unique. */
	id: string;
	tokens: number;
	/** Time in milliseconds after which the engine takes the memory back by itself. */
	lifetime: number;
};

/** Orders that engines take. */
export interface EngineReservationClient {
	/** Resolves with whether the memory is set aside; without an answer, with false. */
	reserve(engine: {host: string; port: number}, terms: ReservationRequest): Promise<boolean>;
	/** Resolves with whether the engine confirmed. */
	release(engine: {host: string; port: number}, id: string): Promise<boolean>;
}

/** Share of the platform's bound on unused memory that one hold lasts, so that a dead holder's memory is free in time. */
const lifetimeShare = 0.85;

/** Share of a hold after which it is renewed; two renewals may go unanswered before it ends. */
const renewalIntervalShare = 0.3;

/** Times that a release is sent until an engine confirms it; after that the hold ends by itself. */
const maximumReleaseAttempts = 3;

/** Bytes of an id. */
const reservationIdBytes = 8;

type Reservation = {engine: EngineRecord; id: string; tokens: number};

/** What reservations are made with. */
export type ReservationsOptions = {
	client: EngineReservationClient;
	log: EventLog;
	/** Time in milliseconds after a request's end at which its memory must be free. */
	memoryReleaseTimeout: number;
	/** Longest time in milliseconds of one hold. */
	maximumReservationLifetime: number;
};

/** Reservations of one request. */
export class Reservations {
	readonly #options: ReservationsOptions;
	readonly #requestId: string;
	#reservations: Reservation[] = [];
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
	async reserve(wanted: ReadonlyArray<{engine: EngineRecord; tokens: number}>): Promise<{ids: Map<string, string>} | {failedEngine: EngineRecord}> {
		this.#reservations = wanted.map(({engine, tokens}) => ({engine, tokens, id: randomBytes(reservationIdBytes).toString('hex')}));
		const outcomes = await Promise.all(this.#reservations.map(async held => this.#reserveOne(held)));
		const failed = this.#reservations.find((_, index) => !outcomes[index]);
		if (failed) {
			this.#options.log.warn('reservation.failed', {request: this.#requestId, engine: failed.engine.id, tokens: failed.tokens});
			this.release();
			return {failedEngine: failed.engine};
		}

		this.#options.log.info('reservation.held', {
			request: this.#requestId, engines: this.#reservations.map(({engine}) => engine.id).join(','), tokens: this.#reservations.map(({tokens}) => tokens).join(','),
		});
		this.#renewal = setInterval(() => {
			for (const held of this.#reservations) {
				void this.#reserveOne(held);
			}
		}, this.#lifetime * renewalIntervalShare);
		return {ids: new Map(this.#reservations.map(({engine, id}) => [engine.id, id]))};
	}

	/** Gives all memory back. */
	release(): void {
		clearInterval(this.#renewal);
		for (const held of this.#reservations) {
			void this.#releaseOne(held);
		}

		this.#reservations = [];
	}

	get #lifetime(): number {
		return Math.floor(Math.min(this.#options.memoryReleaseTimeout * lifetimeShare, this.#options.maximumReservationLifetime));
	}

	async #reserveOne({engine, id, tokens}: Reservation): Promise<boolean> {
		return this.#options.client.reserve(engine, {id, tokens, lifetime: this.#lifetime});
	}

	async #releaseOne({engine, id}: Reservation): Promise<void> {
		for (let tries = 0; tries < maximumReleaseAttempts; tries++) {
			if (await this.#options.client.release(engine, id)) { // eslint-disable-line no-await-in-loop
				return;
			}
		}

		this.#options.log.warn('reservation.release-unconfirmed', {
			request: this.#requestId, engine: engine.id, reservation: id, ends: this.#lifetime,
		});
	}
}
