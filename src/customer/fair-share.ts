/**
 * Weighted max-min fair shares of the served work between customers.
 *
 * @module
 */
import {DecayingRate} from '../routing/decaying-rate.js';

/** Time constant in milliseconds over which rates of work are averaged. */
const rateTimeConstant = 10_000;

/** Time in milliseconds for which a computed fair share is reused. */
const fairShareLifetime = 500;

/** Tolerance factor; without it, rounding could put a customer whose whole demand was served over its share. */
const roundingTolerance = 1.01;

type CustomerWork = {weight: number; demand: DecayingRate; served: DecayingRate};

/** Weight of one customer, and the work that it requested and that was served, per second. */
export type WorkRates = {weight: number; demand: number; served: number};

/** Tracks the requested and served work of each customer and determines which customers exceed their share. */
export class FairShareTracker {
	readonly #customers = new Map<string, CustomerWork>();
	#sharePerWeight = Number.POSITIVE_INFINITY;
	#shareComputedAt = Number.NEGATIVE_INFINITY;

	/** Counts requested work, whether it is admitted or not. */
	recordDemand(customer: string, weight: number, work: number, now: number): void {
		const customerWork = this.#workOf(customer, now);
		customerWork.weight = weight;
		customerWork.demand.add(work, now);
	}

	/** Counts admitted work. */
	recordServed(customer: string, work: number, now: number): void {
		this.#workOf(customer, now).served.add(work, now);
	}

	/** Requested prompt work per second, by customer. */
	demandByCustomer(now: number): Record<string, number> {
		return Object.fromEntries([...this.#customers].map(([name, {demand}]) => [name, demand.perSecond(now)]));
	}

	/** Whether a customer has been served more than its weighted share of all served work. */
	isOverShare(customer: string, now: number): boolean {
		if (this.#customers.has(customer) && now - this.#shareComputedAt > fairShareLifetime) {
			this.#sharePerWeight = this.#computeShare(now);
			this.#shareComputedAt = now;
		}

		return this.#exceeds(customer, this.#sharePerWeight, now);
	}

	/** As `isOverShare`, without keeping the computed share, by which later requests would be judged. */
	readIsOverShare(customer: string, now: number): boolean {
		return this.#exceeds(customer, now - this.#shareComputedAt > fairShareLifetime ? this.#computeShare(now) : this.#sharePerWeight, now);
	}

	#exceeds(customer: string, sharePerWeight: number, now: number): boolean {
		const customerWork = this.#customers.get(customer);
		return customerWork !== undefined && customerWork.served.perSecond(now) > customerWork.weight * sharePerWeight * roundingTolerance;
	}

	#computeShare(now: number): number {
		return fairSharePerWeight([...this.#customers.values()].map(({weight, demand, served}) => (
			{weight, demand: demand.perSecond(now), served: served.perSecond(now)})));
	}

	#workOf(name: string, now: number): CustomerWork {
		let customerWork = this.#customers.get(name);
		if (!customerWork) {
			customerWork = {weight: 1, demand: new DecayingRate(rateTimeConstant, now), served: new DecayingRate(rateTimeConstant, now)};
			this.#customers.set(name, customerWork);
		}

		return customerWork;
	}
}

/**
 * Served work per unit of weight up to which a customer is within its share (max-min fairness).
 *
 * The unused share of customers whose demand is below their share is divided between the others. The result is infinite
 * if the demand of every customer is met.
 */
export function fairSharePerWeight(customers: readonly WorkRates[]): number {
	let capacity = customers.reduce((sum, {served}) => sum + served, 0);
	let weight = customers.reduce((sum, customer) => sum + customer.weight, 0);
	for (const customer of customers.toSorted((left, right) => (left.demand / left.weight) - (right.demand / right.weight))) {
		const sharePerWeight = capacity / weight;
		if (customer.demand / customer.weight > sharePerWeight * roundingTolerance) {
			return sharePerWeight;
		}

		capacity -= customer.demand;
		weight -= customer.weight;
	}

	return Number.POSITIVE_INFINITY;
}
