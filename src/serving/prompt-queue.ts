/**
 * Places prompts, and lets those wait that are refused as overloaded although they may still be served in time.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {DecisionRound, type RoundPrompt} from '../placement/decision-round.js';
import {
	isPromising, longestWait, maximumWaitingBytes, type Overload, WaitingRoom, type WaitingPrompt, type WaitTerms,
} from '../placement/waiting-room.js';

/** Longest time in milliseconds between two rounds of decisions, and shortest one, after the end of a placement. */
const roundInterval = 50;
const minimumRoundInterval = 10;

/** Outcome of one try to place a prompt; a placement is recorded before it is returned, so that the next try knows of it. */
export type PlacementTry = {
	/** Of a prompt that is refused as overloaded; undefined for any other outcome. */
	overload?: Overload | undefined;
};

/** A prompt that may wait. */
export type QueuedPrompt = Omit<WaitingPrompt, 'lateAt'> & WaitTerms & {
	/** Aborts when the request ends. */
	signal: AbortSignal;
	/** Called when it begins to wait. @param longest - Time in milliseconds for which it waits at most. */
	onWait: (longest: number) => void;
};

/**
 * How a prompt left the queue: `tried` with the result of its last try, `removed` without one, as it was hopeless, there
 * were too many or its caller has left, or `stopped` by the shutdown of this instance. `waited` is in milliseconds.
 */
export type QueueOutcome<Try> = {kind: 'tried'; result: Try; waited: number} | {kind: 'removed' | 'stopped'; waited: number};

/**
 * What would become of a prompt: `tried` with the decision on it, `waiting` for some milliseconds at most, be it for others
 * that wait already or for room, or `removed`, as there are too many.
 */
export type ExplainedWait = {kind: 'tried' | 'removed'} | {kind: 'waiting'; longest: number; isBehind: boolean};

type Waiter = WaitingPrompt & RoundPrompt & {
	/** Tries to place it. @returns why it keeps waiting; undefined where its wait has ended. */
	tryNow: () => Overload | undefined;
	end: (kind: QueueOutcome<unknown>['kind']) => void;
};

/** Options of a `PromptQueue`. */
export type PromptQueueOptions = {
	/** Memory that the process may take, in bytes; undefined where no limit is known. */
	memoryLimit: number | undefined;
	/** Called with the time in milliseconds for which a prompt has waited. */
	onWaited?: (waited: number) => void;
};

/** Prompts of one instance that wait for capacity. */
export class PromptQueue {
	readonly #room: WaitingRoom<Waiter>;
	readonly #onWaited: PromptQueueOptions['onWaited'];
	#timer: NodeJS.Timeout | undefined;
	#roundAt = Number.POSITIVE_INFINITY;
	#isStopped = false;

	constructor({memoryLimit, onWaited}: PromptQueueOptions) {
		this.#room = new WaitingRoom({maximumBytes: maximumWaitingBytes(memoryLimit)});
		this.#onWaited = onWaited;
	}

