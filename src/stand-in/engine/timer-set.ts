/**
 * Timers by name.
 *
 * @module
 */

/** Longest time in milliseconds that a timer of the runtime can wait. */
const longestTimeout = 2_147_483_647;

/** Timers that are replaced and cancelled by name, and all together. */
export class TimerSet {
	readonly #timers = new Map<string, NodeJS.Timeout>();
	#closed = false;

	/** Runs a task after a time in milliseconds, in place of the one scheduled under the same name. */
	schedule(name: string, milliseconds: number, task: () => void): void {
		this.cancel(name);
		if (this.#closed) {
			return;
		}

		this.#timers.set(name, setTimeout(() => {
			this.#timers.delete(name);
			task();
		}, Math.min(milliseconds, longestTimeout)));
	}

	cancel(name: string): void {
		clearTimeout(this.#timers.get(name));
		this.#timers.delete(name);
	}

	/** Cancels all and takes no more. */
	close(): void {
		this.#closed = true;
		for (const timer of this.#timers.values()) {
			clearTimeout(timer);
		}

		this.#timers.clear();
	}
}
