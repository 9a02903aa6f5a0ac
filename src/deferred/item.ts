/**
 * Deferred requests as the table holds them.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {z} from 'zod';

/** Prefixes of keys in the table. */
export const itemPrefix = 'deferred/';
export const idempotencyPrefix = 'deferred-key/';
export const ownerPrefix = 'deferred-owner/';

const endingShape = z.discriminatedUnion('outcome', [
	z.strictObject({
		outcome: z.literal('answered'),
		/** Key of the answer in the object store. */
		answerKey: z.string(),
		/** SHA-256 of the answer, in hexadecimal. */
		answerDigest: z.string(),
	}),
	z.strictObject({
		outcome: z.literal('failed'),
		code: z.string(),
		message: z.string(),
		ran: z.enum(['no', 'yes', 'unknown']),
	}),
]);

/** Value of `deferred/ID`. Times are on the wall clock in milliseconds. */
export const deferredShape = z.strictObject({
	id: z.string(),
	customer: z.string(),
	requestClass: z.string(),
	nonIdempotent: z.boolean(),
	/** Key in the table of the caller's idempotency key; absent where the caller gave none. */
	idempotencyItem: z.string().optional(),
	/** Size of the body in the object store. */
	bodyBytes: z.number(),
	admittedAt: z.number(),
	deadline: z.number(),
	/** Incarnation that carries the request on. */
	owner: z.string(),
	state: z.enum(['accepted', 'running', 'ended']),
	/** Rises with each owner that begins to run the request; fences the owners before. */
	attempt: z.number(),
	ending: endingShape.optional(),
	/** Time until which an ended request can be fetched. */
	keepUntil: z.number().optional(),
});

/** Value of `deferred-key/…`: the request that was accepted under an idempotency key. */
export const idempotencyShape = z.strictObject({id: z.string(), bodyDigest: z.string()});

export type Deferred = z.infer<typeof deferredShape>;
export type DeferredEnding = z.infer<typeof endingShape>;

/** A deferred request with the version of its item. */
export type StoredDeferred = {value: Deferred; version: number};

export function itemKey(id: string): string {
	return itemPrefix + id;
}

/** Key of an idempotency key's item; the caller's text is hashed, as it may hold anything. */
export function idempotencyItemKey(customer: string, idempotencyKey: string): string {
	return `${idempotencyPrefix}${customer}/${sha256(idempotencyKey)}`;
}

/** Key of a body in the object store. */
export function bodyKey(id: string): string {
	return `deferred-body/${id}`;
}

/** Key of an answer in the object store; each attempt has its own. */
export function answerKey(id: string, attempt: number): string {
	return `deferred-answer/${id}/${attempt}`;
}

/** SHA-256 in hexadecimal. */
export function sha256(data: string | Uint8Array): string {
	return createHash('sha256').update(data).digest('hex');
}
