/**
 * Leave to send a request, asked for once before its first attempt.
 *
 * @module
 */

/** Says whether a request may be sent. */
export interface SendPermit {
	/**
	 * Resolves once the request may be sent.
	 *
	 * @throws {CarobquayError} where it may not; nothing was sent then.
	 */
	acquire(): Promise<void>;
}
