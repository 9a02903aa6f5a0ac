/**
 * What this process takes and may take.
 *
 * @module
 */
import process from 'node:process';
import v8 from 'node:v8';
import {BufferGarbage} from './buffer-garbage.js';
import {MemoryBudget} from './memory-budget.js';
import {deriveMemoryLimits} from './memory-limits.js';

/** Share of the memory that the platform allows, or else of the heap, that buffers without an owner may take. */
const garbageShare = 1 / 16;

/** Buffers of this process that may be garbage; they are collected if the runtime's options include `--expose-gc`. */
export const bufferGarbage = new BufferGarbage(() => {
	// A minor collection, or one that is asked for by its type, leaves buffers to be freed by later ones.
	globalThis.gc?.();
});

/** Resident memory of this process in bytes; undefined where it cannot be read, as that takes a file descriptor. */
export function residentBytes(): number | undefined {
	try {
		return process.memoryUsage.rss();
	} catch {
		return undefined;
	}
}

/** Creates the budget of this process. @param memoryLimit - Bytes that the platform allows it; undefined where none are known. */
export function createMemoryBudget(memoryLimit: number | undefined): MemoryBudget {
	const {heap_size_limit: heapLimit, used_heap_size: heapAtStart} = v8.getHeapStatistics();
	bufferGarbage.limit = Math.floor((memoryLimit ?? heapLimit) * garbageShare);
	return new MemoryBudget(deriveMemoryLimits({
		memoryLimit, heapLimit, heapAtStart, residentAtStart: residentBytes() ?? heapAtStart,
	}), (source, bytes) => {
		// Requests in progress lie in the heap, which the runtime bounds by itself.
		if (source !== 'request-heads') {
			bufferGarbage.record(bytes);
		}
	});
}
