/**
 * Writes to a caller no faster than the caller reads.
 *
 * @module
 */
import type {ServerResponse} from 'node:http';
import {CarobquayError} from '../errors/errors.js';

/** Writes to one response. */
export class ResponseWriter {
	readonly #response: ServerResponse;
	readonly #silence: number;

	/** @param silence - Longest time in milliseconds that the caller may leave unread what was written. */
	constructor(response: ServerResponse, silence: number) {
		this.#response = response;
		this.#silence = silence;
	}

	/**
	 * Writes a piece.
	 *
	 * @returns a promise where the caller is slower than the answer; it resolves once there is room,
	 * and rejects with 4009 where the caller reads nothing for too long.
	 */
	write(text: string): Promise<void> | undefined {
		return this.#response.write(text) ? undefined : this.#drained();
	}

	async #drained(): Promise<void> {
		return new Promise((resolve, reject) => {
			const settle = (error?: CarobquayError) => {
				clearTimeout(timer);
				this.#response.off('drain', onDrain);
				this.#response.off('close', onClose);
				if (error === undefined) {
					resolve();
				} else {
					reject(error);
				}
			};

			const onDrain = () => {
				settle();
			};

			const onClose = () => {
				settle(new CarobquayError('4009', {message: 'the caller left while the answer was sent', ran: 'yes'}));
			};

			const timer = setTimeout(() => {
				settle(new CarobquayError('4009', {message: `the caller read nothing for ${this.#silence} ms`, ran: 'yes'}));
				this.#response.destroy();
			}, this.#silence);
			this.#response.once('drain', onDrain);
			this.#response.once('close', onClose);
		});
	}
}
