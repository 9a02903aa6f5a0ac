/**
 * The boundary of a simulated process: nothing passes it once the process has died or while it is paused.
 *
 * @module
 */
import {setMaxListeners} from 'node:events';
import {performance} from 'node:perf_hooks';
import {sleep} from '../platform/backoff.js';

/** Passes calls of one process in and out. */
export class ProcessBoundary {
	readonly #death = new AbortController();
	#pausedUntil = 0;

	constructor() {
		// Every connection of the process listens.
		setMaxListeners(0, this.#death.signal);
	}

	/** Aborts when the process dies; its connections break then. */
	get death(): AbortSignal {
		return this.#death.signal;
	}

	die(): void {
		this.#death.abort(new Error('the process died'));
	}

	/** Stops the process for a time in milliseconds; it then goes on as if no time had passed. */
	pause(milliseconds: number): void {
		this.#pausedUntil = performance.now() + milliseconds;
	}

	/** Resolves while the process runs; never once it has died. */
	async running(): Promise<void> {
		while (this.#pausedUntil > performance.now() && !this.#death.signal.aborted) {
			await sleep(this.#pausedUntil - performance.now()); // eslint-disable-line no-await-in-loop
		}

		if (this.#death.signal.aborted) {
			await forever();
		}
	}

	/** Makes a call to the outside and takes its result in. */
	async call<Result>(work: () => Promise<Result>): Promise<Result> {
		await this.running();
		try {
			return await work();
		} finally {
			await this.running();
		}
	}

	/** Reads a stream from the outside. */
	async * stream<Message>(open: () => AsyncIterable<Message>): AsyncGenerator<Message> {
		await this.running();
		try {
			for await (const message of open()) {
				await this.running();
				yield message;
				await this.running();
			}
		} finally {
			await this.running();
		}
	}
}

async function forever(): Promise<void> {
	await new Promise<void>(() => {
		// A dead process does nothing more.
	});
}
