/**
 * Where placement reads engines from.
 *
 * @module
 */
import type {EngineRecord} from '../serving/model.js';

/** Engines that accept new requests. */
export interface EngineSource {
	/** Ready engines of a service; a new list after each change. */
	ready(service: string): readonly EngineRecord[];
	get(id: string): EngineRecord | undefined;
	/**
	 * Engines of a service whose entries say that they are ready, also those of evacuated failure domains.
	 * @default the ready ones
	 */
	stated?(service: string): readonly EngineRecord[];
}
