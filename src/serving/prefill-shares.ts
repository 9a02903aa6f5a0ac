/**
 * Fair shares of the prefill time that this instance places, between the customers of one rank.
 *
 * Handles a few large customers that ask for more than is left: those that have been served more than their max-min share
 * wait or are refused first.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {FairShareTracker} from '../customer/fair-share.js';

/** All customers of a rank have the same weight. */
const customerWeight = 1;

/** Name under which anonymous requests share. */
const anonymous = '';

/** A prompt's part in the share of its customer. */
export type PromptShare = {
	/** Counts the prompt as asked for, once, however often it is decided on. */
	recordDemand: () => void;
	/** Counts the prompt as served, once, however often it is placed. */
	recordServed: () => void;
	/** Whether its customer has been served more than its share while others were not served what they asked for. */
	isOverShare: () => boolean;
};

/** A prompt as shares see it: `prefillTime` is the time in milliseconds that its prefill takes on one engine; `customer` is undefined for anonymous requests. */
type SharingPrompt = {service: string; rank: number; customer: string | undefined; prefillTime: number};

/** Requested and served prefill time of the customers, by service and rank. */
export class PrefillShares {
	readonly #trackers = new Map<string, FairShareTracker>();

	/** Reads shares without counting prompts. */
	get readOnly(): Pick<PrefillShares, 'shareOf'> {
		const ignore = () => undefined;
		return {
			shareOf: ({service, rank, customer = anonymous}) => ({
				recordDemand: ignore, recordServed: ignore, isOverShare: () => this.#trackers.get(`${rank} ${service}`)?.readIsOverShare(customer, performance.now()) ?? false,
			}),
		};
	}

	shareOf({service, rank, customer = anonymous, prefillTime}: SharingPrompt): PromptShare {
		const tracker = this.#trackerOf(`${rank} ${service}`);
		let isAskedFor = false;
		let isServed = false;
		return {
			recordDemand() {
				if (!isAskedFor) {
					isAskedFor = true;
					tracker.recordDemand(customer, customerWeight, prefillTime, performance.now());
				}
			},
			recordServed() {
				if (!isServed) {
					isServed = true;
					tracker.recordServed(customer, prefillTime, performance.now());
				}
			},
			isOverShare: () => tracker.isOverShare(customer, performance.now()),
		};
	}

	#trackerOf(key: string): FairShareTracker {
		let tracker = this.#trackers.get(key);
		if (!tracker) {
			tracker = new FairShareTracker();
			this.#trackers.set(key, tracker);
		}

		return tracker;
	}
}
