/**
 * A plain service beside the engines, as the rest of the system sees it.
 *
 * @module
 */

/** One call of a plain service. */
export type ServiceRequest = {
	requestId: string;
	attempt: number;
	method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	/** Path and query behind the service's address. */
	path: string;
	contentType: string | undefined;
	body: readonly Uint8Array[];
	/** Time left in milliseconds until the caller's deadline. */
	timeRemaining: number;
	/** Key that the service may use to recognise a repeated call. */
	idempotencyKey: string | undefined;
};

/** The whole answer of a call. */
export type ServiceAnswer = {
	requestId: string;
	attempt: number;
	status: number;
	contentType: string | undefined;
	body: Uint8Array;
};

/** Load as a service reports it, late. */
export type ServiceLoad = {running: number; leaving: boolean};

/**
 * A client of one instance of a plain service.
 *
 * Methods throw CarobquayError: 4002 (never reached, ran no), 4003 (broke, unknown), 4004 (silent, unknown).
 */
export interface ServiceClient {
	readonly name: string;
	call(request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer>;
	fetchLoad(signal?: AbortSignal): Promise<ServiceLoad>;
}
