/**
 * A model engine, as the rest of the system sees it.
 *
 * @module
 */

/** A prompt to run, with what the engine needs to schedule and to clean up after it. */
export type GenerateRequest = {
	requestId: string;
	/** Rises with each attempt of the same request. */
	attempt: number;
	/** Instance and incarnation that owns the stream; the engine cancels streams of owners found dead. */
	owner: string;
	/** The caller's chat-completions body in JSON, as received. */
	body: readonly Uint8Array[];
	/** Higher runs first. */
	priority: number;
	/** Time left in milliseconds until the caller's deadline. */
	timeRemaining: number;
	/** Time in milliseconds that a stream lives on without a reader before the engine frees it. */
	orphanLifetime: number;
	/**
	 * Whether to send on a new connection, so that a failure to connect proves that the request did not run.
	 * @default false
	 */
	freshConnection?: boolean;
	/** Reservation to use, if one was made. */
	reservationId?: string;
};

/** Tokens that a stream used. */
export type Usage = {promptTokens: number; cachedTokens: number; answerTokens: number};

/** Why a stream ended. */
export type EndReason = 'stop' | 'length' | 'cancelled' | 'deadline';

/** One message of a stream. Offsets count answer tokens from 0 and never skip. */
export type EngineMessage
	= | {kind: 'accepted'; requestId: string; attempt: number; streamId: string}
		| {kind: 'token'; requestId: string; attempt: number; offset: number; text: string}
		| {kind: 'heartbeat'; requestId: string; attempt: number}
		| {kind: 'end'; requestId: string; attempt: number; offset: number; reason: EndReason; usage: Usage};

/** Prefill and decode may be divided between engines. */
export type EngineRole = 'mixed' | 'prefill' | 'decode';

/** Load as the engine reports it, late. */
export type LoadReport = {
	/** Rises with each report of this incarnation. */
	sequence: number;
	/** Differs after each restart. */
	incarnation: string;
	/** Age of the figures in milliseconds when sent, as far as the engine knows. */
	age: number;
	running: number;
	waiting: number;
	/** Prompt tokens not yet prefilled, over running and waiting streams. */
	pendingPromptTokens: number;
	freeBlocks: number;
	totalBlocks: number;
	/** Tokens in one block of KV memory. */
	blockTokens: number;
	models: readonly string[];
	role: EngineRole;
	leaving: boolean;
};

/** A change of the prefix cache. Hashes name a block together with all before it. */
export type CacheEvent
	= | {sequence: number; kind: 'stored'; hashes: readonly string[]}
		| {sequence: number; kind: 'removed'; hashes: readonly string[]}
		| {sequence: number; kind: 'cleared'};

/** Events after a sequence number; a gap between that number and the first means some were lost. */
export type CacheEventPage = {incarnation: string; events: readonly CacheEvent[]; last: number};

/** A live stream, for finding those whose owner is gone. */
export type StreamSummary = {
	streamId: string;
	requestId: string;
	attempt: number;
	owner: string;
	/** Time in milliseconds since a reader was last attached; 0 while one is. */
	orphanedFor: number;
	blocks: number;
};

/** What an engine can be told to become. */
export type EngineCommand
	= | {kind: 'load'; name: string; version: string; fencingNumber: number}
		| {kind: 'unload'; name: string; version: string; fencingNumber: number}
		| {kind: 'role'; role: EngineRole; fencingNumber: number};

/** Memory set aside for a request that is about to be sent. */
export type Reservation = {
	reservationId: string;
	/** Expected wait in milliseconds before its prefill would begin. */
	expectedWait: number;
};

/** KV memory taken out of an engine for import into another. */
export type CacheExport = {exportId: string; hashes: readonly string[]; bytes: Uint8Array};

/**
 * A client of one model engine.
 *
 * Methods throw CarobquayError: 4002 (never reached, ran no), 4003 (broke, unknown), 4004 (silent, unknown),
 * 4005 (the engine refused and did not run), 4006 (old fencing number).
 */
export interface EngineClient {
	readonly name: string;
	/** Starts a stream. Aborting the signal closes the connection, not the stream: use `cancel`. */
	generate(request: GenerateRequest, signal: AbortSignal): AsyncIterable<EngineMessage>;
	/** Continues a stream from an answer offset on a new connection. Throws 4005 where the stream is gone. */
	resume(streamId: string, offset: number, signal: AbortSignal): AsyncIterable<EngineMessage>;
	/** Cancels a stream and frees its memory; a stream already gone is not an error. */
	cancel(streamId: string, signal?: AbortSignal): Promise<void>;
	/** Cancels by request and attempt, for a caller of `generate` that never saw "accepted". */
	cancelRequest(requestId: string, attempt: number, signal?: AbortSignal): Promise<void>;
	listStreams(signal?: AbortSignal): Promise<StreamSummary[]>;
	fetchLoad(signal?: AbortSignal): Promise<LoadReport>;
	cacheEvents(after: number, signal?: AbortSignal): Promise<CacheEventPage>;
	/** All block hashes held now, for a resync after a gap. */
	cacheSnapshot(signal?: AbortSignal): Promise<{incarnation: string; last: number; hashes: readonly string[]}>;
	reserve(request: {requestId: string; owner: string; promptTokens: number; answerTokens: number; lifetime: number}, signal?: AbortSignal): Promise<Reservation>;
	release(reservationId: string, signal?: AbortSignal): Promise<void>;
	sendCommand(order: EngineCommand, signal?: AbortSignal): Promise<void>;
	exportCache(hashes: readonly string[], owner: string, lifetime: number, signal?: AbortSignal): Promise<CacheExport>;
	importCache(cache: CacheExport, owner: string, lifetime: number, signal?: AbortSignal): Promise<void>;
}
