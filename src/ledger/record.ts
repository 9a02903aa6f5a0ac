/**
 * Records of the promise ledger: what was promised to a caller, and how it ended.
 *
 * Strict shapes keep every other field out, so that no prompt or answer can get in.
 *
 * @module
 */
import {z} from 'zod';

/** Wall-clock time in milliseconds since 1970. */
const time = z.number();

const promiseShape = z.strictObject({
	requestId: z.string(),
	customer: z.string(),
	requestClass: z.string(),
	/** Time by which the request ends. */
	deadline: time,
	nonIdempotent: z.boolean(),
	deferred: z.boolean(),
	admittedAt: time,
});

const endingShape = z.strictObject({
	outcome: z.enum(['answered', 'failed', 'caller-left']),
	/** Number of the error of docs/errors.md; absent where the request was answered. */
	code: z.string().regex(/^\d{4}$/v).optional(),
	ran: z.enum(['no', 'yes', 'unknown']),
	endedAt: time,
	/** Attempts that were sent to an upstream. */
	attempts: z.number(),
});

const admittedShape = z.strictObject({kind: z.literal('admitted'), promise: promiseShape});
const endedShape = z.strictObject({kind: z.literal('ended'), promise: promiseShape, ending: endingShape});
const gapShape = z.strictObject({
	kind: z.literal('gap'),
	/** Records that the full buffer did not take. */
	lost: z.number(),
	/** Times of the first and the last of them. */
	from: time,
	to: time,
});

/** A record of one request. */
export const requestRecordShape = z.discriminatedUnion('kind', [admittedShape, endedShape]);

/** One record of a segment. */
export const recordShape = z.discriminatedUnion('kind', [admittedShape, endedShape, gapShape]);

/** What was promised when a request was admitted. */
export type RequestPromise = z.infer<typeof promiseShape>;

/** How an admitted request ended. */
export type RequestEnding = z.infer<typeof endingShape>;

/** Records lost by a full buffer. */
export type GapRecord = z.infer<typeof gapShape>;

/** A record of one request. An ending repeats its promise, so that it stands for both. */
export type RequestRecord = z.infer<typeof requestRecordShape>;

export type LedgerRecord = RequestRecord | GapRecord;
