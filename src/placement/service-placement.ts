/**
 * Chooses an engine of a service that runs no language model.
 *
 * @module
 */
import type {EngineRecord} from '../serving/model.js';

/** Cost of an engine that is cooling down, in requests per slot. */
const cooldownCost = 10;

/** Cost of another failure domain, in requests per slot; less than one request on an engine of ten slots. */
const otherDomainCost = 0.05;

/** Cost of a cold engine, in requests per slot: warm engines go first until all their slots are taken, as requests do not wait there. */
const coldCost = 1;

/** One engine that may be chosen. */
export type ServiceCandidate = {
	record: EngineRecord;
	/** Requests that instances have placed there. */
	running: number;
	isCoolingDown: boolean;
	isCold?: boolean;
	isInOwnFailureDomain: boolean;
};

/** Greatest random cost, by which instances that see the same load use different engines. */
const randomCost = otherDomainCost / 2;

/** Engines by their cost without the random part, the least first; `mayBeChosen` tells which ones the random part may put first. */
export function rankServiceCandidates(candidates: readonly ServiceCandidate[]): Array<{candidate: ServiceCandidate; mayBeChosen: boolean}> {
	const ranked = candidates.map(candidate => ({candidate, cost: costOf(candidate)})).toSorted((one, other) => one.cost - other.cost);
	return ranked.map(({candidate, cost}) => ({candidate, mayBeChosen: cost < ranked[0]!.cost + randomCost}));
}

/** The engine with the fewest requests per slot; undefined where there is none. */
export function placeServiceRequest(candidates: readonly ServiceCandidate[], random: () => number): ServiceCandidate | undefined {
	let best: ServiceCandidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const cost = costOf(candidate) + (random() * randomCost);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}

function costOf({record, running, isCoolingDown, isCold = false, isInOwnFailureDomain}: ServiceCandidate): number {
	return (running / Math.max(1, record.slots)) + (isCoolingDown ? cooldownCost : 0) + (isCold ? coldCost : 0) + (isInOwnFailureDomain ? 0 : otherDomainCost);
}
