/**
 * Client interface of a model engine, with the requests and messages that it exchanges.
 *
 * @module
 */

/** A prompt to run, with the data that the engine needs to schedule it and to free its resources. */
export type GenerateRequest = {
	requestId: string;
	/** Increases with each attempt of the same request. */
	attempt: number;
	/** Instance and incarnation that own the stream; the streams of owners found dead are cancelled. */
	owner: string;
	/** The caller's chat-completions request body, unmodified JSON. */
	body: readonly Uint8Array[];
	/** Scheduling priority; higher values run first. */
	priority: number;
	/** Time remaining until the caller's deadline, in milliseconds. */
	timeRemaining: number;
	/** Time in milliseconds for which the engine keeps a stream that has no reader before it frees it. */
	orphanLifetime: number;
	/**
	 * Whether to send on a new connection, so that a connect failure proves that the request did not run.
	 * @default false
	 */
	freshConnection?: boolean;
	/** Memory reservation to use, if one was made. */
	reservationId?: string;
};

/** Token counts of a stream. */
export type Usage = {promptTokens: number; cachedTokens: number; answerTokens: number};

/** Why a stream ended. */
export type EndReason = 'stop' | 'length' | 'cancelled' | 'deadline';

/** One message of a stream. Offsets count answer tokens from 0, without gaps. */
export type EngineMessage
	= | {kind: 'accepted'; requestId: string; attempt: number; streamId: string}
		| {kind: 'token'; requestId: string; attempt: number; offset: number; text: string}
		| {kind: 'heartbeat'; requestId: string; attempt: number}
		| {kind: 'end'; requestId: string; attempt: number; offset: number; reason: EndReason; usage: Usage};

/** Phases that an engine runs; prefill and decode may be disaggregated onto separate engines. */
export type EngineRole = 'mixed' | 'prefill' | 'decode';

/** Load as the engine reports it; the figures may be stale. */
export type LoadReport = {
	/** Increases with each report of the same incarnation. */
	sequence: number;
	/** Id that changes with each restart of the engine. */
	incarnation: string;
	/** Age of the figures in milliseconds at the time of sending, as far as the engine knows. */
	age: number;
	running: number;
	waiting: number;
	/** Prompt tokens not yet prefilled, summed over running and waiting streams. */
	pendingPromptTokens: number;
	freeBlocks: number;
	totalBlocks: number;
	/** Tokens in one KV cache block. */
	blockTokens: number;
	models: readonly string[];
	role: EngineRole;
	leaving: boolean;
};

/** A change of the prefix cache. A hash identifies a block together with all blocks before it. */
export type CacheEvent
	= | {sequence: number; kind: 'stored'; hashes: readonly string[]}
		| {sequence: number; kind: 'removed'; hashes: readonly string[]}
		| {sequence: number; kind: 'cleared'};

/** Events after a requested sequence number; a gap between that number and the first event means that events were lost. */
export type CacheEventPage = {incarnation: string; events: readonly CacheEvent[]; last: number};

/** A running stream, listed so that streams whose owner is gone can be found. */
export type StreamSummary = {
	streamId: string;
	requestId: string;
	attempt: number;
	owner: string;
	/** Time in milliseconds since the last reader detached; 0 while a reader is attached. */
	orphanedFor: number;
	/** KV cache blocks that the stream holds. */
	blocks: number;
};

/** Command that changes the loaded models or the role of an engine. */
export type EngineCommand
	= | {kind: 'load'; name: string; version: string; fencingNumber: number}
		| {kind: 'unload'; name: string; version: string; fencingNumber: number}
		| {kind: 'role'; role: EngineRole; fencingNumber: number};

/** KV cache memory reserved for a request that is about to be sent. */
export type Reservation = {
	reservationId: string;
	/** Expected wait in milliseconds before the prefill of the request begins. */
	expectedWait: number;
};

/** KV cache content exported from one engine for import into another. */
export type CacheExport = {exportId: string; hashes: readonly string[]; bytes: Uint8Array};

/**
 * Client of one model engine.
 *
 * Methods throw CarobquayError: 4002 (could not connect; did not run), 4003 (connection broke; unknown whether it ran),
 * 4004 (inactivity timeout; unknown whether it ran), 4005 (the engine refused; did not run), 4006 (old fencing number).
 */
export interface EngineClient {
	readonly name: string;
	/** Starts a stream. Aborting the signal closes the connection but not the stream; use `cancel` for that. */
	generate(request: GenerateRequest, signal: AbortSignal): AsyncIterable<EngineMessage>;
	/** Continues a stream from an answer offset on a new connection. Throws 4005 if the stream no longer exists. */
	resume(streamId: string, offset: number, signal: AbortSignal): AsyncIterable<EngineMessage>;
	/** Cancels a stream and frees its memory; a stream that no longer exists is not an error. */
	cancel(streamId: string, signal?: AbortSignal): Promise<void>;
	/** Cancels by request and attempt, for a caller of `generate` that received no "accepted" message and so has no stream id. */
	cancelRequest(requestId: string, attempt: number, signal?: AbortSignal): Promise<void>;
	listStreams(signal?: AbortSignal): Promise<StreamSummary[]>;
	fetchLoad(signal?: AbortSignal): Promise<LoadReport>;
	cacheEvents(after: number, signal?: AbortSignal): Promise<CacheEventPage>;
	/** All block hashes that are cached now, for a resync after lost events. */
	cacheSnapshot(signal?: AbortSignal): Promise<{incarnation: string; last: number; hashes: readonly string[]}>;
	/** Reserves KV cache memory; the reservation expires after `lifetime` milliseconds. */
	reserve(request: {requestId: string; owner: string; promptTokens: number; answerTokens: number; lifetime: number}, signal?: AbortSignal): Promise<Reservation>;
	release(reservationId: string, signal?: AbortSignal): Promise<void>;
	sendCommand(command: EngineCommand, signal?: AbortSignal): Promise<void>;
	/** Exports cached blocks; the engine keeps them cached for `lifetime` milliseconds. */
	exportCache(hashes: readonly string[], owner: string, lifetime: number, signal?: AbortSignal): Promise<CacheExport>;
	/** Imports cached blocks; the engine keeps them cached for `lifetime` milliseconds. */
	importCache(cache: CacheExport, owner: string, lifetime: number, signal?: AbortSignal): Promise<void>;
}
