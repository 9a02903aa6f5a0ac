/**
 * Derives the limits of the memory budget from what the process may take.
 *
 * @module
 */
import type {MemoryLimits} from './memory-budget.js';

/** Share of the process's memory that is left free: garbage that is not collected yet, and buffers of the runtime and kernel. */
const reservedShare = 0.25;

/** Least share of the process's memory that is kept for others, where the process itself takes most of it. */
const minimumShare = 0.1;

/** Share of the free heap that requests in progress may take; the rest is for the product's own state and for garbage. */
const headShare = 0.4;

/** Share of the ceiling for answers that are held until they are complete; they are copied once then, and count as unread. */
const bufferedShare = 0.2;

/** Share of the ceiling for answers that callers have not read. */
const unreadShare = 0.4;

/** Share of the ceiling for bodies of requests, which are copied once when they are complete. */
const bodyShare = 0.6;

/** Share of the ceiling for bytes relayed to and from engines, and for copies of tables. */
const transferShare = 0.25;

/** Share of requests in progress, and of their bodies, that one owner may take: work that has begun cannot be given up for others. */
const ownerShare = 0.75;

/** What a process may take and takes, in bytes. */
export type ProcessMemory = {
	/** Limit that the platform sets; undefined where the settings name none. */
	memoryLimit: number | undefined;
	/** Limit of the runtime's heap, which its options set. */
	heapLimit: number;
	/** Resident memory and heap in use before any request. */
	residentAtStart: number;
	heapAtStart: number;
};

/** Limits of the memory that a process keeps for others. Without a limit of the platform, buffers may take as much as the heap. */
export function deriveMemoryLimits({memoryLimit, heapLimit, residentAtStart, heapAtStart}: ProcessMemory): MemoryLimits {
	const limit = memoryLimit ?? 2 * heapLimit;
	const ceiling = Math.floor(Math.max(limit * minimumShare, (limit * (1 - reservedShare)) - residentAtStart));
	return {
		ceiling,
		sources: {
			'request-heads': Math.floor(Math.max(0, heapLimit - heapAtStart) * headShare),
			'request-bodies': Math.floor(ceiling * bodyShare),
			'buffered-answers': Math.floor(ceiling * bufferedShare),
			'unread-answers': Math.floor(ceiling * unreadShare),
			'relayed-bytes': Math.floor(ceiling * transferShare),
			tables: Math.floor(ceiling * transferShare),
		},
		ownerShares: {'request-heads': ownerShare, 'request-bodies': ownerShare},
	};
}
