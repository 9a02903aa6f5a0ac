/**
 * Fair shares of the served work between customers, by weight.
 *
 * @module
 */
import {DecayingRate} from '../routing/decaying-rate.js';

/** Time in milliseconds over which use is averaged. */
const rateTimeConstant = 10_000;

/** Time in milliseconds for which a computed level is used. */
const fairShareLifetime = 500;

/** Factor that keeps rounding from putting a customer over its share that got all it asked for. */
const roundingTolerance = 1.01;

type CustomerWork = {weight: number; demand: DecayingRate; served: DecayingRate};

/** Work asked for and served of one customer, per second. */
export type WorkRates = {weight: number; demand: number; served: number};

/** Judges which customers take more than their share. */
export class FairShareTracker {
	readonly #customers = new Map<string, CustomerWork>();
	#sharePerWeight = Number.POSITIVE_INFINITY;
	#shareComputedAt = Number.NEGATIVE_INFINITY;

	/** Counts work asked for, whether it is admitted or not. */
	recordDemand(customer: string, weight: number, work: number, now: number): void {
		const entry = this.#workOf(customer, now);
		entry.weight = weight;
		entry.demand.add(work, now);
	}

	/** Counts admitted work. */
	recordServed(customer: string, work: number, now: number): void {
		this.#workOf(customer, now).served.add(work, now);
	}

	/** Prompt work asked for per second, by customer. */
	demandByCustomer(now: number): Record<string, number> {
		return Object.fromEntries([...this.#customers].map(([name, {demand: asked}]) => [name, asked.perSecond(now)]));
	}

	/** Whether a customer has been served more than its weighted share of what is served in all. */
	isOverShare(customer: string, now: number): boolean {
		const entry = this.#customers.get(customer);
		if (!entry) {
			return false;
		}

		if (now - this.#shareComputedAt > fairShareLifetime) {
			this.#sharePerWeight = fairSharePerWeight([...this.#customers.values()].map(({weight, demand: asked, served}) => (
				{weight, asked: asked.perSecond(now), served: served.perSecond(now)})));
			this.#shareComputedAt = now;
		}

		return entry.served.perSecond(now) > entry.weight * this.#sharePerWeight;
	}

	#workOf(name: string, now: number): CustomerWork {
		let entry = this.#customers.get(name);
		if (!entry) {
			entry = {weight: 1, demand: new DecayingRate(rateTimeConstant, now), served: new DecayingRate(rateTimeConstant, now)};
			this.#customers.set(name, entry);
		}

		return entry;
	}
}

/**
 * Served work per unit of weight up to which every customer is within its share (max-min fairness).
 *
 * Customers that ask for less than their share leave the rest to the others.
 */
export function fairSharePerWeight(customers: readonly WorkRates[]): number {
	let capacity = customers.reduce((sum, {served}) => sum + served, 0);
	let weight = customers.reduce((sum, customer) => sum + customer.weight, 0);
	for (const customer of customers.toSorted((left, right) => (left.demand / left.weight) - (right.demand / right.weight))) {
		const level = capacity / weight;
		if (customer.demand / customer.weight > level * roundingTolerance) {
			return level;
		}

		capacity -= customer.demand;
		weight -= customer.weight;
	}

	return Number.POSITIVE_INFINITY;
}
