/**
 * The platform's object store, as the rest of the system sees it.
 *
 * @module
 */

/** Conditions of a put. */
export type PutOptions = {
	/**
	 * Write only where the key is absent.
	 * @default false
	 */
	onlyIfAbsent?: boolean;
};

/** The object store. Every method throws CarobquayError 5004; a put that failed so may have taken effect. */
export interface ObjectStore {
	/** @returns false where `onlyIfAbsent` found the key present. */
	put(key: string, bytes: Uint8Array, options?: PutOptions, signal?: AbortSignal): Promise<boolean>;
	get(key: string, signal?: AbortSignal): Promise<Uint8Array | undefined>;
	/** Keys under a prefix, in order. */
	list(prefix: string, options?: {after?: string; limit?: number}, signal?: AbortSignal): Promise<string[]>;
	delete(key: string, signal?: AbortSignal): Promise<void>;
}
