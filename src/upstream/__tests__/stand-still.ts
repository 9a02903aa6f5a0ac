import {performance} from 'node:perf_hooks';

/** Keeps the event loop of this process from running, as a freeze of the machine does. @param duration - In milliseconds. */
export function standStill(duration: number): void {
	const end = performance.now() + duration;
	while (performance.now() < end) {
		// Only the time passes.
	}
}
