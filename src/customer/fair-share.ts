/**
 * Fair shares of the served work between customers, by weight.
 *
 * @module
 */
import {DecayingRate} from '../routing/decaying-rate.js';

/** Time in milliseconds over which use is averaged. */
const useTimeConstant = 10_000;

/** Time in milliseconds for which a computed level is used. */
const levelLifetime = 500;

/** Factor that keeps rounding from putting a customer over its share that got all it asked for. */
const tolerance = 1.01;

type CustomerWork = {weight: number; asked: DecayingRate; served: DecayingRate};

/** Work asked for and served of one customer, per second. */
export type WorkRates = {weight: number; asked: number; served: number};

/** Judges which customers take more than their share. */
export class FairShare {
	readonly #customers = new Map<string, CustomerWork>();
	#level = Number.POSITIVE_INFINITY;
	#levelAt = Number.NEGATIVE_INFINITY;

	/** Counts work asked for, whether it is admitted or not. */
	asked(customer: string, weight: number, work: number, now: number): void {
		const entry = this.#customer(customer, now);
		entry.weight = weight;
		entry.asked.add(work, now);
	}

	/** Counts admitted work. */
	served(customer: string, work: number, now: number): void {
		this.#customer(customer, now).served.add(work, now);
	}

	/** Prompt work asked for per second, by customer. */
	demand(now: number): Record<string, number> {
		return Object.fromEntries([...this.#customers].map(([name, {asked}]) => [name, asked.perSecond(now)]));
	}

	/** Whether a customer has been served more than its weighted share of what is served in all. */
	isOverShare(customer: string, now: number): boolean {
		const entry = this.#customers.get(customer);
		if (!entry) {
			return false;
		}

		if (now - this.#levelAt > levelLifetime) {
			this.#level = fairLevel([...this.#customers.values()].map(({weight, asked, served}) => (
				{weight, asked: asked.perSecond(now), served: served.perSecond(now)})));
			this.#levelAt = now;
		}

		return entry.served.perSecond(now) > entry.weight * this.#level;
	}

	#customer(name: string, now: number): CustomerWork {
		let entry = this.#customers.get(name);
		if (!entry) {
			entry = {weight: 1, asked: new DecayingRate(useTimeConstant, now), served: new DecayingRate(useTimeConstant, now)};
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
export function fairLevel(customers: readonly WorkRates[]): number {
	let capacity = customers.reduce((sum, {served}) => sum + served, 0);
	let weight = customers.reduce((sum, customer) => sum + customer.weight, 0);
	for (const customer of customers.toSorted((left, right) => (left.asked / left.weight) - (right.asked / right.weight))) {
		const level = capacity / weight;
		if (customer.asked / customer.weight > level * tolerance) {
			return level;
		}

		capacity -= customer.asked;
		weight -= customer.weight;
	}

	return Number.POSITIVE_INFINITY;
}
