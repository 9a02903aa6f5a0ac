/**
 * Counts requests in flight and closes to new ones at shutdown.
 *
 * @module
 */
import {setMaxListeners} from 'node:events';
import {CarobquayError} from '../errors/errors.js';

/** Lets requests in until it is closed. */
export class RequestGate {
	#inFlight = 0;
	#closed = false;
	#emptied: Promise<void> | undefined;
	#onEmpty: (() => void) | undefined;
	readonly #expiry = new AbortController();

	constructor() {
		// Each request in flight listens.
		setMaxListeners(0, this.#expiry.signal);
	}

	/** Requests that have entered and not left. */
	get inFlight(): number {
		return this.#inFlight;
	}

	get isClosed(): boolean {
		return this.#closed;
	}

	/** Aborts when requests in flight are given up. */
	get expired(): AbortSignal {
		return this.#expiry.signal;
	}

	/**
	 * Lets a request in.
	 *
	 * @returns a function to call once when the request has ended.
	 * @throws {CarobquayError} 3006 once the gate is closed.
	 */
	enter(): () => void {
		if (this.#closed) {
			throw new CarobquayError('3006', {message: 'this instance is shutting down and takes no new requests'});
		}

		this.#inFlight += 1;
		let inside = true;
		return () => {
			if (inside) {
				inside = false;
				this.#inFlight -= 1;
				this.#reportEmpty();
			}
		};
	}

	/** Takes no more requests; resolves when those in flight have ended. */
	async close(): Promise<void> {
		this.#closed = true;
		this.#emptied ??= new Promise(resolve => {
			this.#onEmpty = resolve;
			this.#reportEmpty();
		});
		return this.#emptied;
	}

	/** Gives up the requests in flight, so that they are answered with an error. */
	expire(): void {
		this.#expiry.abort();
	}

	#reportEmpty(): void {
		if (this.#inFlight === 0) {
			this.#onEmpty?.();
		}
	}
}
