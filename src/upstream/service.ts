/**
 * Client interface of a plain service, that is of an upstream that is not a model engine.
 *
 * @module
 */

/** One call of a plain service. */
export type ServiceRequest = {
	requestId: string;
	attempt: number;
	method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	/** Path and query, relative to the service's address. */
	path: string;
	contentType: string | undefined;
	body: readonly Uint8Array[];
	/** Time remaining until the caller's deadline, in milliseconds. */
	timeRemaining: number;
	/** Key by which the service may recognise a repeated call. */
	idempotencyKey: string | undefined;
};

/** The complete answer to a call. */
export type ServiceAnswer = {
	requestId: string;
	attempt: number;
	status: number;
	contentType: string | undefined;
	body: Uint8Array;
};

/** Load as the service reports it; the figures may be stale. */
export type ServiceLoad = {running: number; leaving: boolean};

/**
 * Client of one instance of a plain service.
 *
 * Methods throw CarobquayError: 4002 (could not connect; did not run), 4003 (connection broke; unknown whether it ran),
 * 4004 (inactivity timeout; unknown whether it ran).
 */
export interface ServiceClient {
	readonly name: string;
	call(request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer>;
	fetchLoad(signal?: AbortSignal): Promise<ServiceLoad>;
}
