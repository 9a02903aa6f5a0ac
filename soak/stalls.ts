/**
 * Spans in which the callers and engines of a run stood still, as their process was not scheduled.
 *
 * @module
 */

/** Interval in milliseconds of the timer that shows them, and its least lateness that counts. */
const checkInterval = 20;
const leastStall = 30;

/** One span; monotonic times in milliseconds. */
export type Stall = {from: number; until: number};

/** Notes spans while it runs. */
export class StallWatch {
	readonly stalls: Stall[] = [];
	#timer: NodeJS.Timeout | undefined;

	start(): void {
		let dueAt = performance.now() + checkInterval;
		this.#timer = setInterval(() => {
			const now = performance.now();
			if (now - dueAt >= leastStall) {
				this.stalls.push({from: dueAt, until: now});
			}

			dueAt = now + checkInterval;
		}, checkInterval);
	}

	stop(): void {
		clearInterval(this.#timer);
	}
}

/** Length in milliseconds of the longest stall that overlaps a span. */
export function longestStall(stalls: readonly Stall[], from = Number.NEGATIVE_INFINITY, until = Number.POSITIVE_INFINITY): number {
	return Math.max(0, ...stalls.filter(stall => stall.from <= until && stall.until >= from).map(stall => stall.until - stall.from));
}
