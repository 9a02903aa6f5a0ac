/**
 * How long callers wait for a stream, and when a refused one returns.
 *
 * @module
 */

/** By the protocol, callers abandon a stream without an event after the longest of this time in milliseconds and these factors on its targets. */
export const minimumStreamIdleTimeout = 2000;
const streamIdleTimeoutPerLatencyTarget = 4;
const streamIdleTimeoutPerEventGap = 8;

/** Least Retry-After in milliseconds; placements made meanwhile are known by then. */
const minimumRetryAfter = 100;

/**
 * Least Retry-After of a prompt refused because of overload, as a factor on its latency target: by then a burst is over,
 * or the third of the caller's time has passed within which it retries.
 */
const shedRetryFactor = 10;

/** Time in milliseconds until the first event, or between events, after which a caller abandons a stream. */
export function streamIdleTimeout({latencyTarget, eventGapTarget}: {latencyTarget: number; eventGapTarget: number}): number {
	return Math.max(minimumStreamIdleTimeout, streamIdleTimeoutPerLatencyTarget * latencyTarget, Number.isFinite(eventGapTarget) ? streamIdleTimeoutPerEventGap * eventGapTarget : 0);
}

/** Bounds a Retry-After: a caller retries within a third of its time, or not at all. */
export function boundRetryAfter({remaining}: {remaining: number}, desired: number): number {
	return Math.max(minimumRetryAfter, Math.min(desired, remaining / 3));
}

/** Retry-After of a prompt refused because of overload. */
export function shedRetryAfter(requirements: {remaining: number; latencyTarget: number}, expectedLatency: number): number {
	return boundRetryAfter(requirements, Math.max(expectedLatency, shedRetryFactor * requirements.latencyTarget));
}