	/** Number, bytes and prefill time in milliseconds of the waiting prompts. */
	get waiting(): {count: number; bytes: number; prefillTime: number} {
		return {count: this.#room.size, bytes: this.#room.bytes, prefillTime: this.#room.prefillTime};
	}

	/** Places a prompt, at once or when there is room. @param prompt - Undefined for one that does not wait. */
	async place<Try extends PlacementTry>(prompt: QueuedPrompt | undefined, tryPlacement: () => Try): Promise<QueueOutcome<Try>> {
		if (prompt === undefined || this.#isStopped) {
			return {kind: 'tried', result: tryPlacement(), waited: 0};
		}

		const startedAt = performance.now();
		const lateAt = startedAt + (prompt.timeUntilLate ?? prompt.timeUntilAbandoned);
		const longest = longestWait(prompt);
		let result: Try | undefined;
		const tryToEndWait = () => {
			result = tryPlacement();
			const {overload} = result;
			return overload && isPromising(overload, startedAt + longest - performance.now()) ? overload : undefined;
		};

		if (!this.#isBehindOthers({...prompt, lateAt}, longest) && tryToEndWait() === undefined) {
			return {kind: 'tried', result: result!, waited: 0};
		}

		prompt.onWait(longest);
		const kind = await this.#wait({
			...prompt, lateAt, startedAt, giveUpAt: startedAt + longest,
		}, tryToEndWait);
		const waited = performance.now() - startedAt;
		this.#onWaited?.(waited);
		return kind === 'tried' ? {kind, result: result!, waited} : {kind, waited};
	}

	/** What would become of a prompt that comes now. Records nothing. @param overload - Of its decision, as in `PlacementTry`. */
	explain(prompt: Omit<QueuedPrompt, 'onWait'> | undefined, overload: PlacementTry['overload']): ExplainedWait {
		if (prompt === undefined || this.#isStopped) {
			return {kind: 'tried'};
		}

		const longest = longestWait(prompt);
		const waiting = {...prompt, lateAt: performance.now() + (prompt.timeUntilLate ?? prompt.timeUntilAbandoned)};
		const isBehind = this.#isBehindOthers(waiting, longest);
		if (!isBehind && (overload === undefined || !isPromising(overload, longest))) {
			return {kind: 'tried'};
		}

		return this.#room.hasPlaceFor(waiting) ? {kind: 'waiting', longest, isBehind} : {kind: 'removed'};
	}

	/** Tries the waiting prompts again soon, because a placement has ended. */
	onPlacementEnd(): void {
		if (this.#room.size > 0) {
			this.#schedule(minimumRoundInterval);
		}
	}

	/** Ends all waits, because this instance shuts down. */
	stop(): void {
		this.#isStopped = true;
		for (const waiter of this.#room.inOrder()) {
			waiter.end('stopped');
		}
	}

	/** Whether others are to be decided before a prompt that may wait. @param longest - Time in milliseconds for which it waits at most. */
	#isBehindOthers(prompt: WaitingPrompt, longest: number): boolean {
		return longest > 0 && this.#room.isOvertaking(prompt);
	}

	/** Resolves when the wait has ended. @param tryNow - Tries to place the prompt and returns why it keeps waiting. */
	async #wait(prompt: QueuedPrompt & Pick<Waiter, 'lateAt' | 'startedAt' | 'giveUpAt'>, tryNow: Waiter['tryNow']): Promise<QueueOutcome<unknown>['kind']> {
		const {signal} = prompt;
		return new Promise((resolve, reject) => {
			const end = (kind: QueueOutcome<unknown>['kind']) => {
				this.#room.leave(waiter);
				signal.removeEventListener('abort', onAbort);
				if (this.#room.size === 0) {
					clearTimeout(this.#timer);
					this.#roundAt = Number.POSITIVE_INFINITY;
				}

				resolve(kind);
			};

			const onAbort = () => {
				end('removed');
			};

			const waiter: Waiter = {
				...prompt, end, tryNow() {
					try {
						const overload = tryNow();
						if (overload === undefined) {
							end('tried');
						}

						return overload;
					} catch (error) {
						// Rounds run in a timer, where an exception would end the process.
						reject(error instanceof Error ? error : new Error(String(error)));
						end('removed');
						return undefined;
					}
				},
			};
			signal.addEventListener('abort', onAbort, {once: true});
			for (const refused of this.#room.enter(waiter)) {
				refused.end('removed');
			}

			if (signal.aborted) {
				onAbort();
			} else if (this.#room.size > 0) {
				this.#schedule(roundInterval);
			}
		});
	}

	/** Tries the waiting prompts in order, of each service and rank only a few behind one that finds no room. */
	#decideRound(): void {
		const round = new DecisionRound();
		for (const waiter of this.#room.inOrder()) {
			if (performance.now() >= waiter.giveUpAt) {
				waiter.end('removed');
			} else if (round.isTried(waiter)) {
				round.record(waiter, waiter.tryNow(), performance.now());
			}
		}

		if (this.#room.size > 0) {
			this.#schedule(roundInterval);
		}
	}

	#schedule(delay: number): void {
		const roundAt = performance.now() + delay;
		if (roundAt >= this.#roundAt) {
			return;
		}

		clearTimeout(this.#timer);
		this.#roundAt = roundAt;
		this.#timer = setTimeout(() => {
			this.#roundAt = Number.POSITIVE_INFINITY;
			this.#decideRound();
		}, delay);
	}
}
