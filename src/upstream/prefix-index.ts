/**
 * Which engines hold which prompt prefixes, by cache events that come late and with gaps.
 *
 * A wrong hit costs time only: the engine computes what it does not hold.
 *
 * @module
 */
import {match} from 'ts-pattern';
import type {CacheEvent, CacheEventPage} from './engine.js';

type EngineCache = {
	incarnation: string | undefined;
	/** Sequence number of the last event taken in. */
	last: number;
	hashes: Set<string>;
	resync: boolean;
};

/** Prefixes by engine. */
export class PrefixIndex {
	readonly #engines = new Map<string, EngineCache>();
	readonly #holders = new Map<string, Set<string>>();

	/** Engines whose events have a gap; a snapshot mends it. */
	get toResync(): string[] {
		return [...this.#engines].filter(([, {resync}]) => resync).map(([name]) => name);
	}

	/** Sequence number after which an engine should be asked for events. */
	lastSequence(engine: string): number {
		return this.#engines.get(engine)?.last ?? 0;
	}

	/** Number of prefixes held by an engine as far as known. */
	hashCount(engine: string): number {
		return this.#engines.get(engine)?.hashes.size ?? 0;
	}

	/** Takes in a page of events. Events already seen are ignored. */
	applyEvents(engine: string, page: CacheEventPage): void {
		const cache = this.#cache(engine);
		if (cache.incarnation !== page.incarnation) {
			this.#clear(engine, cache);
			cache.resync = cache.incarnation !== undefined && (page.events[0]?.sequence ?? 1) > 1;
			cache.incarnation = page.incarnation;
			cache.last = 0;
		}

		for (const event of page.events) {
			if (event.sequence > cache.last) {
				cache.resync ||= event.sequence > cache.last + 1;
				this.#applyEvent(engine, cache, event);
				cache.last = event.sequence;
			}
		}

		if (page.last > cache.last) {
			cache.resync = true;
			cache.last = page.last;
		}
	}

	/** Replaces what is known of an engine by a snapshot. */
	applySnapshot(engine: string, snapshot: {incarnation: string; last: number; hashes: readonly string[]}): void {
		const cache = this.#cache(engine);
		this.#clear(engine, cache);
		this.addHashes(engine, snapshot.hashes);
		cache.incarnation = snapshot.incarnation;
		cache.last = snapshot.last;
		cache.resync = false;
	}

	/** Notes prefixes that an engine must hold now, ahead of its events. */
	addHashes(engine: string, hashes: readonly string[]): void {
		const cache = this.#cache(engine);
		for (const hash of hashes) {
			cache.hashes.add(hash);
			let holders = this.#holders.get(hash);
			if (!holders) {
				holders = new Set();
				this.#holders.set(hash, holders);
			}

			holders.add(engine);
		}
	}

	/** Forgets prefixes that an engine turned out not to hold. */
	removeHashes(engine: string, hashes: readonly string[]): void {
		const cache = this.#cache(engine);
		for (const hash of hashes) {
			cache.hashes.delete(hash);
			const holders = this.#holders.get(hash);
			holders?.delete(engine);
			if (holders?.size === 0) {
				this.#holders.delete(hash);
			}
		}
	}

	/** Asks for a resync of an engine whose cache turned out to differ from what is known. */
	requestResync(engine: string): void {
		this.#cache(engine).resync = true;
	}

	/** Forgets an engine that is gone. */
	removeEngine(engine: string): void {
		const cache = this.#engines.get(engine);
		if (cache) {
			this.#clear(engine, cache);
			this.#engines.delete(engine);
		}
	}

	/**
	 * Leading hashes of a prompt that an engine holds.
	 *
	 * Engines evict the ends of prefixes before their beginnings, so that the search may halve.
	 */
	matchLength(engine: string, hashes: readonly string[]): number {
		const held = this.#engines.get(engine)?.hashes;
		return held && held.size > 0 ? searchDepth(hashes, hash => held.has(hash)) : 0;
	}

	/** Engines that hold the longest known prefix of a prompt, at most `limit`, beginning at a rotation. */
	longestMatchEngines(hashes: readonly string[], limit: number, rotation: number): string[] {
		const deepest = searchDepth(hashes, hash => this.#holders.has(hash));
		if (deepest === 0) {
			return [];
		}

		const holders = this.#holders.get(hashes[deepest - 1]!)!;
		const skipped = holders.size > limit ? rotation % (holders.size - limit + 1) : 0;
		const found: string[] = [];
		let index = 0;
		for (const engine of holders) {
			if (index++ >= skipped) {
				found.push(engine);
			}

			if (found.length === limit) {
				break;
			}
		}

		return found;
	}

	#applyEvent(engine: string, cache: EngineCache, event: CacheEvent): void {
		match(event)
			.with({kind: 'stored'}, ({hashes}) => {
				this.addHashes(engine, hashes);
			})
			.with({kind: 'removed'}, ({hashes}) => {
				this.removeHashes(engine, hashes);
			})
			.with({kind: 'cleared'}, () => {
				this.#clear(engine, cache);
			})
			.exhaustive();
	}

	#clear(engine: string, cache: EngineCache): void {
		this.removeHashes(engine, [...cache.hashes]);
	}

	#cache(engine: string): EngineCache {
		let cache = this.#engines.get(engine);
		if (!cache) {
			cache = {
				incarnation: undefined, last: 0, hashes: new Set(), resync: false,
			};
			this.#engines.set(engine, cache);
		}

		return cache;
	}
}

function searchDepth(hashes: readonly string[], holds: (hash: string) => boolean): number {
	let low = 0;
	let high = hashes.length;
	while (low < high) {
		const middle = Math.ceil((low + high) / 2);
		if (holds(hashes[middle - 1]!)) {
			low = middle;
		} else {
			high = middle - 1;
		}
	}

	return low;
}
