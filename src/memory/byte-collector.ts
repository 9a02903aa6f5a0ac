/**
 * Collects bytes that arrive in chunks of any size.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

/** Size in bytes of the first block; each further one doubles what is kept, up to the greatest size. */
const firstBlockBytes = 1024;
const maximumBlockBytes = 262_144;

/**
 * Bytes that are kept in blocks. A chunk is copied, so that a chunk of one byte takes one byte, and the buffer into which
 * it was read is free.
 */
export class ByteCollector {
	readonly #expected: number | undefined;
	#blocks: Uint8Array[] = [];
	/** Bytes in the last block that are in use. */
	#used = 0;
	#length = 0;

	/** @param expected - Number of bytes that have been announced; undefined where none are known. */
	constructor(expected?: number) {
		this.#expected = expected;
	}

	/** Number of bytes collected. */
	get length(): number {
		return this.#length;
	}

	append(chunk: Uint8Array): void {
		let position = 0;
		while (position < chunk.length) {
			let block = this.#blocks.at(-1);
			if (block === undefined || this.#used === block.length) {
				block = Buffer.allocUnsafeSlow(this.#nextBlockSize(chunk.length - position));
				this.#blocks.push(block);
				this.#used = 0;
			}

			const count = Math.min(chunk.length - position, block.length - this.#used);
			block.set(chunk.subarray(position, position + count), this.#used);
			this.#used += count;
			position += count;
			this.#length += count;
		}
	}

	/** Returns all bytes and keeps none. Those of an announced number are not copied. */
	take(): Uint8Array {
		const blocks = this.#blocks;
		const last = blocks.pop()?.subarray(0, this.#used);
		const length = this.#length;
		this.clear();
		if (last === undefined) {
			return Buffer.alloc(0);
		}

		return blocks.length === 0 ? last : Buffer.concat([...blocks, last], length);
	}

	/** Forgets all bytes. */
	clear(): void {
		this.#blocks = [];
		this.#used = 0;
		this.#length = 0;
	}

	/** Pages of a block that nothing was written to are not resident, so that an announced size costs nothing before it arrives. */
	#nextBlockSize(missing: number): number {
		if (this.#length === 0 && this.#expected !== undefined) {
			return Math.max(this.#expected, missing);
		}

		return Math.max(missing, Math.min(maximumBlockBytes, Math.max(firstBlockBytes, this.#length)));
	}
}
