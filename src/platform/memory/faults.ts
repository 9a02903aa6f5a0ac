/**
 * Faults that the in-memory twins of the platform's services take on command.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {CarobquayError} from '../../errors/errors.js';
import {sleep} from '../backoff.js';
import {type CallKind, PlatformFailure} from '../failure.js';

/** Seed of the generator where none is given. */
const defaultSeed = 1;

/** Time in milliseconds that a caller waits for an answer where nothing else is set. */
const defaultTimeout = 2000;

/** Greatest time in milliseconds between two looks at whether a freeze has ended. */
const frozenPoll = 50;

/** What goes wrong at a service. */
export type FaultSettings = {
	/** Every call is refused and not done. */
	down: boolean;
	/** Every call is refused as over the rate. */
	rateLimited: boolean;
	/** Time in milliseconds added before each call takes effect. */
	slow: number;
	/** Monotonic time in milliseconds before which no call takes effect. */
	frozenUntil: number;
	/** Number of calls still to be lost before they take effect. */
	loseRequests: number;
	/** Number of writes whose answer is still to be lost after they take effect. */
	loseAnswers: number;
	/** Share of writes whose answer is lost, from 0 to 1. */
	loseAnswerProbability: number;
	/** Time in milliseconds after which a write takes effect whose answer was lost. */
	lateEffect: number;
};

/** The settings under which nothing goes wrong. */
export const noFaults: FaultSettings = {
	down: false,
	rateLimited: false,
	slow: 0,
	frozenUntil: 0,
	loseRequests: 0,
	loseAnswers: 0,
	loseAnswerProbability: 0,
	lateEffect: 0,
};

export type FaultOptions = {
	/**
	 * Seed of the generator that chooses lost answers.
	 * @default 1
	 */
	seed?: number;
	/**
	 * Time in milliseconds after which a caller stops waiting; the call may still take effect. Infinity sets no limit.
	 * @default 2000
	 */
	timeout?: number;
};

/** One call to a twin. */
export type FaultedCall<Result> = {
	kind: CallKind;
	/** Does the call in one step; may throw PlatformFailure. */
	effect: () => Result;
	signal?: AbortSignal | undefined;
};

/** Runs calls under the faults that are set; throws PlatformFailure. */
export class PlatformFaults {
	#settings = noFaults;
	readonly #generator;
	readonly #timeout: number;

	constructor({seed = defaultSeed, timeout = defaultTimeout}: FaultOptions = {}) {
		this.#generator = xoroshiro128plus(seed);
		this.#timeout = timeout;
	}

	get settings(): Readonly<FaultSettings> {
		return this.#settings;
	}

	/** Changes the settings that are named. */
	set(change: Partial<FaultSettings>): void {
		this.#settings = {...this.#settings, ...change};
	}

	/** Ends all faults; calls that are waiting go on. */
	clear(): void {
		this.#settings = noFaults;
	}

	async call<Result>(call: FaultedCall<Result>): Promise<Result> {
		this.#refuse();
		if (call.signal?.aborted) {
			throw new PlatformFailure('unavailable', 'the caller left before the call began');
		}

		if (this.#settings.loseRequests > 0) {
			this.set({loseRequests: this.#settings.loseRequests - 1});
			throw new PlatformFailure('unknown', 'the request was lost');
		}

		return this.#limit(this.#answer(call), call.signal);
	}

	#refuse(): void {
		if (this.#settings.down) {
			throw new PlatformFailure('unavailable', 'the service is down');
		}

		if (this.#settings.rateLimited) {
			throw new PlatformFailure('rate-limited', 'over the rate');
		}
	}

	async #answer<Result>({kind, effect}: FaultedCall<Result>): Promise<Result> {
		await this.#delay();
		if (kind === 'read' || !this.#losesAnswer()) {
			return effect();
		}

		if (this.#settings.lateEffect > 0) {
			setTimeout(() => {
				attempt(effect);
			}, this.#settings.lateEffect);
		} else {
			attempt(effect);
		}

		throw new PlatformFailure('unknown', 'the answer was lost');
	}

	async #delay(): Promise<void> {
		const startAt = performance.now() + this.#settings.slow;
		let remaining = this.#remaining(startAt);
		while (remaining > 0) {
			// eslint-disable-next-line no-await-in-loop -- a freeze may be set or ended during the wait
			await sleep(Math.min(remaining, frozenPoll));
			remaining = this.#remaining(startAt);
		}
	}

	#remaining(startAt: number): number {
		return Math.max(startAt, this.#settings.frozenUntil) - performance.now();
	}

	#losesAnswer(): boolean {
		const {loseAnswers, loseAnswerProbability} = this.#settings;
		if (loseAnswers > 0) {
			this.set({loseAnswers: loseAnswers - 1});
			return true;
		}

		return loseAnswerProbability > 0 && uniformFloat64(this.#generator) < loseAnswerProbability;
	}

	async #limit<Result>(answer: Promise<Result>, signal: AbortSignal | undefined): Promise<Result> {
		return new Promise((resolve, reject) => {
			const giveUp = () => {
				reject(new PlatformFailure('unknown', 'no answer in time'));
			};

			// SetTimeout takes Infinity as no time at all.
			const timer = Number.isFinite(this.#timeout) ? setTimeout(giveUp, this.#timeout) : undefined;
			signal?.addEventListener('abort', giveUp, {once: true});
			void settle(answer, {resolve, reject}, () => {
				clearTimeout(timer);
				signal?.removeEventListener('abort', giveUp);
			});
		});
	}
}

async function settle<Result>(
	answer: Promise<Result>,
	caller: {resolve: (result: Result) => void; reject: (error: unknown) => void},
	cleanUp: () => void,
): Promise<void> {
	try {
		caller.resolve(await answer);
	} catch (error) {
		caller.reject(error);
	} finally {
		cleanUp();
	}
}

/** Does a write whose answer nobody hears, be it a refusal or not. */
function attempt(effect: () => unknown): void {
	try {
		effect();
	} catch (error) {
		if (!(error instanceof PlatformFailure || error instanceof CarobquayError)) {
			throw error;
		}
	}
}
