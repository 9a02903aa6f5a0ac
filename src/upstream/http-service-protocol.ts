/**
 * HTTP protocol of the services: headers of a call and shape of a load report.
 *
 * @module
 */
import {z} from 'zod';

/** Headers of a call; the answer may repeat the request id and the attempt. */
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
