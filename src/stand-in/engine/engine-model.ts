/**
 * A continuously batching engine without timers: each step takes the work that a real engine would take and says how
 * long it lasts.
 *
 * @module
 */
import type {CacheEvent} from '../../upstream/engine.js';
import {BlockMemory, type CacheEntry} from './block-memory.js';
import {defaultEngineParameters, type EngineParameters} from './engine-parameters.js';
import {type Admission, MemoryHolds} from './memory-holds.js';
import {
	type BlockAccounts, insertByPriority, type ModelLoad, type ModelRequest, type ModelStream, type StepResult, sumBlocks,
} from './model-stream.js';

/** Memory to set aside; the expiry is in milliseconds of the caller's clock. */
export type ReservationRequest = {reservationId: string; promptTokens: number; answerTokens: number; expiresAt: number};

const noStreams: readonly ModelStream[] = [];

/** A continuously batching engine. All times are milliseconds of whatever clock the caller uses. */
export class EngineModel {
	readonly #parameters: EngineParameters;
	readonly #memory: BlockMemory;
	readonly #streams = new Map<string, ModelStream>();
	readonly #waiting: ModelStream[] = [];
	readonly #prefilling: ModelStream[] = [];
	readonly #decoding: ModelStream[] = [];
	readonly #holds: MemoryHolds;
	/** First waiting stream that found no memory, with what was available; spares looking up its prefix each step. */
	#blocked: {stream: ModelStream; available: number} | undefined;
	#arrivals = 0;
	#pendingPromptTokens = 0;

	/** @param parameters - What differs from the default engine. */
	constructor(parameters: Partial<EngineParameters> = {}) {
		this.#parameters = {...defaultEngineParameters, ...parameters};
		this.#memory = new BlockMemory(this.#parameters);
		this.#holds = new MemoryHolds(this.#memory);
	}

	get parameters(): Readonly<EngineParameters> {
		return this.#parameters;
	}

	/** A stream that waits or runs. */
	stream(streamId: string): ModelStream | undefined {
		return this.#streams.get(streamId);
	}

