/**
 * Load of one upstream as known to this instance, from its last report, which is stale, and from the requests that this
 * instance has sent.
 *
 * Times are in milliseconds on one monotonic clock.
 *
 * @module
 */
import type {LoadReport} from './engine.js';
import type {PrefillEstimator} from './prefill-estimator.js';

/** Time in milliseconds that a report may spend in transit, in addition to the age that it states. */
const reportTransitTime = 5;

/** Time in milliseconds after which the figures of a report are ignored. */
const reportLifetime = 30_000;

/** Upper bound in tokens for the pending prefill of other instances, which is estimated as one single prompt. */
const maximumOtherInstancesTokens = 1_000_000;

/** Pending prefill time in milliseconds of other instances' requests above which one of them is assumed to be of the long tier. */
const longPrefillTime = 5000;

/** A request that this instance has sent to the upstream and that has not ended. */
export type InFlightRequest = {
	requestId: string;
	promptTokens: number;
	/** Prompt tokens that were expected to be cached when the request was sent. */
	cachedTokens: number;
	/** Prompt tokens and expected answer tokens together. */
	totalTokens: number;
	/** Expected prefill time in milliseconds. */
	prefillTime: number;
	/** Whether the prompt is of the long tier. */
	isLong: boolean;
	/** Whether no other prefill was expected to run before that of this request. */
	hasNoPrefillAhead: boolean;
	sentAt: number;
	firstTokenAt: number | undefined;
	lastTokenAt: number | undefined;
};

/** Load of one upstream. */
export class LoadView {
	readonly name: string;
	#prefillEstimator: PrefillEstimator;
	readonly #requests = new Map<string, InFlightRequest>();
	/** Requests that have not received their first token, in the order of sending. */
	readonly #requestsInPrefill = new Map<string, InFlightRequest>();
	#report: LoadReport | undefined;
	#measuredAt = Number.NEGATIVE_INFINITY;
	/** Pending prefill time in milliseconds of other instances' requests, and the time to which it refers. */
	#otherInstancesPrefillTime = 0;
	#otherInstancesMeasuredAt = Number.NEGATIVE_INFINITY;
	/** Whether the prefill of other instances is assumed to include a prompt of the long tier. */
	#otherInstancesHaveLong = false;
	#ownTotalTokens = 0;
	#reportedServiceRequests = 0;

	constructor(name: string, prefillEstimator: PrefillEstimator) {
		this.name = name;
		this.#prefillEstimator = prefillEstimator;
	}

	/** Estimator of the engine's prefill time, shared with the other engines of its pool once the pool is known. */
	get prefillEstimator(): PrefillEstimator {
		return this.#prefillEstimator;
	}

	/** Sets the estimator that the engines of a pool share. */
	setPrefillEstimator(prefillEstimator: PrefillEstimator): void {
		this.#prefillEstimator = prefillEstimator;
	}

	/** Number of requests of this instance in flight at the upstream. */
	get inFlightCount(): number {
		return this.#requests.size;
	}

	/** KV cache capacity in tokens, by the last report; undefined before the first report. */
	get totalKvCacheTokens(): number | undefined {
		return this.#report && this.#report.totalBlocks * this.#report.blockTokens;
	}

	/** Models that the last report lists; undefined before the first report. */
	get models(): readonly string[] | undefined {
		return this.#report?.models;
	}

	/** Whether the last report of the upstream says that it is leaving. */
	get leaving(): boolean {
		return this.#report?.leaving ?? false;
	}

	get incarnation(): string | undefined {
		return this.#report?.incarnation;
	}

	/** Time in milliseconds since the figures of the last report were measured. */
	reportAge(now: number): number {
		return now - this.#measuredAt;
	}

	/** Adds a request that was sent. */
	recordSent(request: InFlightRequest): void {
		this.#requests.set(request.requestId, request);
		this.#requestsInPrefill.set(request.requestId, request);
		this.#ownTotalTokens += request.totalTokens;
	}

	/** Records the first token of a request; returns undefined if the request is unknown or already had its first token. */
	recordFirstToken(requestId: string, now: number): InFlightRequest | undefined {
		const request = this.#requests.get(requestId);
		if (!request || request.firstTokenAt !== undefined) {
			return undefined;
		}

		request.firstTokenAt = now;
		request.lastTokenAt = now;
		this.#requestsInPrefill.delete(requestId);
		return request;
	}

	/** Records a token after the first one; returns the time in milliseconds since the previous token, 0 if there is none. */
	recordToken(requestId: string, now: number): number {
		const request = this.#requests.get(requestId);
		if (request?.lastTokenAt === undefined) {
			return 0;
		}

		const gap = now - request.lastTokenAt;
		request.lastTokenAt = now;
		return gap;
	}

	/** Removes a request that has ended, whatever its outcome; returns undefined if it is unknown. */
	recordEnd(requestId: string): InFlightRequest | undefined {
		const request = this.#requests.get(requestId);
		if (request) {
			this.#requests.delete(requestId);
			this.#requestsInPrefill.delete(requestId);
			this.#ownTotalTokens -= request.totalTokens;
		}

		return request;
	}

