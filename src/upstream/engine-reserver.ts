/**
 * Reserves memory at engines before long prompts are sent to them.
 *
 * @module
 */
import {CarobquayError} from '../errors/errors.js';
import type {Reserver} from '../request/dispatcher.js';
import {TimeLimit} from '../request/time-limit.js';
import type {RequestFacts, SendDecision} from '../routing/decision.js';
import type {EngineClient, Reservation} from './engine.js';

/** Time in milliseconds that a reservation is kept for the prompt to arrive. */
const reservationLifetime = 10_000;

/** Time in milliseconds within which an engine must answer. */
const reserveTimeout = 1000;

/** Reserves through the clients of engines. */
export class EngineReserver implements Reserver {
	readonly #findEngine: (name: string) => EngineClient | undefined;
	readonly #owner: string;

	/** @param owner - Instance and incarnation that own the reservations. */
	constructor(engine: (name: string) => EngineClient | undefined, owner: string) {
		this.#findEngine = engine;
		this.#owner = owner;
	}

	async reserve(upstream: string, {requestId, maximumAnswerTokens}: RequestFacts, {promptTokens}: SendDecision): Promise<Reservation> {
		const engine = this.#findEngine(upstream);
		if (engine === undefined) {
			throw new CarobquayError('4002', {message: `engine "${upstream}" has gone`});
		}

		return withTimeout(async signal => engine.reserve({
			requestId, owner: this.#owner, promptTokens, answerTokens: maximumAnswerTokens, lifetime: reservationLifetime,
		}, signal));
	}

	release(upstream: string, reservationId: string): void {
		// A reservation that cannot be released expires by itself.
		withTimeout(async signal => this.#findEngine(upstream)?.release(reservationId, signal)).catch(() => undefined);
	}
}

/** Makes a call that must be answered in time. */
async function withTimeout<Result>(call: (signal: AbortSignal) => Promise<Result>): Promise<Result> {
	const limit = new TimeLimit(reserveTimeout, 'the engine did not answer about a reservation in time');
	try {
		return await call(limit.signal);
	} finally {
		limit.clear();
	}
}