	/** Blocks that a prompt with its answer takes. */
	blocksFor(promptTokens: number, answerTokens: number): number {
		return Math.ceil((promptTokens + answerTokens) / this.#parameters.blockTokens);
	}

	/** Queues a stream; it waits while memory or batch are full. */
	submit(request: ModelRequest): Admission {
		if (this.blocksFor(request.promptTokens, request.answerTokens) > this.#memory.total) {
			return 'never-fits';
		}

		const stream: ModelStream = {
			request, arrival: this.#arrivals++, state: 'waiting', prefilled: 0, cachedTokens: 0, produced: 0, ownBlocks: 0, entries: [],
		};
		if (request.reservationId !== undefined) {
			stream.ownBlocks = this.#holds.take(request.reservationId);
		}

		this.#streams.set(request.streamId, stream);
		this.#pendingPromptTokens += request.promptTokens;
		insertByPriority(this.#waiting, stream);
		return 'accepted';
	}

	/** Runs one step; undefined where there is nothing to do. */
	step(): StepResult | undefined {
		this.#admit();
		const {stepBase, chunkedPrefill} = this.#parameters;
		if (this.#prefilling.length + this.#decoding.length === 0) {
			return undefined;
		}

		const decodes = chunkedPrefill || this.#prefilling.length === 0;
		const decoded = decodes ? this.#decode() : {duration: 0, produced: [], finished: []};
		const chunk = this.#prefill();
		for (const stream of chunk.completed) {
			stream.produced = 1;
			decoded.produced.push(stream);
			this.#afterFirstToken(stream, decoded.finished);
		}

		for (const stream of decoded.finished) {
			this.#end(stream);
		}

		return {
			duration: stepBase + decoded.duration + chunk.duration,
			prefilled: chunk.tokens,
			produced: decoded.produced,
			firstTokens: chunk.completed,
			finished: decoded.finished,
		};
	}

	/** Ends a stream and frees its memory; false where it is gone already. */
	cancel(streamId: string): boolean {
		const stream = this.#streams.get(streamId);
		if (!stream) {
			return false;
		}

		this.#pendingPromptTokens -= stream.request.promptTokens - stream.prefilled;
		for (const queue of [this.#waiting, this.#prefilling, this.#decoding]) {
			const index = queue.indexOf(stream);
			if (index !== -1) {
				queue.splice(index, 1);
			}
		}

		this.#end(stream);
		return true;
	}

	load(): ModelLoad {
		return {
			running: this.#prefilling.length + this.#decoding.length,
			waiting: this.#waiting.length,
			pendingPromptTokens: this.#pendingPromptTokens,
			freeBlocks: this.#memory.available,
			totalBlocks: this.#memory.total,
			blockTokens: this.#parameters.blockTokens,
		};
	}

	/** Time in milliseconds that the prefills ahead of a new stream would take. */
	expectedWait(): number {
		const {stepBase, chunkTokens} = this.#parameters;
		let wait = stepBase * Math.ceil(this.#pendingPromptTokens / chunkTokens);
		for (const queue of [this.#waiting, this.#prefilling]) {
			for (const stream of queue) {
				wait += this.#prefillTime(stream.prefilled, stream.request.promptTokens - stream.prefilled);
			}
		}

		return wait;
	}

	/**
	 * Sets memory aside for a stream that is about to come.
	 *
	 * Refused also while a stream waits for memory, which would otherwise never get it.
	 *
	 * @param reservation - `expiresAt` is the time from which `expire` frees the memory.
	 */
	reserve({reservationId, promptTokens, answerTokens, expiresAt}: ReservationRequest): Admission {
		this.#admit();
		const queued = this.#waiting.length > 0 && this.#running < this.#parameters.maximumBatch;
		const blocks = this.blocksFor(promptTokens, answerTokens);
		return queued && blocks <= this.#memory.total ? 'no-memory' : this.#holds.reserve(reservationId, blocks, expiresAt);
	}

	/** Frees a reservation; one that is gone is no error. */
	release(reservationId: string): void {
		this.#holds.release(reservationId);
	}

	/** Keeps cached prefixes from eviction until a time; returns those that are cached. */
	holdForExport(holdId: string, hashes: readonly string[], expiresAt: number): string[] {
		return this.#holds.holdForExport(holdId, hashes, expiresAt);
	}

	/** Fills the cache with prefixes from elsewhere and keeps them from eviction until a time. */
	importCache(holdId: string, cache: {hashes: readonly string[]; blocksPerHash: number; expiresAt: number}): Admission {
		return this.#holds.importCache(holdId, cache);
	}

	/** Ends the hold of an export or import; one that is gone is no error. */
	releaseHold(holdId: string): void {
		this.#holds.releaseHold(holdId);
	}

	/** Frees reservations, exports and imports whose time is over. */
	expire(now: number): void {
		this.#holds.expire(now);
	}

	/** Sequence number of the latest cache event; 0 before the first. */
	get lastCacheEvent(): number {
		return this.#memory.lastSequence;
	}

	/** Cache events after a sequence number; a gap before the first means that older ones are no longer kept. */
	cacheEvents(after: number): {events: CacheEvent[]; last: number} {
		return {events: this.#memory.eventsAfter(after), last: this.#memory.lastSequence};
	}

	/** All cached hashes with the sequence number of the latest event in them. */
	cacheSnapshot(): {hashes: string[]; last: number} {
		return {hashes: this.#memory.hashes(), last: this.#memory.lastSequence};
	}

	/** Forgets all cached prefixes. */
	clearCache(): void {
		this.#memory.clear();
	}

	/** Counts every block from its holder; takes time in proportion to streams and entries. */
	accounts(): BlockAccounts {
		const entries = new Set<CacheEntry>(this.#memory.entries);
		let streams = 0;
		for (const stream of this.#streams.values()) {
			streams += stream.ownBlocks;
			for (const entry of stream.entries) {
				entries.add(entry);
			}
		}

		for (const entry of this.#holds.entries) {
			entries.add(entry);
		}

		return {
			total: this.#memory.total,
			free: this.#memory.free,
			streams,
			cache: sumBlocks([...entries]),
			reservations: this.#holds.reservedBlocks,
		};
	}

	get #running(): number {
		return this.#prefilling.length + this.#decoding.length;
	}

	/** Moves waiting streams into the batch in order, up to the first that finds no memory. */
	#admit(): void {
		while (this.#waiting.length > 0 && this.#running < this.#parameters.maximumBatch) {
			const stream = this.#waiting[0]!;
			if (stream === this.#blocked?.stream && this.#memory.available <= this.#blocked.available) {
				return;
			}

			if (!this.#allocateFor(stream)) {
				this.#blocked = {stream, available: this.#memory.available};
				return;
			}

			this.#waiting.shift();
			stream.state = 'prefilling';
			insertByPriority(this.#prefilling, stream);
		}
	}

	#allocateFor(stream: ModelStream): boolean {
		const {promptTokens, answerTokens, prefixHashes, tokensPerPrefixHash} = stream.request;
		// The last prompt token is always computed: its result gives the first answer token.
		const reusable = this.#blocksPerHash(stream) > 0 ? Math.floor((promptTokens - 1) / tokensPerPrefixHash) : 0;
		const entries = this.#memory.acquirePrefix(prefixHashes, reusable);
		const more = this.blocksFor(promptTokens, answerTokens) - sumBlocks(entries) - stream.ownBlocks;
		if (more > 0 && !this.#memory.allocate(more)) {
			this.#memory.releaseEntries(entries);
			return false;
		}

		if (more < 0) {
			this.#memory.release(-more);
		}

		stream.ownBlocks += more;
		stream.entries = entries;
		stream.cachedTokens = entries.length * tokensPerPrefixHash;
		stream.prefilled = stream.cachedTokens;
		this.#pendingPromptTokens -= stream.cachedTokens;
		return true;
	}

	#blocksPerHash(stream: ModelStream): number {
		return Math.floor(stream.request.tokensPerPrefixHash / this.#parameters.blockTokens);
	}

	#decode(): {duration: number; produced: ModelStream[]; finished: ModelStream[]} {
		const produced: ModelStream[] = [...this.#decoding];
		const finished: ModelStream[] = [];
		let contextTokens = 0;
		let kept = 0;
		for (const stream of produced) {
			contextTokens += stream.request.promptTokens + stream.produced;
			stream.produced++;
			if (stream.produced >= stream.request.answerTokens) {
				finished.push(stream);
			} else {
				this.#decoding[kept++] = stream;
			}
		}

		this.#decoding.length = kept;
		return {duration: (contextTokens / 1000) * this.#parameters.decodeReadPerThousandTokens, produced, finished};
	}

	#prefill(): {duration: number; tokens: number; completed: readonly ModelStream[]} {
		if (this.#prefilling.length === 0) {
			return {duration: 0, tokens: 0, completed: noStreams};
		}

		const {chunkTokens, chunkedPrefill} = this.#parameters;
		const begun = chunkedPrefill ? undefined : this.#prefilling.find(stream => stream.prefilled > stream.cachedTokens);
		const candidates = chunkedPrefill ? this.#prefilling : [begun ?? this.#prefilling[0]!];
		const completed: ModelStream[] = [];
		let duration = 0;
		let budget = chunkTokens;
		for (const stream of candidates) {
			if (budget === 0) {
				break;
			}

			const tokens = Math.min(budget, stream.request.promptTokens - stream.prefilled);
			duration += this.#prefillTime(stream.prefilled, tokens);
			budget -= tokens;
			this.#fill(stream, tokens);
			if (stream.prefilled === stream.request.promptTokens) {
				completed.push(stream);
			}
		}

		return {duration, tokens: chunkTokens - budget, completed};
	}

	/** Time in milliseconds to prefill tokens behind a context; each token attends to all before it. */
	#prefillTime(context: number, tokens: number): number {
		const {prefillPerToken, prefillPerTokenContext} = this.#parameters;
		return tokens * (prefillPerToken + (((context + (tokens / 2)) / 1000) * prefillPerTokenContext));
	}

	#fill(stream: ModelStream, tokens: number): void {
		const {prefixHashes, tokensPerPrefixHash} = stream.request;
		const first = Math.floor(stream.prefilled / tokensPerPrefixHash);
		stream.prefilled += tokens;
		this.#pendingPromptTokens -= tokens;
		const blocksPerHash = this.#blocksPerHash(stream);
		if (blocksPerHash === 0) {
			return;
		}

		const hashes = prefixHashes.slice(first, Math.floor(stream.prefilled / tokensPerPrefixHash)).filter(hash => !this.#memory.has(hash));
		stream.ownBlocks -= hashes.length * blocksPerHash;
		stream.entries.push(...this.#memory.store(hashes, blocksPerHash));
	}

	#afterFirstToken(stream: ModelStream, finished: ModelStream[]): void {
		this.#prefilling.splice(this.#prefilling.indexOf(stream), 1);
		if (stream.request.answerTokens <= 1) {
			finished.push(stream);
		} else {
			stream.state = 'decoding';
			this.#decoding.push(stream);
		}
	}

	#end(stream: ModelStream): void {
		stream.state = 'ended';
		this.#streams.delete(stream.request.streamId);
		this.#memory.release(stream.ownBlocks);
		this.#memory.releaseEntries(stream.entries);
		stream.ownBlocks = 0;
		stream.entries = [];
	}
}
