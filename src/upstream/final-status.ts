/**
 * Statuses of final HTTP responses.
 *
 * @module
 */

/** Range of the statuses; provisional responses are below it. */
const minimumFinalStatus = 200;
const maximumFinalStatus = 599;

/** Whether HTTP defines a status as that of a final response; parsers accept any three digits. */
export function isFinalStatus(status: number): boolean {
	return status >= minimumFinalStatus && status <= maximumFinalStatus;
}
