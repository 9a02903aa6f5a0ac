/**
 * Long prompts that wait at this instance for an engine, in weighted fair order between customers.
 *
 * @module
 */
import type {RequestFacts} from './decision.js';

/** Share of its time that a request may wait before it goes ahead of the fair order. */
const urgentSlackFraction = 0.6;

/** A request in the queue. */
export type QueuedRequest = {
	facts: RequestFacts;
	poolName: string;
	promptTokens: number;
	prefillTime: number;
	priority: number;
	queuedAt: number;
	/** Wait in milliseconds that was expected when it was admitted. */
	expectedWait: number;
	/** Time at which it must have begun to end by its deadline. */
	latestStart: number;
	/** Virtual time of start-time fair queueing at which its service would begin. */
	startTag: number;
};

/** A queue with start-time fair queueing between customers. */
export class LongPromptQueue {
	readonly #requests = new Map<string, QueuedRequest>();
	/** Virtual time at which the last request of each customer would end. */
	readonly #finishTags = new Map<string, number>();
	#virtualTime = 0;

	get size(): number {
		return this.#requests.size;
	}

	has(requestId: string): boolean {
		return this.#requests.has(requestId);
	}

	/** Prefill time in milliseconds that waits for a pool. */
	queuedPrefillTime(pool: string): number {
		let sum = 0;
		for (const request of this.#requests.values()) {
			sum += request.poolName === pool ? request.prefillTime : 0;
		}

		return sum;
	}

	/** Adds a request; its tag follows from the customer's weight. */
	add(request: Omit<QueuedRequest, 'tag'>, weight: number): void {
		const {customer} = request.facts;
		const tag = Math.max(this.#virtualTime, this.#finishTags.get(customer) ?? 0);
		this.#finishTags.set(customer, tag + (request.prefillTime / weight));
		this.#requests.set(request.facts.requestId, {...request, startTag: tag});
	}

	/** Puts a request back that left the queue without being sent. */
	requeue(request: QueuedRequest): void {
		this.#requests.set(request.facts.requestId, request);
	}

	/** Takes a request out. */
	remove(requestId: string): QueuedRequest | undefined {
		const request = this.#requests.get(requestId);
		this.#requests.delete(requestId);
		return request;
	}

	/** Notes that a request is served, which advances the virtual time. */
	recordServed(request: QueuedRequest): void {
		this.#virtualTime = Math.max(this.#virtualTime, request.startTag);
		if (this.#requests.size === 0) {
			this.#finishTags.clear();
			this.#virtualTime = 0;
		}
	}

	/** Requests in the order of service: higher priority, then urgent ones by deadline, then fair order. */
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
