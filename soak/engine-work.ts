/**
 * When engines were at work on the requests of a run.
 *
 * @module
 */

/** Work of all engines of one run. */
export class EngineWork {
	/** Monotonic times in milliseconds at which engines ended their work on a request, infinite if they have not, by its id. */
	readonly ends = new Map<string, number[]>();

	begin(requestId: string): void {
		this.ends.set(requestId, [...this.ends.get(requestId) ?? [], Number.POSITIVE_INFINITY]);
	}

	end(requestId: string): void {
		const ends = this.ends.get(requestId) ?? [];
		ends[ends.indexOf(Number.POSITIVE_INFINITY)] = performance.now();
	}
}
