/**
 * Circuit breaker: stops sending to an upstream after repeated failures and probes it with single requests.
 *
 * @module
 */
import {match} from 'ts-pattern';

/** Consecutive failures that open the circuit. */
const failureThreshold = 5;

/** Time in milliseconds for which the circuit stays open the first time. */
const initialOpenDuration = 1000;

/** Maximum time in milliseconds for which the circuit stays open. */
const maximumOpenDuration = 30_000;

/** Factor by which the open duration grows with each failed probe. */
const openDurationMultiplier = 2;

/** Maximum share of an open duration that is added to it at random, so that instances do not probe simultaneously. */
const jitter = 0.2;

/** Time in milliseconds after which a probe without an outcome is abandoned and another request may probe. */
const probeTimeout = 30_000;

export type CircuitState = 'closed' | 'open' | 'half-open';

/** Permission to send one request. Its outcome counts only as long as the circuit is in the period in which it was given. */
export type CircuitPermission = {period: number};

/** Circuit breaker of one upstream. Times are in milliseconds on a monotonic clock. */
export class CircuitBreaker {
	readonly #random: () => number;
	#state: CircuitState = 'closed';
	#consecutiveFailures = 0;
	#openDuration = initialOpenDuration;
	/** Time from which a request may probe, in the open and half-open states. */
	#nextProbeAt = 0;
	/** Number of the current period; a new one begins when the circuit opens and with each probe. */
	#period = 0;

	/** @param random - Returns a number from 0 (inclusive) to 1 (exclusive). */
	constructor(random: () => number = Math.random) {
		this.#random = random;
	}

	get state(): CircuitState {
		return this.#state;
	}

	/** Permits a request to be sent now, or returns undefined. When the open duration has passed, one caller is permitted and its request is the probe. */
	tryAcquirePermission(now: number): CircuitPermission | undefined {
		if (this.#state !== 'closed') {
			if (now < this.#nextProbeAt) {
				return undefined;
			}

			this.#startProbe(now);
		}

		return {period: this.#period};
	}

	/** Records that the upstream accepted a request, and closes the circuit. */
	recordSuccess({period}: CircuitPermission): void {
		if (period === this.#period) {
			this.#state = 'closed';
			this.#consecutiveFailures = 0;
			this.#openDuration = initialOpenDuration;
		}
	}

	/** Records that the upstream was unreachable, broke the connection or did not answer in time. */
	recordFailure({period}: CircuitPermission, now: number): void {
		if (period !== this.#period) {
			return;
		}

		this.#consecutiveFailures += 1;
		match(this.#state)
			.with('closed', () => {
				if (this.#consecutiveFailures >= failureThreshold) {
					this.#open(now);
				}
			})
			.with('half-open', () => {
				this.#openDuration = Math.min(maximumOpenDuration, this.#openDuration * openDurationMultiplier);
				this.#open(now);
			})
			// No request is permitted while the circuit is open, so that none of this period can fail.
			.with('open', () => undefined)
			.exhaustive();
	}

	/** Records an outcome that shows neither success nor failure of the upstream, or that the request was not sent; the next request may probe at once. */
	recordInconclusive({period}: CircuitPermission, now: number): void {
		if (period === this.#period && this.#state === 'half-open') {
			this.#nextProbeAt = now;
		}
	}

	#open(now: number): void {
		this.#state = 'open';
		this.#period += 1;
		this.#nextProbeAt = now + (this.#openDuration * (1 + (jitter * this.#random())));
	}

	#startProbe(now: number): void {
		this.#state = 'half-open';
		this.#period += 1;
		this.#nextProbeAt = now + probeTimeout;
	}
}
