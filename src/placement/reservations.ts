/**
 * Memory reserved at engines for one prompt, kept for as long as the request lasts and released after it.
 *
 * @module
 */
import {randomBytes} from 'node:crypto';
import type {EngineRecord, EngineStatement} from '../serving/model.js';
import type {EventLog} from '../telemetry/log.js';
import type {EngineConnector} from '../upstream/engine-connector.js';
import type {EngineLinks} from '../relay/engine-links.js';

/** What is asked of an engine. */
export type ReservationRequest = {
	/** Chosen by this instance, unique. */
	id: string;
	tokens: number;
	/** Time in milliseconds after which the engine releases the memory by itself. */
	lifetime: number;
};

/** How an engine answered a reservation or release; undefined without an answer. */
export type ReservationAnswer = {status: number; isConfirmed: boolean; statement: EngineStatement} | undefined;

/** An engine and how to connect to it. */
export type ReservingEngine = {address: string; connector: EngineConnector};

/** Reserves and releases memory at engines. */
export interface EngineReservationClient {
	reserve(engine: ReservingEngine, request: ReservationRequest): Promise<ReservationAnswer>;
	release(engine: ReservingEngine, id: string): Promise<ReservationAnswer>;
}

/** Share of the platform's limit on unused memory that one reservation lasts, so that the memory of a crashed instance is free in time. */
const lifetimeShare = 0.85;

/** Share of the lifetime after which a reservation is renewed; two renewals may go unanswered before it ends. */
const renewalIntervalShare = 0.3;

/** Times that a release is sent until an engine confirms it; after that the reservation expires by itself. */
const maximumReleaseAttempts = 3;

/** Bytes of an id. */
const reservationIdBytes = 8;

type Reservation = {engine: EngineRecord; id: string; tokens: number};

/** What reservations are made with. */
export type ReservationsOptions = {
	client: EngineReservationClient;
	links: Pick<EngineLinks, 'connectorTo'>;
	log: EventLog;
	/** Called with each answer, for what the engine states about itself. */
	onAnswer: (engineId: string, status: number, statement: EngineStatement) => void;
	/** Time in milliseconds after a request's end at which its memory must be free. */
	memoryReleaseTimeout: number;
	/** Longest lifetime in milliseconds of one reservation. */
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
	 * Reserves memory at all engines named, or at none.
	 *
	 * @returns the id at each engine, or the engine that had no memory or did not answer.
	 */
	async reserve(wanted: ReadonlyArray<{engine: EngineRecord; tokens: number}>): Promise<{ids: Map<string, string>} | {failedEngine: EngineRecord}> {
		this.#reservations = wanted.map(({engine, tokens}) => ({engine, tokens, id: randomBytes(reservationIdBytes).toString('hex')}));
		const outcomes = await Promise.all(this.#reservations.map(async reservation => this.#reserveOne(reservation)));
		const failed = this.#reservations.find((_, index) => !outcomes[index]);
		if (failed) {
			this.#options.log.warn('reservation.failed', {request: this.#requestId, engine: failed.engine.id, tokens: failed.tokens});
			this.release();
			return {failedEngine: failed.engine};
		}

		this.#options.log.info('reservation.held', {
			request: this.#requestId,
			engines: this.#reservations.map(({engine}) => engine.id).join(','),
			tokens: this.#reservations.map(({tokens}) => tokens).join(','),
		});
		this.#renewal = setInterval(() => {
			for (const reservation of this.#reservations) {
				void this.#reserveOne(reservation);
			}
		}, this.#lifetime * renewalIntervalShare);
		return {ids: new Map(this.#reservations.map(({engine, id}) => [engine.id, id]))};
	}

	/** Releases all memory. */
	release(): void {
		clearInterval(this.#renewal);
		for (const reservation of this.#reservations) {
			void this.#releaseOne(reservation);
		}

		this.#reservations = [];
	}

	get #lifetime(): number {
		return Math.floor(Math.min(this.#options.memoryReleaseTimeout * lifetimeShare, this.#options.maximumReservationLifetime));
	}

	async #reserveOne({engine, id, tokens}: Reservation): Promise<boolean> {
		return this.#isConfirmed(engine, await this.#options.client.reserve(this.#reservingEngine(engine), {id, tokens, lifetime: this.#lifetime}));
	}

	async #releaseOne({engine, id}: Reservation): Promise<void> {
		for (let attempts = 0; attempts < maximumReleaseAttempts; attempts++) {
			if (this.#isConfirmed(engine, await this.#options.client.release(this.#reservingEngine(engine), id))) { // eslint-disable-line no-await-in-loop
				return;
			}
		}

		this.#options.log.warn('reservation.release-unconfirmed', {
			request: this.#requestId, engine: engine.id, reservation: id, ends: this.#lifetime,
		});
	}

	#reservingEngine(record: EngineRecord): ReservingEngine {
		return {address: record.address, connector: this.#options.links.connectorTo(record, {requestId: this.#requestId, lifetime: this.#lifetime})};
	}

	#isConfirmed({id}: EngineRecord, answer: ReservationAnswer): boolean {
		if (answer) {
			this.#options.onAnswer(id, answer.status, answer.statement);
		}

		return answer?.isConfirmed ?? false;
	}
}
