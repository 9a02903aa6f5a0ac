/**
 * Collects the garbage of buffers before it takes much of the memory that the process may take.
 *
 * The runtime keeps buffers outside of its heap. It counts them, but while connections send at full speed it lets more than
 * 100 MB of them become garbage before it has collected any.
 *
 * @module
 */

/** Counts buffers that may be garbage. */
export class BufferGarbage {
	/** Bytes of buffers that may be garbage. */
	limit = Number.POSITIVE_INFINITY;
	readonly #collect: () => void;
	#bytes = 0;

	/** @param collect - Collects all garbage at once. */
	constructor(collect: () => void) {
		this.#collect = collect;
	}

	/** Counts bytes that were received, whose buffers are copied or dropped soon, or that were kept until now. */
	record(bytes: number): void {
		this.#bytes += bytes;
		if (this.#bytes >= this.limit) {
			this.#bytes = 0;
			this.#collect();
		}
	}
}
