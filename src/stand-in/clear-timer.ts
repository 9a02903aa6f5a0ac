/**
 * Ends faults after the time that their order names.
 *
 * @module
 */

/** Timer of one stand-in; it keeps no process alive. */
export class ClearTimer {
	#timer: NodeJS.Timeout | undefined;

	/** @param duration - Time in milliseconds; undefined leaves the faults as long as an earlier order says. */
	start(duration: number | undefined, clear: () => void): void {
		if (duration !== undefined) {
			this.cancel();
			this.#timer = setTimeout(clear, duration);
			this.#timer.unref();
		}
	}

	cancel(): void {
		clearTimeout(this.#timer);
	}
}
