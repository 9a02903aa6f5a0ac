/**
 * Reads bodies of requests within limits of size, memory and silence.
 *
 * @module
 */
import type {IncomingMessage} from 'node:http';
import {CarobquayError} from '../errors/errors.js';

/** Memory that the bodies of all requests may hold at once. */
export class BodyMemory {
	readonly #limit: number;
	#held = 0;

	/** @param limit - Bytes. */
	constructor(limit: number) {
		this.#limit = limit;
	}

	get held(): number {
		return this.#held;
	}

	/** @throws {CarobquayError} 3002 where the limit would be passed. */
	take(bytes: number): void {
		if (this.#held + bytes > this.#limit) {
			throw new CarobquayError('3002', {message: `bodies of requests hold ${this.#held} of ${this.#limit} bytes of memory at this instance`});
		}

		this.#held += bytes;
	}

	give(bytes: number): void {
		this.#held -= bytes;
	}
}

/** Limits of one body. */
export type BodyLimits = {
	/** Largest size in bytes. */
	size: number;
	/** Longest silence in milliseconds while the body arrives. */
	silence: number;
	memory: BodyMemory;
};

/** A body in memory; call `free` when it is no longer needed. */
export type ReceivedBody = {chunks: readonly Uint8Array[]; bytes: number; free: () => void};

/**
 * Reads a whole body.
 *
 * @param onChunk - Takes each chunk as it arrives.
 * @param expired - Aborts when this instance is about to end.
 * @throws {CarobquayError} 1003 where it is too large, 3002 where memory is short, 3006 where this instance ends before, 4009 where the caller leaves or falls silent.
 */
export async function receiveBody(incoming: IncomingMessage, limits: BodyLimits, onChunk: (chunk: Uint8Array) => void, expired?: AbortSignal): Promise<ReceivedBody> {
	const announced = Number(incoming.headers['content-length'] ?? 0);
	if (announced > limits.size) {
		throw tooLarge(announced, limits.size);
	}

	return new Promise((resolve, reject) => {
		const reception = new Reception(incoming, limits, onChunk, expired);
		reception.start(resolve, reject);
	});
}

/** One body that is arriving. */
class Reception {
	readonly #incoming: IncomingMessage;
	readonly #limits: BodyLimits;
	readonly #onChunk: (chunk: Uint8Array) => void;
	readonly #expired: AbortSignal | undefined;
	readonly #chunks: Uint8Array[] = [];
	#onExpiry: (() => void) | undefined;
	#bytes = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(incoming: IncomingMessage, limits: BodyLimits, onChunk: (chunk: Uint8Array) => void, expired: AbortSignal | undefined) {
		this.#incoming = incoming;
		this.#limits = limits;
		this.#onChunk = onChunk;
		this.#expired = expired;
	}

	start(resolve: (body: ReceivedBody) => void, reject: (error: CarobquayError) => void): void {
		const fail = (error: CarobquayError) => {
			this.#detach();
			this.#free();
			reject(error);
		};

		this.#onExpiry = () => {
			fail(new CarobquayError('3006', {message: 'this instance shut down before the body was received'}));
		};

		this.#expired?.addEventListener('abort', this.#onExpiry);
		this.#timer = setTimeout(() => {
			fail(new CarobquayError('4009', {message: `the caller sent nothing for ${this.#limits.silence} ms`, ran: 'no'}));
		}, this.#limits.silence);
		this.#incoming.on('data', (chunk: Uint8Array) => {
			try {
				this.#take(chunk);
			} catch (error) {
				if (error instanceof CarobquayError) {
					fail(error);
				}
			}
		});
		this.#incoming.once('end', () => {
			this.#detach();
			resolve({
				chunks: this.#chunks, bytes: this.#bytes, free: () => {
					this.#free();
				},
			});
		});
		this.#incoming.once('close', () => {
			if (!this.#incoming.complete) {
				fail(new CarobquayError('4009', {message: 'the caller left while sending the body', ran: 'no'}));
			}
		});
	}

	#take(chunk: Uint8Array): void {
		this.#timer?.refresh();
		if (this.#bytes + chunk.byteLength > this.#limits.size) {
			throw tooLarge(this.#bytes + chunk.byteLength, this.#limits.size);
		}

		this.#limits.memory.take(chunk.byteLength);
		this.#bytes += chunk.byteLength;
		this.#chunks.push(chunk);
		this.#onChunk(chunk);
	}

	#detach(): void {
		clearTimeout(this.#timer);
		this.#expired?.removeEventListener('abort', this.#onExpiry!);
		this.#incoming.removeAllListeners('data');
	}

	#free(): void {
		this.#limits.memory.give(this.#bytes);
		this.#bytes = 0;
	}
}

function tooLarge(bytes: number, limit: number): CarobquayError {
	return new CarobquayError('1003', {message: `the body has at least ${bytes} bytes; the limit is ${limit}`});
}
