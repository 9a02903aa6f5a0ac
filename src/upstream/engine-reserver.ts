/**
 * Reserves KV cache memory at engines before long prompts are sent to them.
 *
 * @module
 */
import {CarobquayError} from '../errors/errors.js';
import type {Reserver} from '../request/dispatcher.js';
import {TimeLimit} from '../request/time-limit.js';
import type {RequestFacts, SendDecision} from '../routing/decision.js';
import type {EngineClient, Reservation} from './engine.js';

/** Time in milliseconds for which an engine keeps a reservation until its prompt arrives. */
const reservationLifetime = 10_000;

/** Time limit of a reservation call in milliseconds. */
const reserveTimeout = 1000;

/** Makes and releases reservations through the engine clients. */
export class EngineReserver implements Reserver {
	readonly #findEngine: (name: string) => EngineClient | undefined;
	readonly #owner: string;

	/**
	 * @param findEngine - Finds the client of an engine; returns undefined once the engine is no longer listed.
	 * @param owner - Instance and incarnation that own the reservations.
	 */
	constructor(findEngine: (name: string) => EngineClient | undefined, owner: string) {
		this.#findEngine = findEngine;
		this.#owner = owner;
	}

	async reserve(upstream: string, {requestId, maximumAnswerTokens}: RequestFacts, {promptTokens}: SendDecision): Promise<Reservation> {
		const engine = this.#findEngine(upstream);
		if (engine === undefined) {
			throw new CarobquayError('4002', {message: `engine "${upstream}" is no longer listed`});
		}

		return withTimeout(upstream, async signal => engine.reserve({
			requestId, owner: this.#owner, promptTokens, answerTokens: maximumAnswerTokens, lifetime: reservationLifetime,
		}, signal));
	}

	release(upstream: string, reservationId: string): void {
		// A failed release is ignored: the reservation expires after its lifetime.
		withTimeout(upstream, async signal => this.#findEngine(upstream)?.release(reservationId, signal)).catch(() => undefined);
	}
}

/** Makes a call that is aborted when the time limit has passed. */
async function withTimeout<Result>(upstream: string, call: (signal: AbortSignal) => Promise<Result>): Promise<Result> {
	const timeLimit = new TimeLimit(reserveTimeout, `engine "${upstream}" did not answer a reservation call within ${reserveTimeout} ms`);
	try {
		return await call(timeLimit.signal);
	} finally {
		timeLimit.clear();
	}
}
