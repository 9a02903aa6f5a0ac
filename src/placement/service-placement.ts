/**
 * Chooses an engine of a service that runs no language model.
 *
 * @module
 */
import type {EngineRecord} from '../serving/model.js';

/** What an engine that failed of late costs, in requests per place. */
const cooldownCost = 10;

/** What another failure domain costs, in requests per place; less than one request on an engine of ten places. */
const otherDomainCost = 0.05;

/** One engine that may be chosen. */
export type ServiceCandidate = {
	record: EngineRecord;
	/** Requests that instances have there. */
	running: number;
	isCoolingDown: boolean;
	isInOwnFailureDomain: boolean;
};

/** The engine with the fewest requests for its places; undefined where there is none. */
export function placeServiceRequest(candidates: readonly ServiceCandidate[], random: () => number): ServiceCandidate | undefined {
	let best: ServiceCandidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const {record, running, isCoolingDown: isAvoided, isInOwnFailureDomain: inOwnDomain} = candidate;
		const cost = (running / Math.max(1, record.slots)) + (isAvoided ? cooldownCost : 0)
			+ (inOwnDomain ? 0 : otherDomainCost) + (random() * otherDomainCost / 2);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}
