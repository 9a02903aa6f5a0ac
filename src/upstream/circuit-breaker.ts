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

/** Circuit breaker of one upstream. Times are in milliseconds on a monotonic clock. */
export class CircuitBreaker {
	readonly #random: () => number;
	#state: CircuitState = 'closed';
	#consecutiveFailures = 0;
	#openDuration = initialOpenDuration;
	/** Time from which a request may probe, in the open and half-open states. */
	#nextProbeAt = 0;

	/** @param random - Returns a number from 0 (inclusive) to 1 (exclusive). */
	constructor(random: () => number = Math.random) {
		this.#random = random;
	}

	get state(): CircuitState {
		return this.#state;
	}

	/** Whether a request may be sent now. When the open duration has passed, one caller gets true and its request is the probe. */
	tryAcquirePermission(now: number): boolean {
		return match(this.#state)
			.with('closed', () => true)
			.with('open', 'half-open', () => now >= this.#nextProbeAt && this.#startProbe(now))
			.exhaustive();
	}

	/** Records that the upstream accepted a request, and closes the circuit. */
	recordSuccess(): void {
		this.#state = 'closed';
		this.#consecutiveFailures = 0;
		this.#openDuration = initialOpenDuration;
	}

	/** Records that the upstream was unreachable, broke the connection or did not answer in time. */
	recordFailure(now: number): void {
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
			// The failed request was sent before the circuit opened, so it carries no new information.
			.with('open', () => undefined)
			.exhaustive();
	}

	/** Records an outcome that shows neither success nor failure of the upstream; the next request may probe at once. */
	recordInconclusive(now: number): void {
		if (this.#state === 'half-open') {
			this.#nextProbeAt = now;
		}
	}

	#open(now: number): void {
		this.#state = 'open';
		this.#nextProbeAt = now + (this.#openDuration * (1 + (jitter * this.#random())));
	}

	#startProbe(now: number): boolean {
		this.#state = 'half-open';
		this.#nextProbeAt = now + probeTimeout;
		return true;
	}
}
