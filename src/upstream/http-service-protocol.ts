/**
 * The services' protocol: headers of a call and the shape of a load report.
 *
 * @module
 */
import {z} from 'zod';

/** Headers of a call; an answer repeats the first two. */
export const serviceHeaders = {
	requestId: 'x-carobquay-request',
	attempt: 'x-carobquay-attempt',
	deadline: 'x-carobquay-deadline',
	idempotencyKey: 'idempotency-key',
} as const;

/** Path of the load report. */
export const serviceLoadPath = '/load';

/** Shape of a load report. */
export const serviceLoadShape = z.object({running: z.number(), leaving: z.boolean()});
