/**
 * Schedule of a planned stop, from SIGTERM to the end of the process.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';

/**
 * How far an instance is in its shutdown: `serving` before it, `leaving` while it still accepts requests but closes each
 * connection after its response, `closing` once it also rejects new requests.
 */
export type ServingState = 'serving' | 'leaving' | 'closing';

/** Why requests are rejected during the stop. */
export const shutdownReason = 'this instance is shutting down';

/** Time in milliseconds after SIGTERM for which callers are still routed here: two readiness probes and a margin. */
const readinessPropagationDelay = 2500;

/** Largest share of the grace period in which requests are accepted, so that they have twice as long to end. */
const maximumAdmissionShare = 1 / 3;

/** Share of the grace period after which requests in flight are abandoned, and least time in milliseconds that is left then to answer them, to write the log and to exit. */
const drainTimeoutShare = 0.97;
const minimumExitTime = 220;

/** Shutdown of one instance. Its state follows from the time alone, so that a late event loop accepts nothing for longer. */
export class Shutdown {
	readonly #admissionPeriod: number;
	readonly #drainTimeout: number;
	#startedAt: number | undefined;
	#isClosed = false;

	/** @param gracePeriod - Time in milliseconds from SIGTERM to SIGKILL. */
	constructor(gracePeriod: number) {
		this.#drainTimeout = Math.max(0, Math.min(gracePeriod * drainTimeoutShare, gracePeriod - minimumExitTime));
		// Callers on open connections find another instance sooner than this one ends what they send.
		this.#admissionPeriod = Math.min(readinessPropagationDelay, gracePeriod * maximumAdmissionShare, this.#drainTimeout);
	}

	get state(): ServingState {
		if (this.#isClosed || this.elapsed >= this.#admissionPeriod) {
			return 'closing';
		}

		return this.#startedAt === undefined ? 'serving' : 'leaving';
	}

	/** Time in milliseconds since SIGTERM; negative infinity before it. */
	get elapsed(): number {
		return this.#startedAt === undefined ? Number.NEGATIVE_INFINITY : performance.now() - this.#startedAt;
	}

	/** Time in milliseconds until requests in flight are abandoned; infinite before SIGTERM. */
	get timeLeft(): number {
		return this.#startedAt === undefined ? Number.POSITIVE_INFINITY : Math.max(0, this.#drainTimeout - this.elapsed);
	}

	/** Whether callers are no longer routed here, so that the process may end once no request is in flight. */
	get canEnd(): boolean {
		return this.elapsed >= readinessPropagationDelay;
	}

	/** Whether requests in flight are abandoned. */
	get isOverdue(): boolean {
		return this.elapsed >= this.#drainTimeout;
	}

	begin(): void {
		this.#startedAt ??= performance.now();
	}

	/** Rejects requests from now on. */
	close(): void {
		this.#isClosed = true;
	}
}
