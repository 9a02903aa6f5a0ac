/**
 * Divides a fleet-wide limit between the instances, so that no shared counter is updated per request.
 *
 * Half of a limit is divided evenly, the other half in proportion to the demand that each instance has published. An
 * instance that lacks digests of other instances takes an even share of the whole limit. If all instances count the same
 * number of live instances, the shares exceed the limit by at most half of it, and only while some instances have all
 * digests and others do not.
 *
 * @module
 */

/** Fraction of a limit that is divided in proportion to demand. */
export const demandProportionalShare = 0.5;

/** Upper bound of the sum of all shares, relative to the limit, if all instances count the same number of instances. */
export const maximumShareSum = 1 + demandProportionalShare;

/** What an instance knows when it computes its share. */
export type LimitShareInput = {
	/** Number of live instances, including this one. */
	instanceCount: number;
	/** Demand that this instance last published; newer demand counts from the next digest on. */
	publishedDemand: number;
	/** Demand of the other instances, one value per digest that has not expired. */
	peerDemands: readonly number[];
};

/** Share of one instance, as a fraction of the limit between 0 and 1. */
export function instanceLimitShare({instanceCount, publishedDemand, peerDemands}: LimitShareInput): number {
	const evenShare = 1 / Math.max(1, instanceCount);
	const totalDemand = publishedDemand + peerDemands.reduce((sum, demand) => sum + demand, 0);
	if (peerDemands.length < instanceCount - 1 || totalDemand <= 0) {
		return evenShare;
	}

	return ((1 - demandProportionalShare) * evenShare) + (demandProportionalShare * (publishedDemand / totalDemand));
}
