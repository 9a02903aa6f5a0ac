/**
 * Repeats what may fail at the start of a process until it succeeds, with growing waits and a time limit.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {errorMessage} from '../errors/errors.js';
import {Backoff} from '../platform/backoff.js';

/** Time in milliseconds for which a process waits for its settings, and for its ports, where no other is set. */
export const defaultStartLimit = 30_000;

/** What is tried. */
export type RepeatedAttempt<Result> = {
	attempt: () => Promise<Result>;
	/**
	 * Whether a failure may pass by itself; others are thrown at once.
	 * @default all may
	 */
	isTemporary?: (error: unknown) => boolean;
	/** Called for each failure that differs from the one before. */
	onFailure: (error: unknown) => void;
	/** Time in milliseconds after which no attempt is made. */
	timeLimit: number;
	/** Ends the waits. */
	signal: AbortSignal;
};

/** @throws the reason of the signal, or the error of the last attempt. */
export async function repeatUntilSuccess<Result>({attempt, isTemporary = () => true, onFailure, timeLimit, signal}: RepeatedAttempt<Result>): Promise<Result> {
	const deadline = performance.now() + timeLimit;
	const backoff = new Backoff();
	let lastFailure: string | undefined;
	for (;;) {
		signal.throwIfAborted();
		try {
			return await attempt(); // eslint-disable-line no-await-in-loop
		} catch (error) {
			if (!isTemporary(error) || performance.now() >= deadline) {
				throw error;
			}

			const message = errorMessage(error);
			if (message !== lastFailure) {
				lastFailure = message;
				onFailure(error);
			}
		}

		await sleepUnlessAborted(Math.min(backoff.next(), deadline - performance.now()), signal); // eslint-disable-line no-await-in-loop
	}
}

/** Resolves after a time in milliseconds, or as soon as the signal is aborted. */
async function sleepUnlessAborted(duration: number, signal: AbortSignal): Promise<void> {
	return new Promise(resolve => {
		const end = () => {
			clearTimeout(timer);
			signal.removeEventListener('abort', end);
			resolve();
		};

		const timer = setTimeout(end, duration);
		signal.addEventListener('abort', end);
	});
}
