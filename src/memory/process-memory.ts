/**
 * What this process takes and may take.
 *
 * @module
 */
import process from 'node:process';
import v8 from 'node:v8';
import {MemoryBudget} from './memory-budget.js';
import {deriveMemoryLimits} from './memory-limits.js';

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
	return new MemoryBudget(deriveMemoryLimits({
		memoryLimit, heapLimit, heapAtStart, residentAtStart: residentBytes() ?? heapAtStart,
	}));
}
