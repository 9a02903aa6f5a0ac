/**
 * Permission to send a request, decided once before its first attempt.
 *
 * @module
 */

/** Controls whether a request may be sent. */
export interface SendPermit {
	/**
	 * Resolves when the request may be sent.
	 *
	 * @throws {CarobquayError} If the request may not be sent; nothing is sent in that case.
	 */
	acquire(): Promise<void>;
}