	/** Applies a load report of an engine. A report that is not newer than the last one of the same incarnation is ignored. */
	applyReport(report: LoadReport, now: number): void {
		if (this.#report?.incarnation === report.incarnation && report.sequence <= this.#report.sequence) {
			return;
		}

		this.#report = report;
		this.#measuredAt = now - report.age - reportTransitTime;
		let ownPendingTokens = 0;
		for (const request of this.#requestsInPrefill.values()) {
			if (request.sentAt < this.#measuredAt) {
				ownPendingTokens += this.#remainingPromptTokens(request);
			}
		}

		if (this.#measuredAt < this.#otherInstancesMeasuredAt) {
			return;
		}

		const otherInstancesTokens = Math.min(maximumOtherInstancesTokens, Math.max(0, report.pendingPromptTokens - ownPendingTokens));
		this.#otherInstancesPrefillTime = this.#prefillEstimator.prefillTime(otherInstancesTokens);
		this.#otherInstancesMeasuredAt = this.#measuredAt;
		this.#otherInstancesHaveLong = otherInstancesTokens > 0 && this.#otherInstancesPrefillTime > longPrefillTime;
	}

	/** Records the wait in milliseconds that the engine itself expects at this moment before it begins a further prefill. */
	recordExpectedWait(expectedWait: number, now: number): void {
		this.#otherInstancesPrefillTime = Math.max(0, expectedWait - this.#ownPendingPrefillTime(now));
		this.#otherInstancesMeasuredAt = now;
		this.#otherInstancesHaveLong = this.#otherInstancesPrefillTime > longPrefillTime;
	}

	/** Applies the number of running requests that a plain service reports. */
	applyServiceReport(running: number): void {
		this.#reportedServiceRequests = running;
	}

	/** Sum of the requests that a plain service last reported and of this instance's own requests in flight. */
	get serviceRequestCount(): number {
		return this.#requests.size + this.#reportedServiceRequests;
	}

	/** Expected time in milliseconds of all prefill that is still pending. */
	pendingPrefillTime(now: number): number {
		return this.#ownPendingPrefillTime(now) + this.#remainingOtherInstancesPrefillTime(now);
	}

	/** Part of the pending prefill time in milliseconds that belongs to prompts of the long tier. */
	pendingLongPrefillTime(now: number): number {
		let remaining = this.#otherInstancesHaveLong ? this.#remainingOtherInstancesPrefillTime(now) : 0;
		for (const request of this.#requestsInPrefill.values()) {
			if (request.isLong) {
				remaining += remainingPrefillTime(request, now);
			}
		}

		return remaining;
	}

	/**
	 * Learns from a long prefill that has just ended whether other streams received tokens during it.
	 *
	 * @param longRequest - Request whose prefill has just ended.
	 * @param share - Share of the prefill's duration after which a stream must have received a token to count as progressing.
	 */
	observeInterleaving(longRequest: InFlightRequest, share: number, now: number): void {
		const threshold = longRequest.sentAt + (share * (now - longRequest.sentAt));
		for (const {requestId, firstTokenAt, lastTokenAt} of this.#requests.values()) {
			if (requestId !== longRequest.requestId && firstTokenAt !== undefined && firstTokenAt < longRequest.sentAt) {
				this.#prefillEstimator.observeInterleaving(lastTokenAt! > threshold);
			}
		}
	}

	/** Number of running and waiting streams, by the last report and the requests sent since. */
	streamCount(now: number): number {
		return (this.#isReportFresh(now) ? this.#report!.running + this.#report!.waiting : 0) + this.#countSentSinceReport();
	}

	/** Estimated free KV cache in tokens; undefined before the first report. */
	freeKvCacheTokens(now: number): number | undefined {
		const total = this.totalKvCacheTokens;
		if (total === undefined) {
			return undefined;
		}

		if (!this.#isReportFresh(now)) {
			return total - this.#ownTotalTokens;
		}

		let free = this.#report!.freeBlocks * this.#report!.blockTokens;
		for (const request of this.#requests.values()) {
			if (request.sentAt >= this.#measuredAt) {
				free -= request.totalTokens;
			}
		}

		return free;
	}

	#isReportFresh(now: number): boolean {
		return now - this.#measuredAt < reportLifetime;
	}

	#remainingOtherInstancesPrefillTime(now: number): number {
		return Math.max(0, this.#otherInstancesPrefillTime - (now - this.#otherInstancesMeasuredAt));
	}

	#ownPendingPrefillTime(now: number): number {
		let sum = 0;
		for (const request of this.#requestsInPrefill.values()) {
			sum += remainingPrefillTime(request, now);
		}

		return sum;
	}

	#countSentSinceReport(): number {
		let count = 0;
		for (const request of this.#requests.values()) {
			if (request.sentAt >= this.#measuredAt) {
				count++;
			}
		}

		return count;
	}

	#remainingPromptTokens(request: InFlightRequest): number {
		const share = request.prefillTime > 0 ? remainingPrefillTime(request, this.#measuredAt) / request.prefillTime : 0;
		return share * (request.promptTokens - request.cachedTokens);
	}
}

function remainingPrefillTime(request: InFlightRequest, now: number): number {
	return Math.max(0, request.prefillTime - (now - request.sentAt));
}
