/**
 * Time limits as abort signals, and delays that can be aborted.
 *
 * Both use the global `setTimeout`, which tests can replace by a fake clock.
 *
 * @module
 */
import type {ExecutionStatus} from '../errors/catalogue.js';
import {CarobquayError, toCarobquayError} from '../errors/errors.js';
import {eventLoop} from '../telemetry/event-loop-monitor.js';

/** Maximum delay in milliseconds that the timers of Node.js support. */
const maximumTimerDelay = 2_147_483_647;

/** Aborts a signal with error 4001 after a time limit, unless it is cleared before. */
export class TimeLimit {
	readonly #controller = new AbortController();
	readonly #timer: NodeJS.Timeout;

	/**
	 * @param milliseconds - Time until the signal aborts.
	 * @param message - Message of the error that becomes the abort reason.
	 */
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

/** Resolves after a delay, or as soon as the signal aborts. */
export async function delay(milliseconds: number, signal?: AbortSignal): Promise<void> {
	if (milliseconds <= 0 || signal?.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = () => {
			clearTimeout(timer);
			signal?.removeEventListener('abort', finish);
			resolve();
		};

		const timer = setTimeout(finish, milliseconds);
		signal?.addEventListener('abort', finish, {once: true});
	});
}

/** Resolves when the signal aborts. */
export async function onceAborted(signal: AbortSignal): Promise<void> {
	if (!signal.aborted) {
		await new Promise(resolve => {
			signal.addEventListener('abort', resolve, {once: true});
		});
	}
}

/** Turns of the event loop in which a connection is accepted, its request read, and handled. */
const turnsForInput = 3;

/** Resolves after a delay, when what had arrived by then was handled, also if the event loop stood still: it calls due timers before it reads. */
export async function delayUntilInputIsHandled(milliseconds: number): Promise<void> {
	const dueAt = performance.now() + milliseconds;
	await delay(milliseconds);
	eventLoop.recordTimer(performance.now() - dueAt);
	for (let turn = 0; turn < turnsForInput; turn++) {
		await new Promise(resolve => { // eslint-disable-line no-await-in-loop
			setImmediate(resolve);
		});
	}
}

/** Resolves after a delay; rejects with the abort reason as soon as the signal aborts. */
export async function delayOrThrow(milliseconds: number, signal: AbortSignal): Promise<void> {
	return new Promise((resolve, reject) => {
		const rejectWithReason = () => {
			clearTimeout(timer);
			reject(toCarobquayError(signal.reason, 'unknown'));
		};

		const timer = setTimeout(() => {
			signal.removeEventListener('abort', rejectWithReason);
			resolve();
		}, milliseconds);
		if (signal.aborted) {
			rejectWithReason();
			return;
		}

		signal.addEventListener('abort', rejectWithReason, {once: true});
	});
}

/**
 * Settles as the given promise does; rejects with the abort reason as soon as the signal aborts.
 *
 * @param ran - Execution status of the request to put into the error on abort.
 */
export async function untilAborted<Result>(result: Promise<Result>, signal: AbortSignal, ran: ExecutionStatus): Promise<Result> {
	return new Promise((resolve, reject) => {
		const rejectWithReason = () => {
			const {code, message, retryAfter} = toCarobquayError(signal.reason, ran);
			reject(new CarobquayError(code, {
				message, ran, retryAfter, cause: signal.reason,
			}));
		};

		if (signal.aborted) {
			rejectWithReason();
		}

		signal.addEventListener('abort', rejectWithReason, {once: true});
		result.then(resolve, reject).finally(() => {
			signal.removeEventListener('abort', rejectWithReason);
		});
	});
}
