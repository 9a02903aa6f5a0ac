/**
 * Faults that a stand-in can be told to show, whether it is reached over sockets or in memory.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {z} from 'zod';
import {ClearTimer} from './clear-timer.js';

/** Whether a stand-in takes requests: not at all on the socket, or with status 503 on each. */
export type Availability = 'up' | 'refusing' | 'unavailable';

/** Faults that last until they are changed. */
export type FaultSettings = {
	/** @default 'up' */
	availability: Availability;
	/**
	 * Time in milliseconds added before each request is worked on.
	 * @default 0
	 */
	slow: number;
	/**
	 * Number of next requests whose work is done but whose answer is dropped.
	 * @default 0
	 */
	loseAnswers: number;
	/**
	 * Requests taken in each second; those above it are refused with status 429.
	 * @default 0: no limit
	 */
	requestsPerSecond: number;
	/**
	 * Whether streams carry repeated messages and those of other requests.
	 * @default false
	 */
	strayMessages: boolean;
};

const faultOrderShape = z.strictObject({
	availability: z.enum(['up', 'refusing', 'unavailable']).optional(),
	slow: z.number().nonnegative().optional(),
	loseAnswers: z.int().nonnegative().optional(),
	requestsPerSecond: z.number().nonnegative().optional(),
	strayMessages: z.boolean().optional(),
	/** Time in milliseconds during which nothing is read, worked on or answered. */
	freeze: z.number().nonnegative().optional(),
	/** Existing connections carry nothing any more, for good; new ones work. */
	silence: z.boolean().optional(),
	/** Existing connections are closed; new ones work. */
	cut: z.boolean().optional(),
	/** Time in milliseconds after which the lasting faults end; without it they stay. */
	duration: z.number().positive().optional(),
});

/** A change of faults; what it leaves out stays as it is. */
export type FaultOrder = z.infer<typeof faultOrderShape>;

/** No fault. */
const noFaults: Readonly<FaultSettings> = {
	availability: 'up', slow: 0, loseAnswers: 0, requestsPerSecond: 0, strayMessages: false,
};

/**
 * Reads a fault order from the wire.
 *
 * @throws {z.ZodError} Where a field is unknown or has a wrong type.
 */
export function parseFaultOrder(value: unknown): FaultOrder {
	return faultOrderShape.parse(value);
}

/** What a connection has to do at once. */
export type FaultSignal = 'silence' | 'cut' | 'availability';

/** The faults of one stand-in. */
export class Faults {
	#settings: FaultSettings = {...noFaults};
	#frozenUntil = 0;
	readonly #reset = new ClearTimer();
	#allowance = 0;
	#allowanceAt = performance.now();
	readonly #listeners = new Set<(signal: FaultSignal) => void>();

	/** The lasting faults as they stand. */
	get settings(): Readonly<FaultSettings> {
		return this.#settings;
	}

	/** Time in milliseconds until a freeze ends; 0 where there is none. */
	get frozenFor(): number {
		return Math.max(0, this.#frozenUntil - performance.now());
	}

	/** Calls back on each signal, until the returned function is called. */
	subscribe(listener: (signal: FaultSignal) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Changes the faults. */
	apply(order: FaultOrder): void {
		const {freeze, silence, cut, duration, ...settings} = order;
		this.#change({...this.#settings, ...settings});
		if (freeze !== undefined) {
			this.#frozenUntil = performance.now() + freeze;
		}

		if (silence) {
			this.#signal('silence');
		}

		if (cut) {
			this.#signal('cut');
		}

		this.#reset.start(duration, () => {
			this.clear();
		});
	}

	/** Ends all faults; connections that went silent stay so. */
	clear(): void {
		this.#reset.cancel();
		this.#frozenUntil = 0;
		this.#change({...noFaults});
	}

	/** Resolves once no freeze is on. */
	async thawed(): Promise<void> {
		while (this.frozenFor > 0) {
			// eslint-disable-next-line no-await-in-loop
			await delay(this.frozenFor);
		}
	}

	/** Waits as long as each request is to be slowed down. */
	async slowDown(): Promise<void> {
		if (this.#settings.slow > 0) {
			await delay(this.#settings.slow);
		}
	}

	/** Counts a request against the rate; false where it is above. */
	takeRequest(): boolean {
		const rate = this.#settings.requestsPerSecond;
		if (rate === 0) {
			return true;
		}

		const now = performance.now();
		this.#allowance = Math.min(Math.max(1, rate), this.#allowance + (((now - this.#allowanceAt) / 1000) * rate));
		this.#allowanceAt = now;
		if (this.#allowance < 1) {
			return false;
		}

		this.#allowance--;
		return true;
	}

	/** Whether the answer of a request whose work is done is to be dropped. */
	takeLostAnswer(): boolean {
		if (this.#settings.loseAnswers === 0) {
			return false;
		}

		this.#settings.loseAnswers--;
		return true;
	}

	#change(settings: FaultSettings): void {
		const previous = this.#settings;
		this.#settings = settings;
		if (settings.requestsPerSecond !== previous.requestsPerSecond) {
			this.#allowance = Math.max(1, settings.requestsPerSecond);
			this.#allowanceAt = performance.now();
		}

		if (settings.availability !== previous.availability) {
			this.#signal('availability');
		}
	}

	#signal(signal: FaultSignal): void {
		for (const listener of this.#listeners) {
			listener(signal);
		}
	}
}

/** Resolves after a time in milliseconds of the runtime's clock. */
async function delay(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
