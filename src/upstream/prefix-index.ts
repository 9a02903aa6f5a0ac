/**
 * Index of the prompt prefixes that engines have cached, kept from cache events that may arrive late and with gaps.
 *
 * A wrong match costs time only: the engine computes what it has not cached.
 *
 * @module
 */
import {match} from 'ts-pattern';
import type {CacheEvent, CacheEventPage} from './engine.js';

type EngineCacheState = {
	incarnation: string | undefined;
	/** Sequence number of the last event that was applied. */
	lastSequence: number;
	hashes: Set<string>;
	needsResync: boolean;
};

/** Cached prefixes by engine, as prefix hashes. */
export class PrefixIndex {
	readonly #states = new Map<string, EngineCacheState>();
	readonly #enginesByHash = new Map<string, Set<string>>();

	/** Names of engines for which cache events were lost or the index was found wrong; a cache snapshot restores the index. */
	get toResync(): string[] {
		return [...this.#states].filter(([, {needsResync}]) => needsResync).map(([name]) => name);
	}

	/** Sequence number after which to request further events from an engine. */
	lastSequence(engine: string): number {
		return this.#states.get(engine)?.lastSequence ?? 0;
	}

	/** Number of prefix hashes indexed for an engine. */
	hashCount(engine: string): number {
		return this.#states.get(engine)?.hashes.size ?? 0;
	}

	/** Applies a page of events. Events that were applied before are ignored. */
	applyEvents(engine: string, page: CacheEventPage): void {
		const state = this.#getOrCreateState(engine);
		if (state.incarnation !== page.incarnation) {
			this.#clear(engine, state);
			state.needsResync = state.incarnation !== undefined && (page.events[0]?.sequence ?? 1) > 1;
			state.incarnation = page.incarnation;
			state.lastSequence = 0;
		}

		for (const event of page.events) {
			if (event.sequence > state.lastSequence) {
				state.needsResync ||= event.sequence > state.lastSequence + 1;
				this.#applyEvent(engine, state, event);
				state.lastSequence = event.sequence;
			}
		}

		if (page.last > state.lastSequence) {
			state.needsResync = true;
			state.lastSequence = page.last;
		}
	}

	/** Replaces everything indexed for an engine by a snapshot of its cache. */
	applySnapshot(engine: string, snapshot: {incarnation: string; last: number; hashes: readonly string[]}): void {
		const state = this.#getOrCreateState(engine);
		this.#clear(engine, state);
		this.addHashes(engine, snapshot.hashes);
		state.incarnation = snapshot.incarnation;
		state.lastSequence = snapshot.last;
		state.needsResync = false;
	}

	/** Adds prefixes that an engine must have cached by now, before its events report them. */
	addHashes(engine: string, hashes: readonly string[]): void {
		const state = this.#getOrCreateState(engine);
		for (const hash of hashes) {
			state.hashes.add(hash);
			let engines = this.#enginesByHash.get(hash);
			if (!engines) {
				engines = new Set();
				this.#enginesByHash.set(hash, engines);
			}

			engines.add(engine);
		}
	}

	/** Removes prefixes that were found not to be in the cache of an engine. */
	removeHashes(engine: string, hashes: readonly string[]): void {
		const state = this.#getOrCreateState(engine);
		for (const hash of hashes) {
			state.hashes.delete(hash);
			const engines = this.#enginesByHash.get(hash);
			engines?.delete(engine);
			if (engines?.size === 0) {
				this.#enginesByHash.delete(hash);
			}
		}
	}

	/** Requests a resync of an engine whose cache was found to differ from the index. */
	requestResync(engine: string): void {
		this.#getOrCreateState(engine).needsResync = true;
	}

	/** Removes an engine that is no longer listed. */
	removeEngine(engine: string): void {
		const state = this.#states.get(engine);
		if (state) {
			this.#clear(engine, state);
			this.#states.delete(engine);
		}
	}

	/**
	 * Number of leading hashes of a prompt that an engine has cached.
	 *
	 * Engines evict the end of a prefix before its beginning, so a binary search finds the length.
	 */
	matchLength(engine: string, hashes: readonly string[]): number {
		const cached = this.#states.get(engine)?.hashes;
		return cached && cached.size > 0 ? prefixLength(hashes, hash => cached.has(hash)) : 0;
	}

	/**
	 * Engines that have cached the longest indexed prefix of a prompt.
	 *
	 * @param limit - Maximum number of engines.
	 * @param rotation - Offset at which the selection starts if more engines than the limit match.
	 */
	longestMatchEngines(hashes: readonly string[], limit: number, rotation: number): string[] {
		const length = prefixLength(hashes, hash => this.#enginesByHash.has(hash));
		if (length === 0) {
			return [];
		}

		const engines = this.#enginesByHash.get(hashes[length - 1]!)!;
		const skipped = engines.size > limit ? rotation % (engines.size - limit + 1) : 0;
		const found: string[] = [];
		let index = 0;
		for (const engine of engines) {
			if (index++ >= skipped) {
				found.push(engine);
			}

			if (found.length === limit) {
				break;
			}
		}

		return found;
	}

	#applyEvent(engine: string, state: EngineCacheState, event: CacheEvent): void {
		match(event)
			.with({kind: 'stored'}, ({hashes}) => {
				this.addHashes(engine, hashes);
			})
			.with({kind: 'removed'}, ({hashes}) => {
				this.removeHashes(engine, hashes);
			})
			.with({kind: 'cleared'}, () => {
				this.#clear(engine, state);
			})
			.exhaustive();
	}

	#clear(engine: string, state: EngineCacheState): void {
		this.removeHashes(engine, [...state.hashes]);
	}

	#getOrCreateState(engine: string): EngineCacheState {
		let state = this.#states.get(engine);
		if (!state) {
			state = {
				incarnation: undefined, lastSequence: 0, hashes: new Set(), needsResync: false,
			};
			this.#states.set(engine, state);
		}

		return state;
	}
}

/** Number of leading hashes that are cached, by binary search. */
function prefixLength(hashes: readonly string[], isCached: (hash: string) => boolean): number {
	let low = 0;
	let high = hashes.length;
	while (low < high) {
		const middle = Math.ceil((low + high) / 2);
		if (isCached(hashes[middle - 1]!)) {
			low = middle;
		} else {
			high = middle - 1;
		}
	}

	return low;
}
