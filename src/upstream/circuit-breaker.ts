/**
 * Keeps requests from an upstream that fails again and again, and lets one probe through from time to time.
 *
 * @module
 */
import {match} from 'ts-pattern';

/** Failures in a row that open the circuit. */
const failuresUntilOpen = 5;

/** Time in milliseconds of the first opening. */
const firstOpenTime = 1000;

/** Greatest time in milliseconds of an opening. */
const maximumOpenTime = 30_000;

/** Factor between two openings in a row. */
const growth = 2;

/** Share of an opening by which its end is spread, so that instances do not probe in step. */
const jitter = 0.2;

/** Time in milliseconds after which a probe without any outcome is given up and another one let through. */
const probeTimeout = 30_000;

export type CircuitState = 'closed' | 'open' | 'half-open';

/** The circuit of one upstream. Times are monotonic, in milliseconds. */
export class CircuitBreaker {
	readonly #random: () => number;
	#state: CircuitState = 'closed';
	#failures = 0;
	#openTime = firstOpenTime;
	/** Time at which the state's bound is over. */
	#until = 0;

	/** @param random - Returns a number from 0 to 1, 1 excluded. */
	constructor(random: () => number = Math.random) {
		this.#random = random;
	}

	get state(): CircuitState {
		return this.#state;
	}

	/** Asks to send. In an open circuit whose time is over, the one request that gets true is the probe. */
	tryAcquirePermission(now: number): boolean {
		return match(this.#state)
			.with('closed', () => true)
			.with('open', 'half-open', () => now >= this.#until && this.#beginProbe(now))
			.exhaustive();
	}

	/** The upstream took a request. */
	recordSuccess(): void {
		this.#state = 'closed';
		this.#failures = 0;
		this.#openTime = firstOpenTime;
	}

	/** The upstream was unreachable, broke or fell silent. */
	recordFailure(now: number): void {
		this.#failures += 1;
		match(this.#state)
			.with('closed', () => {
				if (this.#failures >= failuresUntilOpen) {
					this.#open(now);
				}
			})
			.with('half-open', () => {
				this.#openTime = Math.min(maximumOpenTime, this.#openTime * growth);
				this.#open(now);
			})
			// Requests sent before the opening tell nothing new.
			.with('open', () => undefined)
			.exhaustive();
	}

	/** A request ended without telling anything about the upstream; the next one is the probe. */
	recordInconclusive(now: number): void {
		if (this.#state === 'half-open') {
			this.#until = now;
		}
	}

	#open(now: number): void {
		this.#state = 'open';
		this.#until = now + (this.#openTime * (1 + (jitter * this.#random())));
	}

	#beginProbe(now: number): boolean {
		this.#state = 'half-open';
		this.#until = now + probeTimeout;
		return true;
	}
}
