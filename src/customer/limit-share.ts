/**
 * The part of a fleet-wide limit that one instance may give out, without a counter shared per request.
 *
 * Half of a limit is divided evenly between the instances, half by the demand that each has published. While digests of
 * some instances are missing, all of it is divided evenly. With the same count of instances everywhere the shares then
 * exceed the limit by at most half of it, and only while some instances have all digests and others have not.
 *
 * @module
 */

/** Share of a limit that follows demand. */
export const demandProportionalShare = 0.5;

/** Greatest sum of all instances' shares relative to the limit, under one count of instances. */
export const maximumShareSum = 1 + demandProportionalShare;

/** What an instance knows when it works out its share. */
export type LimitShareInput = {
	/** Live instances, this one included. */
	instanceCount: number;
	/** Demand that this instance last published; newer demand waits for the next digest. */
	publishedDemand: number;
	/** Demand of the other instances whose digests are fresh. */
	peerDemands: readonly number[];
};

/** Part of the limit, between 0 and 1. */
export function instanceLimitShare({instanceCount: instances, publishedDemand: published, peerDemands: peers}: LimitShareInput): number {
	const even = 1 / Math.max(1, instances);
	const total = published + peers.reduce((sum, demand) => sum + demand, 0);
	if (peers.length < instances - 1 || total <= 0) {
		return even;
	}

	return ((1 - demandProportionalShare) * even) + (demandProportionalShare * (published / total));
}
