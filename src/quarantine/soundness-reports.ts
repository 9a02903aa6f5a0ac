/**
 * Reports to the other instances that fingerprints which they suspect have been answered here.
 *
 * Many instances may know that. Each waits for a random time, and those that hear of it meanwhile stay silent.
 *
 * @module
 */

/** A fingerprint of a request that an engine has answered. */
export type SoundReport = {
	fingerprint: string;
	/** Monotonic time in milliseconds. */
	answeredAt: number;
};

/** Longest random delay in milliseconds of a report: several times the latency between instances. */
const maximumDelay = 50;

/** Reports of one instance that are still to be sent. */
export class SoundnessReports {
	readonly #timers = new Map<string, NodeJS.Timeout>();
	readonly #send: (report: SoundReport) => void;
	readonly #random: () => number;

	constructor(send: (report: SoundReport) => void, random: () => number = Math.random) {
		this.#send = send;
		this.#random = random;
	}

	/** Sends a report after a random delay. Does nothing if there is no answer, or if one is waiting already. */
	schedule(fingerprint: string, answeredAt: number | undefined): void {
		if (answeredAt === undefined || this.#timers.has(fingerprint)) {
			return;
		}

		this.#timers.set(fingerprint, setTimeout(() => {
			this.#timers.delete(fingerprint);
			this.#send({fingerprint, answeredAt});
		}, this.#random() * maximumDelay));
	}

	/** Drops a report that another instance has sent. */
	cancel(fingerprint: string): void {
		clearTimeout(this.#timers.get(fingerprint));
		this.#timers.delete(fingerprint);
	}

	close(): void {
		for (const fingerprint of this.#timers.keys()) {
			this.cancel(fingerprint);
		}
	}
}
