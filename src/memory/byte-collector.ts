/**
 * Collects bytes that arrive in chunks of any size.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {bufferGarbage} from './process-memory.js';

/** Size in bytes of the blocks into which small chunks are copied. */
const blockBytes = 16_384;

/** Least size in bytes of a chunk that is kept as it is; a buffer object takes some hundred bytes in addition. */
const minimumKeptChunk = 4096;

/** Bytes in pieces: large chunks as they arrive, small ones copied into blocks, so that a chunk of one byte takes one byte. */
export class ByteCollector {
	#pieces: Uint8Array[] = [];
	/** Last block, and the number of its bytes that are in use; empty where the last piece is a chunk. */
	#block: Uint8Array = new Uint8Array(0);
	#used = 0;
	#length = 0;

	/** Number of bytes collected. */
	get length(): number {
		return this.#length;
	}

	append(chunk: Uint8Array): void {
		this.#length += chunk.length;
		// A part of a larger buffer would keep all of it.
		if (chunk.length >= minimumKeptChunk && chunk.length === chunk.buffer.byteLength) {
			this.#endBlock();
			this.#pieces.push(chunk);
			return;
		}

		for (let position = 0; position < chunk.length;) {
			if (this.#used === this.#block.length) {
				this.#endBlock();
				this.#block = Buffer.allocUnsafeSlow(blockBytes);
			}

			const part = chunk.subarray(position, position + this.#block.length - this.#used);
			this.#block.set(part, this.#used);
			this.#used += part.length;
			position += part.length;
		}
	}

	/** Returns all bytes and keeps none. */
	take(): Uint8Array {
		this.#endBlock();
		const pieces = this.#pieces;
		const length = this.#length;
		this.clear();
		if (pieces.length === 1) {
			return pieces[0]!;
		}

		// Not from the pool, of which a part would keep the whole.
		const bytes = Buffer.allocUnsafeSlow(length);
		bufferGarbage.record(length);
		let position = 0;
		for (const piece of pieces) {
			bytes.set(piece, position);
			position += piece.length;
		}

		return bytes;
	}

	/** Forgets all bytes. */
	clear(): void {
		this.#pieces = [];
		this.#block = new Uint8Array(0);
		this.#used = 0;
		this.#length = 0;
	}

	/** Ends the last block, whose unused rest is freed. */
	#endBlock(): void {
		if (this.#used > 0) {
			this.#pieces.push(this.#used === this.#block.length ? this.#block : new Uint8Array(this.#block.subarray(0, this.#used)));
		}

		this.#block = new Uint8Array(0);
		this.#used = 0;
	}
}
