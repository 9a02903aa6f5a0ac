/**
 * Queue of the long prompts that wait at this instance for an engine, scheduled by weighted fair queueing between
 * customers.
 *
 * @module
 */
import type {RequestFacts} from './decision.js';

/**
 * Fraction of its slack, the time between `queuedAt` and `latestStart`, after which a request takes precedence over the
 * fair order.
 */
const urgentSlackFraction = 0.6;

/** A queued request. All times are in milliseconds. */
export type QueuedRequest = {
	facts: RequestFacts;
	poolName: string;
	promptTokens: number;
	prefillTime: number;
	priority: number;
	queuedAt: number;
	/** Wait expected at admission, before it is multiplied by the learned correction. */
	expectedWait: number;
	/** Latest time at which its prefill can start for the request to end by its deadline. */
	latestStart: number;
	/** Start tag of start-time fair queueing: virtual time at which its service would start. */
	startTag: number;
};

/** Queue with start-time fair queueing (SFQ) between customers. */
export class LongPromptQueue {
	readonly #requests = new Map<string, QueuedRequest>();
	/** Finish tag of the last request of each customer: virtual time at which its service would end. */
	readonly #finishTags = new Map<string, number>();
	#virtualTime = 0;

	get size(): number {
		return this.#requests.size;
	}

	has(requestId: string): boolean {
		return this.#requests.has(requestId);
	}

	/** Total prefill time in milliseconds of the requests queued for a pool. */
	queuedPrefillTime(poolName: string): number {
		let sum = 0;
		for (const request of this.#requests.values()) {
			sum += request.poolName === poolName ? request.prefillTime : 0;
		}

		return sum;
	}

	/** Adds a request. The customer's weight determines the finish tag, and so the start tag of its next request. */
	add(request: Omit<QueuedRequest, 'startTag'>, weight: number): void {
		const {customer} = request.facts;
		const startTag = Math.max(this.#virtualTime, this.#finishTags.get(customer) ?? 0);
		this.#finishTags.set(customer, startTag + (request.prefillTime / weight));
		this.#requests.set(request.facts.requestId, {...request, startTag});
	}

	/** Puts back a request that was removed but not sent; it keeps its start tag. */
	requeue(request: QueuedRequest): void {
		this.#requests.set(request.facts.requestId, request);
	}

	/** Removes and returns a request. */
	remove(requestId: string): QueuedRequest | undefined {
		const request = this.#requests.get(requestId);
		this.#requests.delete(requestId);
		return request;
	}

	/** Advances the virtual time to the start tag of a request that was sent. */
	recordServed(request: QueuedRequest): void {
		this.#virtualTime = Math.max(this.#virtualTime, request.startTag);
		if (this.#requests.size === 0) {
			this.#finishTags.clear();
			this.#virtualTime = 0;
		}
	}

	/** Requests in the order of service: by priority, then urgent requests by latest start, then the others in fair order. */
	inServiceOrder(now: number): QueuedRequest[] {
		return [...this.#requests.values()].toSorted((left, right) => right.priority - left.priority
			|| urgencyRank(left, now) - urgencyRank(right, now)
			|| left.startTag - right.startTag
			|| left.queuedAt - right.queuedAt);
	}
}

function urgencyRank(request: QueuedRequest, now: number): number {
	const slack = request.latestStart - request.queuedAt;
	return now - request.queuedAt > slack * urgentSlackFraction ? request.latestStart : Number.MAX_SAFE_INTEGER;
}
