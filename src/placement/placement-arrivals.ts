/**
 * Counts the requests of placements at cold engines from the decision until they have arrived.
 *
 * Load that it answers: requests that arrive long after their decision, through relays or at prefill helpers, while further
 * ones are placed on the same cold engine. All times are monotonic, in milliseconds.
 *
 * @module
 */
import type {EngineEligibility} from './engine-eligibility.js';

type PlacementEntry = {
	primary: string | undefined;
	helpers: readonly string[];
	isSent: boolean;
};

/** Arrivals of one instance's placements that have not ended. */
export class PlacementArrivals {
	readonly #eligibility: Pick<EngineEligibility, 'recordArrival' | 'completeArrival' | 'withdrawArrival'>;
	readonly #placements = new Map<string, PlacementEntry>();

	constructor(eligibility: Pick<EngineEligibility, 'recordArrival' | 'completeArrival' | 'withdrawArrival'>) {
		this.#eligibility = eligibility;
	}

	/** Counts a placement at each of its engines. @param engineIds - The primary engine first. */
	record(key: string, engineIds: readonly string[], now: number): void {
		const [primary, ...helpers] = engineIds;
		this.#placements.set(key, {primary, helpers, isSent: false});
		for (const id of engineIds) {
			this.#eligibility.recordArrival(id, key, Number.POSITIVE_INFINITY, now);
		}
	}

	/** Records that the connection to the primary engine is established, also by a relay, and the request sent. */
	recordSent(key: string, now: number): void {
		const placement = this.#placements.get(key);
		if (placement && !placement.isSent) {
			placement.isSent = true;
			this.#complete(key, [placement.primary ?? []].flat(), now);
		}
	}

	/** Records the first event: the primary engine has called all helpers by then. */
	recordFirstEvent(key: string, now: number): void {
		this.#complete(key, this.#placements.get(key)?.helpers ?? [], now);
	}

	/** Ends a placement. If nothing was sent, its share of the allowances is free again. */
	end(key: string, now: number): void {
		const placement = this.#placements.get(key);
		this.#placements.delete(key);
		if (placement?.isSent === true) {
			this.#complete(key, placement.helpers, now);
			return;
		}

		for (const id of placement ? [placement.primary ?? [], placement.helpers].flat() : []) {
			this.#eligibility.withdrawArrival(id, key);
		}
	}

	#complete(key: string, engineIds: readonly string[], now: number): void {
		for (const id of engineIds) {
			this.#eligibility.completeArrival(id, key, now);
		}
	}
}
