/**
 * KV memory of an engine in blocks, with its prefix cache.
 *
 * A block is free, owned by one holder (a stream or a reservation), or part of a cache entry. An entry that nobody
 * references is idle and is evicted, least recently used first, when memory is needed.
 *
 * @module
 */
import type {CacheEvent} from '../../upstream/engine.js';

/** Cache events kept for readers that fall behind. */
const keptCacheEvents = 4096;

/** One cached prefix. */
export type CacheEntry = {
	readonly hash: string;
	readonly blocks: number;
	/** Number of streams, exports and imports that use the entry. */
	references: number;
	/** Whether a look-up finds the entry; false after the cache was cleared while it was in use. */
	indexed: boolean;
};

/** Sizes of the memory. */
export type BlockMemoryParameters = {
	/** Blocks in all. */
	blocks: number;
	/** Greatest number of blocks that idle cache entries keep. */
	prefixCacheBlocks: number;
};

/** Blocks with a prefix cache over them. */
export class BlockMemory {
	readonly total: number;
	readonly #prefixCacheBlocks: number;
	#free: number;
	#idleBlocks = 0;
	#sequence = 0;
	readonly #entries = new Map<string, CacheEntry>();
	/** Entries without references, least recently used first. */
	readonly #idle = new Map<string, CacheEntry>();
	#events: CacheEvent[] = [];

	constructor({blocks, prefixCacheBlocks}: BlockMemoryParameters) {
		this.total = blocks;
		this.#free = blocks;
		this.#prefixCacheBlocks = prefixCacheBlocks;
	}

	/** Blocks that nothing uses. */
	get free(): number {
		return this.#free;
	}

	/** Blocks that can be allocated, by eviction where needed. */
	get available(): number {
		return this.#free + this.#idleBlocks;
	}

	/** Sequence number of the latest cache event; 0 before the first. */
	get lastSequence(): number {
		return this.#sequence;
	}

	/** Indexed cache entries. */
	get entries(): IterableIterator<CacheEntry> {
		return this.#entries.values();
	}

	/** Hashes of all indexed entries. */
	hashes(): string[] {
		return [...this.#entries.keys()];
	}

	/** Cache events after a sequence number, as far as they are kept. */
	eventsAfter(after: number): CacheEvent[] {
		return this.#events.filter(event => event.sequence > after);
	}

	/**
	 * Takes blocks for one holder.
	 *
	 * @returns false, with nothing taken, where too few are available.
	 */
	allocate(blocks: number): boolean {
		if (blocks > this.available) {
			return false;
		}

		this.#evictUntil(() => this.#free >= blocks);
		this.#free -= blocks;
		return true;
	}

	/** Gives back blocks of one holder. */
	release(blocks: number): void {
		this.#free += blocks;
	}

	/** Whether an entry is indexed under a hash. */
	has(hash: string): boolean {
		return this.#entries.has(hash);
	}

	/** Entries of the longest cached prefix of a prompt, each referenced once more. */
	acquirePrefix(hashes: readonly string[], limit: number): CacheEntry[] {
		const acquired: CacheEntry[] = [];
		for (const hash of hashes) {
			const entry = acquired.length < limit ? this.acquire(hash) : undefined;
			if (!entry) {
				break;
			}

			acquired.push(entry);
		}

		return acquired;
	}

	/** The entry of a hash, referenced once more. */
	acquire(hash: string): CacheEntry | undefined {
		const entry = this.#entries.get(hash);
		if (!entry) {
			return undefined;
		}

		if (entry.references === 0) {
			this.#idle.delete(hash);
			this.#idleBlocks -= entry.blocks;
		}

		entry.references++;
		return entry;
	}

	/** Gives back references; the first entries of a prefix become the most recently used. */
	releaseEntries(entries: readonly CacheEntry[]): void {
		for (const entry of entries.toReversed()) {
			entry.references--;
			if (entry.references === 0) {
				this.#retire(entry);
			}
		}

		this.#evictUntil(() => this.#idleBlocks <= this.#prefixCacheBlocks);
	}

	/** Turns blocks that the caller holds into referenced entries; no hash may be indexed yet. */
	store(hashes: readonly string[], blocksPerHash: number): CacheEntry[] {
		const entries = hashes.map(hash => ({
			hash, blocks: blocksPerHash, references: 1, indexed: true,
		}));
		for (const entry of entries) {
			this.#entries.set(entry.hash, entry);
		}

		if (entries.length > 0) {
			this.#record({sequence: ++this.#sequence, kind: 'stored', hashes});
		}

		return entries;
	}

	/** Forgets all cached prefixes; those in use free their blocks when released. */
	clear(): void {
		for (const entry of this.#entries.values()) {
			entry.indexed = false;
		}

		this.#free += this.#idleBlocks;
		this.#idleBlocks = 0;
		this.#idle.clear();
		this.#entries.clear();
		this.#record({sequence: ++this.#sequence, kind: 'cleared'});
	}

	#retire(entry: CacheEntry): void {
		if (entry.indexed) {
			this.#idle.set(entry.hash, entry);
			this.#idleBlocks += entry.blocks;
		} else {
			this.#free += entry.blocks;
		}
	}

	#evictUntil(done: () => boolean): void {
		const removed: string[] = [];
		for (const [hash, entry] of this.#idle) {
			if (done()) {
				break;
			}

			this.#idle.delete(hash);
			this.#entries.delete(hash);
			this.#idleBlocks -= entry.blocks;
			this.#free += entry.blocks;
			removed.push(hash);
		}

		if (removed.length > 0) {
			this.#record({sequence: ++this.#sequence, kind: 'removed', hashes: removed});
		}
	}

	#record(event: CacheEvent): void {
		this.#events.push(event);
		if (this.#events.length > 2 * keptCacheEvents) {
			this.#events = this.#events.slice(-keptCacheEvents);
		}
	}
}
