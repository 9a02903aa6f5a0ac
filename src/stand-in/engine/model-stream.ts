/**
 * Streams inside a modelled engine.
 *
 * @module
 */
import type {Usage} from '../../upstream/engine.js';
import type {CacheEntry} from './block-memory.js';

/** Work for the engine. */
export type ModelRequest = {
	streamId: string;
	requestId: string;
	attempt: number;
	owner: string;
	promptTokens: number;
	/** Tokens that the answer will have; at least 1. */
	answerTokens: number;
	/** Higher runs first. */
	priority: number;
	/** Hash of each whole part of the prompt together with all before it. */
	prefixHashes: readonly string[];
	/** Prompt tokens that one prefix hash covers. */
	tokensPerPrefixHash: number;
	/** Reservation whose blocks the stream takes over; one that is gone is ignored. */
	reservationId?: string;
};

/** Where a stream stands. */
export type ModelStreamState = 'waiting' | 'prefilling' | 'decoding' | 'ended';

/** A stream inside the model; read only for others. */
export type ModelStream = {
	readonly request: ModelRequest;
	/** Order of arrival. */
	readonly arrival: number;
	state: ModelStreamState;
	/** Prompt tokens whose KV memory is filled, cached ones included. */
	prefilled: number;
	cachedTokens: number;
	/** Answer tokens so far. */
	produced: number;
	/** Blocks that only this stream uses. */
	ownBlocks: number;
	/** Cached prefixes that this stream uses. */
	entries: CacheEntry[];
};

/** Result of one step; it holds from the end of the step's duration on. */
export type StepResult = {
	/** Time in milliseconds. */
	duration: number;
	/** Prompt tokens that were prefilled. */
	prefilled: number;
	/** Streams that got one token each. */
	produced: readonly ModelStream[];
	/** Those of `produced` that got their first. */
	firstTokens: readonly ModelStream[];
	/** Those of `produced` that got their last and freed their memory. */
	finished: readonly ModelStream[];
};

/** Load of the model at this moment. */
export type ModelLoad = {
	running: number;
	waiting: number;
	pendingPromptTokens: number;
	/** Blocks that can be allocated, evictable cached ones included. */
	freeBlocks: number;
	totalBlocks: number;
	blockTokens: number;
};

/** Where all blocks are; free, streams, cache and reservations add up to total. */
export type BlockAccounts = {total: number; free: number; streams: number; cache: number; reservations: number};

/** Tokens used by a stream so far. */
export function streamUsage({request, cachedTokens, produced}: ModelStream): Usage {
	return {promptTokens: request.promptTokens, cachedTokens, answerTokens: produced};
}

/** Blocks of several holders together. */
export function sumBlocks(holders: ReadonlyArray<{blocks: number}>): number {
	let sum = 0;
	for (const {blocks} of holders) {
		sum += blocks;
	}

	return sum;
}

/** Inserts a stream behind all streams of the same or a higher priority that arrived before. */
export function insertByPriority(queue: ModelStream[], stream: ModelStream): void {
	let index = queue.length;
	while (index > 0 && comesBefore(stream, queue[index - 1]!)) {
		index--;
	}

	queue.splice(index, 0, stream);
}

function comesBefore(left: ModelStream, right: ModelStream): boolean {
	return left.request.priority === right.request.priority
		? left.arrival < right.arrival
		: left.request.priority > right.request.priority;
}
