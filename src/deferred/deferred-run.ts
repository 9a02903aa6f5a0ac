/**
 * Carries one deferred request to its end, as its owner.
 *
 * @module
 */
import {type CarobquayError, toCarobquayError} from '../errors/errors.js';
import {Backoff} from '../platform/backoff.js';
import {delayOrThrow, TimeLimit} from '../request/time-limit.js';
import {isSame, type DeferredStore} from './deferred-store.js';
import {
	answerKey, sha256, type Deferred, type DeferredEnding, type StoredDeferred,
} from './item.js';

/** Waits in milliseconds between two attempts, at an upstream or at the platform. */
const retryWaits = {base: 200, maximum: 5000};

/** Owners that may begin one request; a request that outlives none of them is given up. */
const maximumAttempts = 10;

/** Failures of an upstream after which an idempotent request is tried again. */
const upstreamFailures: ReadonlySet<string> = new Set(['4002', '4003', '4004', '4005']);

/** Runs the prompt of a deferred request. */
export interface DeferredRunner {
	/**
	 * @param loadBody - Reads the body from the object store.
	 * @returns the whole answer.
	 * @throws {CarobquayError} with the truth about whether the request ran.
	 */
	run(request: Deferred, loadBody: () => Promise<Uint8Array>, signal: AbortSignal): Promise<Uint8Array>;
}

export type DeferredRunOptions = {
	store: DeferredStore;
	runner: DeferredRunner;
	/** Incarnation that takes the request on. */
	owner: string;
	/** Time in milliseconds for which an ended request can be fetched. */
	keepTime: number;
};

/** One request under this owner. */
export class DeferredRun {
	readonly #options: DeferredRunOptions;
	/** Aborts when the instance stops. */
	readonly #stopped: AbortSignal;

	constructor(options: DeferredRunOptions, stopped: AbortSignal) {
		this.#options = options;
		this.#stopped = stopped;
	}

	/**
	 * Takes the request on, runs it and ends it.
	 *
	 * @returns the ended request; undefined where another instance has taken it.
	 * @throws {CarobquayError} where the instance stops.
	 */
	async run(stored: StoredDeferred): Promise<Deferred | undefined> {
		const lost = endingWithoutRun(stored.value);
		if (lost !== undefined) {
			return this.#end(stored, lost);
		}

		// Nothing is sent before this write is known to have been made: it fences the owners before.
		const running = await this.#replace(stored, {
			...stored.value, owner: this.#options.owner, state: 'running', attempt: stored.value.attempt + 1,
		});
		return running && this.#end(running, await this.#ending(running.value));
	}

	/** Runs until there is an answer, a final failure, or the deadline. */
	async #ending(request: Deferred): Promise<DeferredEnding> {
		const limit = new TimeLimit(Math.max(0, request.deadline - Date.now()), `deferred request ${request.id} did not end within its deadline`);
		const signal = AbortSignal.any([limit.signal, this.#stopped]);
		const progress: {ran: 'no' | 'unknown' | 'yes'} = {ran: 'no'};
		try {
			return await this.#answer(request, progress, signal);
		} catch (error) {
			this.#stopped.throwIfAborted();
			const failure = toCarobquayError(signal.aborted ? signal.reason : error, progress.ran);
			return {
				outcome: 'failed', code: failure.code, message: failure.message, ran: signal.aborted ? progress.ran : failure.ran,
			};
		} finally {
			limit.clear();
		}
	}

	async #answer(request: Deferred, progress: {ran: 'no' | 'unknown' | 'yes'}, signal: AbortSignal): Promise<DeferredEnding> {
		const {store} = this.#options;
		const answer = await this.#retry(async () => this.#runOnce(request, progress, signal), error => mayRunAgain(request, error), signal);
		const key = answerKey(request.id, request.attempt);
		await this.#retry(async () => store.putAnswer(key, answer), isPlatformFailure, signal);
		return {outcome: 'answered', answerKey: key, answerDigest: sha256(answer)};
	}

	async #runOnce(request: Deferred, progress: {ran: 'no' | 'unknown' | 'yes'}, signal: AbortSignal): Promise<Uint8Array> {
		try {
			const {runner, store} = this.#options;
			const answer = await runner.run(request, async () => store.body(request.id), signal);
			progress.ran = 'yes';
			return answer;
		} catch (error) {
			const failure = toCarobquayError(error, 'unknown');
			progress.ran = progress.ran === 'no' ? failure.ran : progress.ran;
			throw failure;
		}
	}

	async #retry<Result>(run: () => Promise<Result>, mayRetry: (error: CarobquayError) => boolean, signal: AbortSignal): Promise<Result> {
		const backoff = new Backoff(retryWaits);
		for (;;) {
			try {
				return await run(); // eslint-disable-line no-await-in-loop
			} catch (error) {
				const failure = toCarobquayError(error, 'unknown');
				if (signal.aborted || !mayRetry(failure)) {
					throw failure;
				}

				await delayOrThrow(Math.max(backoff.next(), failure.retryAfter ?? 0), signal); // eslint-disable-line no-await-in-loop
			}
		}
	}

	async #end(stored: StoredDeferred, ending: DeferredEnding): Promise<Deferred | undefined> {
		const ended = await this.#replace(stored, {
			...stored.value, owner: this.#options.owner, state: 'ended', ending, keepUntil: Date.now() + this.#options.keepTime,
		});
		return ended?.value;
	}

	/** Replaces the item; goes on through outages, as nothing else can end the request while its owner lives. */
	async #replace(stored: StoredDeferred, value: Deferred): Promise<StoredDeferred | undefined> {
		const {store} = this.#options;
		let isFirst = true;
		return this.#retry(async () => {
			const current = isFirst ? stored : await store.read(value.id);
			isFirst = false;
			if (current !== undefined && isSame(current.value, value)) {
				return current;
			}

			return current?.version === stored.version ? store.replace(stored, value) : undefined;
		}, isPlatformFailure, this.#stopped);
	}
}

/** Ending of a request that may not be run any more; undefined where it may. */
function endingWithoutRun({id, state, attempt, nonIdempotent, deadline}: Deferred): DeferredEnding | undefined {
	const ran = state === 'accepted' ? 'no' : 'unknown';
	if (state === 'running' && nonIdempotent) {
		return {
			outcome: 'failed', code: '4008', message: `the owner of non-idempotent request ${id} was lost while it ran`, ran,
		};
	}

	if (deadline <= Date.now()) {
		return {
			outcome: 'failed', code: '4001', message: `deferred request ${id} did not end within its deadline`, ran,
		};
	}

	return attempt < maximumAttempts
		? undefined
		: {
			outcome: 'failed', code: '4003', message: `deferred request ${id} was begun by ${attempt} owners and ended by none`, ran,
		};
}

function isPlatformFailure({code}: CarobquayError): boolean {
	return ['5001', '5002', '5003', '5004'].includes(code);
}

/** A refusal that offers a retry, or a failure of an upstream that a non-idempotent request cannot have reached. */
function mayRunAgain({nonIdempotent}: Deferred, error: CarobquayError): boolean {
	if (nonIdempotent && error.ran !== 'no') {
		return false;
	}

	return upstreamFailures.has(error.code) || (error.ran === 'no' && error.retryAfter !== undefined);
}
