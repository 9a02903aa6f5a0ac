/**
 * Memory of an engine that is set aside for a limited time: reservations, exports and imports.
 *
 * @module
 */
import type {BlockMemory, CacheEntry} from './block-memory.js';

/** Whether work was taken, or why not: it can never fit, or does not fit now. */
export type Admission = 'accepted' | 'never-fits' | 'no-memory';

type HeldReservation = {blocks: number; expiresAt: number};
type CacheHold = {entries: CacheEntry[]; expiresAt: number};

/** Reservations and held cache entries with their expiry, in milliseconds of the caller's clock. */
export class MemoryHolds {
	readonly #memory: BlockMemory;
	readonly #reservations = new Map<string, HeldReservation>();
	readonly #cacheHolds = new Map<string, CacheHold>();

	constructor(memory: BlockMemory) {
		this.#memory = memory;
	}

	/** Blocks in reservations. */
	get reservedBlocks(): number {
		let blocks = 0;
		for (const reservation of this.#reservations.values()) {
			blocks += reservation.blocks;
		}

		return blocks;
	}

	/** Cache entries held by exports and imports. */
	get entries(): CacheEntry[] {
		return [...this.#cacheHolds.values()].flatMap(hold => hold.entries);
	}

	/** Sets blocks aside. */
	reserve(reservationId: string, blocks: number, expiresAt: number): Admission {
		if (blocks > this.#memory.total) {
			return 'never-fits';
		}

		if (!this.#memory.allocate(blocks)) {
			return 'no-memory';
		}

		this.#reservations.set(reservationId, {blocks, expiresAt});
		return 'accepted';
	}

	/** Hands a reservation's blocks over to the caller; 0 where it is gone. */
	take(reservationId: string): number {
		const blocks = this.#reservations.get(reservationId)?.blocks ?? 0;
		this.#reservations.delete(reservationId);
		return blocks;
	}

	/** Frees a reservation; one that is gone is no error. */
	release(reservationId: string): void {
		this.#memory.release(this.take(reservationId));
	}

	/** Keeps cached prefixes from eviction until a time; returns those that are cached. */
	holdForExport(holdId: string, hashes: readonly string[], expiresAt: number): string[] {
		const entries = hashes.map(hash => this.#memory.acquire(hash)).filter(entry => entry !== undefined);
		this.#cacheHolds.set(holdId, {entries, expiresAt});
		return entries.map(entry => entry.hash);
	}

	/** Fills the cache with prefixes from elsewhere and keeps them from eviction until a time. */
	importCache(holdId: string, cache: {hashes: readonly string[]; blocksPerHash: number; expiresAt: number}): Admission {
		const hashes = [...new Set(cache.hashes)];
		// Held first, so that making room for the others does not evict them.
		const present = hashes.map(hash => this.#memory.acquire(hash)).filter(entry => entry !== undefined);
		const missing = hashes.filter(hash => !this.#memory.has(hash));
		const blocks = missing.length * cache.blocksPerHash;
		if (!this.#memory.allocate(blocks)) {
			this.#memory.releaseEntries(present);
			return blocks > this.#memory.total ? 'never-fits' : 'no-memory';
		}

		const entries = [...present, ...this.#memory.store(missing, cache.blocksPerHash)];
		this.#cacheHolds.set(holdId, {entries, expiresAt: cache.expiresAt});
		return 'accepted';
	}

	/** Ends the hold of an export or import; one that is gone is no error. */
	releaseHold(holdId: string): void {
		const hold = this.#cacheHolds.get(holdId);
		if (hold) {
			this.#cacheHolds.delete(holdId);
			this.#memory.releaseEntries(hold.entries);
		}
	}

	/** Frees everything whose time is over. */
	expire(now: number): void {
		for (const [id, {expiresAt}] of this.#reservations) {
			if (expiresAt <= now) {
				this.release(id);
			}
		}

		for (const [id, {expiresAt}] of this.#cacheHolds) {
			if (expiresAt <= now) {
				this.releaseHold(id);
			}
		}
	}
}
