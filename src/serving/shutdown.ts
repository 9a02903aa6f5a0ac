/**
 * Schedule of a planned stop, from SIGTERM to the end of the process.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {EventLoopMonitor} from '../telemetry/event-loop-monitor.js';

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

/** Least share of the grace period after which they are abandoned, however late the process is; in its last sixth, the platform excuses that. */
const minimumDrainShare = 0.85;

/**
 * Shutdown of one instance. Its state follows from the time alone, so that a late event loop accepts nothing for longer.
 *
 * SIGKILL comes at the end of a grace period that began when SIGTERM was sent, so that requests are accepted and kept by the
 * earliest moment at which that may have been.
 */
export class Shutdown {
	readonly #eventLoop: Pick<EventLoopMonitor, 'earliestSignalTime' | 'recentLateness'>;
	readonly #admissionPeriod: number;
	readonly #drainTimeout: number;
	readonly #maximumReserve: number;
	#startedAt: number | undefined;
	#signalLateness = 0;
	#isClosed = false;

	/** @param gracePeriod - Time in milliseconds from SIGTERM to SIGKILL. */
	constructor(gracePeriod: number, eventLoop: Pick<EventLoopMonitor, 'earliestSignalTime' | 'recentLateness'>) {
		this.#eventLoop = eventLoop;
		this.#drainTimeout = Math.max(0, Math.min(gracePeriod * drainTimeoutShare, gracePeriod - minimumExitTime));
		this.#maximumReserve = Math.max(0, this.#drainTimeout - (gracePeriod * minimumDrainShare));
		// Callers on open connections find another instance sooner than this one ends what they send.
		this.#admissionPeriod = Math.min(readinessPropagationDelay, gracePeriod * maximumAdmissionShare, this.#drainTimeout);
	}

	get state(): ServingState {
		if (this.#isClosed || this.elapsed + this.#signalLateness >= this.#admissionPeriod) {
			return 'closing';
		}

		return this.#startedAt === undefined ? 'serving' : 'leaving';
	}

	/** Time in milliseconds since SIGTERM was handled; negative infinity before it. */
	get elapsed(): number {
		return this.#startedAt === undefined ? Number.NEGATIVE_INFINITY : performance.now() - this.#startedAt;
	}

	/** Greatest time in milliseconds from the sending of SIGTERM to its handling. */
	get signalLateness(): number {
		return this.#signalLateness;
	}

	/** Time in milliseconds until requests in flight are abandoned; infinite before SIGTERM. */
	get timeLeft(): number {
		if (this.#startedAt === undefined) {
			return Number.POSITIVE_INFINITY;
		}

		// The process may be as late at the end of the shutdown as it was lately.
		const reserve = Math.min(this.#signalLateness + this.#eventLoop.recentLateness, this.#maximumReserve);
		return Math.max(0, this.#drainTimeout - reserve - this.elapsed);
	}

	/** Whether callers are no longer routed here, so that the process may end once no request is in flight. */
	get canEnd(): boolean {
		return this.elapsed >= readinessPropagationDelay;
	}

	/** Whether requests in flight are abandoned. */
	get isOverdue(): boolean {
		return this.timeLeft === 0;
	}

	begin(): void {
		if (this.#startedAt === undefined) {
			this.#startedAt = performance.now();
			this.#signalLateness = this.#startedAt - this.#eventLoop.earliestSignalTime;
		}
	}

	/** Rejects requests from now on. */
	close(): void {
		this.#isClosed = true;
	}
}
