/**
 * Reserves memory at engines before long prompts are sent to them.
 *
 * @module
 */
import {CarobquayError} from '../errors/errors.js';
import type {Reserver} from '../request/dispatcher.js';
import type {RequestFacts, SendDecision} from '../routing/decision.js';
import type {EngineClient, Reservation} from './engine.js';

/** Time in milliseconds that a reservation is kept for the prompt to arrive. */
const reservationLifetime = 10_000;

/** Time in milliseconds within which an engine must answer. */
const reserveTimeout = 1000;

/** Reserves through the clients of engines. */
export class EngineReserver implements Reserver {
	readonly #engine: (name: string) => EngineClient | undefined;
	readonly #owner: string;

	/** @param owner - Instance and incarnation that own the reservations. */
	constructor(engine: (name: string) => EngineClient | undefined, owner: string) {
		this.#engine = engine;
		this.#owner = owner;
	}

	async reserve(upstream: string, {requestId, maximumAnswerTokens}: RequestFacts, {promptTokens}: SendDecision): Promise<Reservation> {
		const engine = this.#engine(upstream);
		if (engine === undefined) {
			throw new CarobquayError('4002', {message: `engine "${upstream}" has gone`});
		}

		return engine.reserve({
			requestId, owner: this.#owner, promptTokens, answerTokens: maximumAnswerTokens, lifetime: reservationLifetime,
		}, AbortSignal.timeout(reserveTimeout));
	}

	release(upstream: string, reservationId: string): void {
		// A reservation that cannot be released expires by itself.
		this.#engine(upstream)?.release(reservationId, AbortSignal.timeout(reserveTimeout)).catch(() => undefined);
	}
}
