/**
 * How often the engine of an attempt crashes although the attempt has nothing to do with it.
 *
 * @module
 */

/** Time in milliseconds in which an attempt loses all but 1/e of its weight. */
const timeConstant = 10_000;

/** Attempts, and crashes among them, that are assumed before any was observed. */
const priorAttempts = 10;
const priorCrashes = 1;

/** Lowest rate that is returned, so that a low observed share never makes a single crash weigh more than the prior does. */
export const minimumCrashRate = priorCrashes / priorAttempts;

/** Highest rate that is returned; above it a crash says nothing. */
const maximumRate = 0.9;

/** Decaying share of the attempts that were hit by a crash of their engine. */
export class CrashBaseRate {
	#attempts = 0;
	#crashes = 0;
	#updatedAt = Number.NEGATIVE_INFINITY;

	/** Counts an attempt that is not suspected itself. */
	record(hasCrashed: boolean, now: number): void {
		this.#decay(now);
		this.#attempts += 1;
		this.#crashes += hasCrashed ? 1 : 0;
	}

	/** Share of the attempts that are hit by a crash, within the limits of what is returned. */
	rate(now: number): number {
		this.#decay(now);
		const observed = (this.#crashes + priorCrashes) / (this.#attempts + priorAttempts);
		return Math.min(maximumRate, Math.max(minimumCrashRate, observed));
	}

	#decay(now: number): void {
		const factor = Math.exp(-Math.max(0, now - this.#updatedAt) / timeConstant);
		this.#attempts *= factor;
		this.#crashes *= factor;
		this.#updatedAt = now;
	}
}
