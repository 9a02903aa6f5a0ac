/**
 * Divides what a cold engine tolerates between the instances, without messages.
 *
 * In small fleets every instance sends a share of the limit. In larger ones a share would be less than one request in a window, so
 * a fixed number of instances sends one request each: the first ones behind the engine on the ring of the addresses that an
 * instance knows, also of those that it has not heard of for a while. Instances that know the same addresses choose the same
 * senders. One that knows half of the fleet selects half of the number from it, so that two halves together select no more. One
 * that knows less is a sender by the hash of its address and the engine's id. Half of the limit is left for instances that know
 * other addresses.
 *
 * @module
 */
import type {ColdStart} from '../serving/model.js';
import {hashPosition} from './hash-position.js';

/** Share of the limit that is divided where all instances send; the rest is for instances that others do not know yet. */
const usableShare = 0.8;

/** Share of the limit that senders on the ring use: those chosen from the whole fleet and from its parts together stay below it. */
const ringShare = 0.5;

/** Share of the fleet that an instance has to know to choose senders on the ring: instances that each know a small part would all come first in theirs. */
const leastKnownShare = 0.5;

/** Probability per engine, with the right number of instances, that the hash selects more senders than the usable share admits. */
const acceptedTail = 1e-9;

/** Requests that one instance may send to a cold engine. */
export type ColdShare = {
	/** Most requests in a window from an instance that sends at all. */
	requests: number;
	/** Number of instances that send; infinite where all do. */
	senders: number;
	/** Mean number of instances that send where each knows less than half of the fleet. */
	hashedSenders: number;
};

/** Factor on the rate that a cold engine tolerates, and requests in any second beyond it, at which it may crash. */
export type ColdLimits = {excess: number; slack: number};

/** Most requests in any second that do not crash a cold engine. */
export function maximumColdRequests({requestsPerSecond}: Pick<ColdStart, 'requestsPerSecond'>, {excess, slack}: ColdLimits): number {
	const limit = (requestsPerSecond * excess) + slack;
	// Largest whole number below the limit; a limit that is no number admits nothing.
	return limit > 0 ? Math.ceil(limit) - 1 : 0;
}

/** Divides the limit of a cold engine between the instances. */
export function divideColdLimit({requestsPerSecond}: Pick<ColdStart, 'requestsPerSecond'>, limits: ColdLimits, fleetSize: number): ColdShare {
	const most = maximumColdRequests({requestsPerSecond}, limits);
	const usable = Math.floor(most * usableShare);
	const requests = Math.floor(usable / fleetSize);
	return requests >= 1
		? {requests, senders: Number.POSITIVE_INFINITY, hashedSenders: fleetSize}
		: {requests: 1, senders: Math.floor(most * ringShare), hashedSenders: expectedSenders(usable)};
}

/** Largest mean of a Poisson distribution, which bounds the number of senders that the hash selects, that exceeds a number with the accepted probability only. */
function expectedSenders(most: number): number {
	let low = 0;
	let high = most;
	for (let step = 0; step < 30; step++) {
		const mean = (low + high) / 2;
		if (poissonTail(mean, most) <= acceptedTail) {
			low = mean;
		} else {
			high = mean;
		}
	}

	return low;
}

/** Probability of more than a number. The sum ends where further terms no longer matter. */
function poissonTail(mean: number, most: number): number {
	let logarithm = -mean;
	for (let count = 1; count <= most + 1; count++) {
		logarithm += Math.log(mean / count);
	}

	let term = Math.exp(logarithm);
	let sum = 0;
	for (let count = most + 2; term > sum * 1e-9 && term > 0; count++) {
		sum += term;
		term *= mean / count;
	}

	return sum;
}

/** The fleet as one instance knows it. */
export type FleetView = {
	ownIp: string;
	/** Addresses of instances known lately, this one included or not; a new list after each change. */
	addresses: readonly string[];
	/** Largest number of instances known or stated lately. */
	fleetSize: number;
};

/** Whether an instance may send to a cold engine. */
export function isColdSender(engineId: string, {senders, hashedSenders}: ColdShare, {ownIp, addresses, fleetSize}: FleetView): boolean {
	const others = addresses.filter(address => address !== ownIp);
	const known = others.length + 1;
	if (senders === Number.POSITIVE_INFINITY || known < fleetSize * leastKnownShare) {
		return hashPosition(`cold ${ownIp} ${engineId}`) < hashedSenders / fleetSize;
	}

	const start = hashPosition(engineId);
	const distance = (address: string) => (hashPosition(address) - start + 1) % 1;
	const ownDistance = distance(ownIp);
	const rank = others.filter(address => distance(address) < ownDistance).length;
	return rank < Math.floor(senders * known / Math.max(fleetSize, known));
}
