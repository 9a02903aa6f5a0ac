/**
 * Latency of single requests, in milliseconds.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {build, type Histogram} from 'hdr-histogram-js';

/** Microseconds in a millisecond; the histogram counts whole microseconds. */
const microsecondsPerMillisecond = 1000;

/** Latencies of one way to the engine. */
export class LatencyRecord {
	readonly #histogram: Histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});

	/** Runs a request and records how long it took. */
	async measure(run: () => Promise<void>): Promise<void> {
		const startedAt = performance.now();
		await run();
		this.#histogram.recordValue(Math.round((performance.now() - startedAt) * microsecondsPerMillisecond));
	}

	get count(): number {
		return this.#histogram.totalCount;
	}

	/** A percentile in milliseconds, to a hundredth. */
	percentile(percent: number): number {
		return Math.round(this.#histogram.getValueAtPercentile(percent) / 10) / 100;
	}
}
