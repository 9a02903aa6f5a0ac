/**
 * The platform's rate-limited store of model weights.
 *
 * Engines fetch weights themselves; this system only asks for sizes and for leave to load.
 *
 * @module
 */

/** One version of a model or adapter that can be loaded. */
export type WeightEntry = {
	/** For example "kohus-70b" or "kohus-70b/adapter/civil". */
	name: string;
	version: string;
	/** Size in bytes. */
	bytes: number;
};

/** The weight store; throws CarobquayError 5006 (rate limit), 5007 (unavailable) or 1004 (no such entry). */
export interface WeightStore {
	list(signal?: AbortSignal): Promise<WeightEntry[]>;
	/** Asks for leave to load one entry once; counts against the store's rate. */
	admit(name: string, version: string, signal?: AbortSignal): Promise<WeightEntry>;
}
