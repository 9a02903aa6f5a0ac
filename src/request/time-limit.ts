/**
 * Abort signals that stand for a time limit, on the clock that tests can pause.
 *
 * @module
 */
import type {ExecutionStatus} from '../errors/catalogue.js';
import {CarobquayError, toCarobquayError} from '../errors/errors.js';

/** Longest delay in milliseconds that the runtime's timers take. */
const maximumTimerDelay = 2_147_483_647;

/** A signal that aborts with error 4001 after a time, unless it is cleared. */
export class TimeLimit {
	readonly #controller = new AbortController();
	readonly #timer: NodeJS.Timeout;

	/** @param milliseconds - Time until the signal aborts. */
	constructor(milliseconds: number, message: string) {
		this.#timer = setTimeout(() => {
			this.#controller.abort(new CarobquayError('4001', {message}));
		}, Math.min(milliseconds, maximumTimerDelay));
	}

	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	clear(): void {
		clearTimeout(this.#timer);
	}
}

/** Resolves after a time, or at once where the signal aborts. */
export async function delay(milliseconds: number, signal?: AbortSignal): Promise<void> {
	if (milliseconds <= 0 || signal?.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		const end = () => {
			clearTimeout(timer);
			signal?.removeEventListener('abort', end);
			resolve();
		};

		const timer = setTimeout(end, milliseconds);
		signal?.addEventListener('abort', end, {once: true});
	});
}

/** Resolves after a time or rejects with the signal's reason. */
export async function delayOrThrow(milliseconds: number, signal: AbortSignal): Promise<void> {
	return new Promise((resolve, reject) => {
		const stop = () => {
			clearTimeout(timer);
			reject(toCarobquayError(signal.reason, 'unknown'));
		};

		const timer = setTimeout(() => {
			signal.removeEventListener('abort', stop);
			resolve();
		}, milliseconds);
		if (signal.aborted) {
			stop();
			return;
		}

		signal.addEventListener('abort', stop, {once: true});
	});
}

/** Resolves as the promise does, or rejects with the signal's reason and what is known about whether the request ran. */
export async function untilAborted<Result>(result: Promise<Result>, signal: AbortSignal, ran: ExecutionStatus): Promise<Result> {
	return new Promise((resolve, reject) => {
		const stop = () => {
			const {code, message, retryAfter} = toCarobquayError(signal.reason, ran);
			reject(new CarobquayError(code, {
				message, ran, retryAfter, cause: signal.reason,
			}));
		};

		if (signal.aborted) {
			stop();
		}

		signal.addEventListener('abort', stop, {once: true});
		result.then(resolve, reject).finally(() => {
			signal.removeEventListener('abort', stop);
		});
	});
}
