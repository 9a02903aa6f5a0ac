/**
 * When the event loop of this process ran, as the callbacks that report it tell, and how late its timers were.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';

/** Time in milliseconds for which the lateness of a timer counts. */
const observationPeriod = 10_000;

/** What is known of the event loop of a process; all times are monotonic, in milliseconds. */
export class EventLoopMonitor {
	/** Start of the last turn before the current one, and of the one before that. */
	#lastTurnAt = performance.now();
	#turnBeforeAt = this.#lastTurnAt;
	#currentTurnAt: number | undefined;
	/** The last time in which the event loop ran late: its earliest start, its end, and how late a timer was then. */
	#standstill = {from: this.#lastTurnAt, until: this.#lastTurnAt, lateness: 0};
	#periodStartedAt = performance.now();
	#greatestLateness = 0;
	#greatestLatenessBefore = 0;

	/**
	 * Earliest time at which a signal that is handled now may have been sent. A turn handles signals after all other input; one that
	 * another thread has received comes some turns later, as that thread has stood still as well.
	 */
	get earliestSignalTime(): number {
		const {from, until, lateness} = this.#standstill;
		return performance.now() - until <= lateness ? from : this.#lastTurnAt;
	}

	/** Greatest lateness in milliseconds of the timers lately. */
	get recentLateness(): number {
		this.#startPeriod(performance.now());
		return Math.max(this.#greatestLateness, this.#greatestLatenessBefore);
	}

	/** Records that a callback runs. */
	recordTurn(): void {
		if (this.#currentTurnAt !== undefined) {
			return;
		}

		const startedAt = performance.now();
		this.#currentTurnAt = startedAt;
		// Called at the end of the current turn.
		setImmediate(() => {
			this.#turnBeforeAt = this.#lastTurnAt;
			this.#lastTurnAt = startedAt;
			this.#currentTurnAt = undefined;
		});
	}

	/** Records that the callback of a timer runs. @param lateness - Time in milliseconds since it was due. */
	recordTimer(lateness: number): void {
		const now = performance.now();
		this.#startPeriod(now);
		this.#greatestLateness = Math.max(this.#greatestLateness, lateness);
		// Input that arrived meanwhile is handled in a turn before that of the timers.
		const from = this.#lastTurnAt <= now - lateness ? this.#lastTurnAt : this.#turnBeforeAt;
		this.#standstill = {from, until: now, lateness};
		this.recordTurn();
	}

	/** As the runtime's `setInterval`, and records each call. */
	setInterval(callback: () => void, interval: number): NodeJS.Timeout {
		let dueAt = performance.now() + interval;
		return setInterval(() => {
			const now = performance.now();
			this.recordTimer(now - dueAt);
			dueAt = now + interval;
			callback();
		}, interval);
	}

	#startPeriod(now: number): void {
		const elapsed = now - this.#periodStartedAt;
		if (elapsed >= observationPeriod) {
			this.#greatestLatenessBefore = elapsed < 2 * observationPeriod ? this.#greatestLateness : 0;
			this.#greatestLateness = 0;
			this.#periodStartedAt = now;
		}
	}
}

/** The event loop of this process. */
export const eventLoop = new EventLoopMonitor();
