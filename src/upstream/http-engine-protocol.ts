/**
 * The engine's protocol: headers of a prompt, events of a stream and the shapes of its answers.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {
	CacheExport, EngineMessage, GenerateRequest,
} from './engine.js';

/** Headers that carry what the body does not. */
export const engineHeaders = {
	requestId: 'x-carobquay-request',
	attempt: 'x-carobquay-attempt',
	owner: 'x-carobquay-owner',
	priority: 'x-carobquay-priority',
	deadline: 'x-carobquay-deadline',
	orphanLifetime: 'x-carobquay-orphan-lifetime',
	reservationId: 'x-carobquay-reservation',
} as const;

/** What the headers of a prompt say. */
export type GenerateMetadata = Omit<GenerateRequest, 'body' | 'freshConnection'>;

const numberFromText = z.coerce.number();

const generateHeadersShape = z.object({
	[engineHeaders.requestId]: z.string().min(1),
	[engineHeaders.attempt]: z.coerce.number().int(),
	[engineHeaders.owner]: z.string().min(1),
	[engineHeaders.priority]: numberFromText,
	[engineHeaders.deadline]: numberFromText.nonnegative(),
	[engineHeaders.orphanLifetime]: numberFromText.nonnegative(),
	[engineHeaders.reservationId]: z.string().optional(),
});

/** Headers of a prompt. */
export function toGenerateHeaders(request: GenerateMetadata): Record<string, string> {
	return {
		[engineHeaders.requestId]: request.requestId,
		[engineHeaders.attempt]: `${request.attempt}`,
		[engineHeaders.owner]: request.owner,
		[engineHeaders.priority]: `${request.priority}`,
		[engineHeaders.deadline]: `${Math.round(request.timeRemaining)}`,
		[engineHeaders.orphanLifetime]: `${Math.round(request.orphanLifetime)}`,
		...(request.reservationId !== undefined && {[engineHeaders.reservationId]: request.reservationId}),
	};
}

/**
 * Reads the headers of a prompt.
 *
 * @throws {z.ZodError} Where one is missing or malformed.
 */
export function parseGenerateHeaders(headers: Record<string, unknown>): GenerateMetadata {
	const parsed = generateHeadersShape.parse(headers);
	return {
		requestId: parsed[engineHeaders.requestId],
		attempt: parsed[engineHeaders.attempt],
		owner: parsed[engineHeaders.owner],
		priority: parsed[engineHeaders.priority],
		timeRemaining: parsed[engineHeaders.deadline],
		orphanLifetime: parsed[engineHeaders.orphanLifetime],
		reservationId: parsed[engineHeaders.reservationId],
	};
}

const attemptFields = {requestId: z.string(), attempt: z.number()};
const usageShape = z.object({promptTokens: z.number(), cachedTokens: z.number(), answerTokens: z.number()});

/** Shape of one message of a stream. */
export const engineMessageShape: z.ZodType<EngineMessage> = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('accepted'), ...attemptFields, streamId: z.string()}),
	z.object({
		kind: z.literal('token'), ...attemptFields, offset: z.int().nonnegative(), text: z.string(),
	}),
	z.object({kind: z.literal('heartbeat'), ...attemptFields}),
	z.object({
		kind: z.literal('end'), ...attemptFields, offset: z.int().nonnegative(), reason: z.enum(['stop', 'length', 'cancelled', 'deadline']), usage: usageShape,
	}),
]);

/** A message as a server-sent event; its id is the answer offset, where it has one. */
export function toServerSentEvent(message: EngineMessage): string {
	const id = 'offset' in message ? `id: ${message.offset}\n` : '';
	return `event: ${message.kind}\n${id}data: ${JSON.stringify(message)}\n\n`;
}

const role = z.enum(['mixed', 'prefill', 'decode']);

/** Shape of a load report. */
export const loadReportShape = z.object({
	sequence: z.number(),
	incarnation: z.string(),
	age: z.number(),
	running: z.number(),
	waiting: z.number(),
	pendingPromptTokens: z.number(),
	freeBlocks: z.number(),
	totalBlocks: z.number(),
	blockTokens: z.number(),
	models: z.array(z.string()),
	role,
	leaving: z.boolean(),
});

const hashes = z.array(z.string());
const cacheEventShape = z.discriminatedUnion('kind', [
	z.object({sequence: z.number(), kind: z.literal('stored'), hashes}),
	z.object({sequence: z.number(), kind: z.literal('removed'), hashes}),
	z.object({sequence: z.number(), kind: z.literal('cleared')}),
]);

/** Shape of a page of cache events. */
export const cacheEventPageShape = z.object({incarnation: z.string(), events: z.array(cacheEventShape), last: z.number()});

/** Shape of a snapshot of the cache. */
export const cacheSnapshotShape = z.object({incarnation: z.string(), last: z.number(), hashes});

/** Shape of the list of live streams. */
export const streamListShape = z.array(z.object({
	streamId: z.string(), ...attemptFields, owner: z.string(), orphanedFor: z.number(), blocks: z.number(),
}));

/** Shape of a request for memory. */
export const reservationRequestShape = z.object({
	requestId: z.string(), owner: z.string(), promptTokens: z.number().nonnegative(), answerTokens: z.number().nonnegative(), lifetime: z.number().nonnegative(),
});

/** Shape of a reservation. */
export const reservationShape = z.object({reservationId: z.string(), expectedWait: z.number()});

const fencingNumber = z.number();

/** Shape of an order. */
export const engineCommandShape = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('load'), name: z.string(), version: z.string(), fencingNumber,
	}),
	z.object({
		kind: z.literal('unload'), name: z.string(), version: z.string(), fencingNumber,
	}),
	z.object({kind: z.literal('role'), role, fencingNumber}),
]);

/** Shape of a request for an export. */
export const cacheExportRequestShape = z.object({hashes, owner: z.string(), lifetime: z.number().nonnegative()});

/** Shape of an export, whose bytes travel in base64. */
export const cacheExportShape = z.object({exportId: z.string(), hashes, bytes: z.string()});

/** Shape of a request for an import. */
export const cacheImportRequestShape = z.object({cache: cacheExportShape, owner: z.string(), lifetime: z.number().nonnegative()});

/** An export as it travels. */
export function encodeCacheExport({exportId, hashes: blockHashes, bytes}: CacheExport): z.infer<typeof cacheExportShape> {
	return {exportId, hashes: [...blockHashes], bytes: Buffer.from(bytes).toString('base64')};
}

/** An export as it arrived. */
export function decodeCacheExport({exportId, hashes: held, bytes}: z.infer<typeof cacheExportShape>): CacheExport {
	return {exportId, hashes: held, bytes: Buffer.from(bytes, 'base64')};
}

/** Shape of a refusal. */
export const errorResponseShape = z.object({error: z.string(), message: z.string().optional()});
