/**
 * Load of one upstream as this instance sees it: its last report, which is late, and what this instance has sent.
 *
 * Times are in milliseconds on one monotonic clock.
 *
 * @module
 */
import type {LoadReport} from './engine.js';
import type {PrefillEstimator} from './prefill-estimator.js';

/** Time that a report may take on its way beyond the age that it states. */
const reportTransit = 5;

/** Time without a report after which its figures no longer count. */
const reportLifetime = 30_000;

/** Largest single prefill, in tokens, that another instance's reported work is counted as. */
const largestPrompt = 1_000_000;

/** Prefill time in milliseconds of other instances' requests above which one of them is taken to be long. */
const longPrefillTime = 5000;

/** A request of this instance at the upstream. */
export type InFlightRequest = {
	requestId: string;
	promptTokens: number;
	/** Tokens believed to be cached when it was sent. */
	cachedTokens: number;
	/** Prompt and answer tokens together. */
	totalTokens: number;
	/** Expected prefill time. */
	prefillTime: number;
	/** Whether its prefill is of the long tier. */
	isLong: boolean;
	/** Whether no other prefill was believed to be ahead of it. */
	hasNoPrefillAhead: boolean;
	sentAt: number;
	firstTokenAt: number | undefined;
	lastTokenAt: number | undefined;
};

/** Load of one upstream. */
export class LoadView {
	readonly name: string;
	#rate: PrefillEstimator;
	readonly #inFlight = new Map<string, InFlightRequest>();
	/** Those whose first token has not come, in the order sent. */
	readonly #prefilling = new Map<string, InFlightRequest>();
	#report: LoadReport | undefined;
	#measuredAt = Number.NEGATIVE_INFINITY;
	/** Prefill time of other instances' requests, and when it was so. */
	#othersPrefill = 0;
	#othersAt = Number.NEGATIVE_INFINITY;
	/** Whether the report shows a prefill of another instance that is of the long tier. */
	#othersLong = false;
	#ownTokens = 0;
	#serviceRunning = 0;

	constructor(name: string, rate: PrefillEstimator) {
		this.name = name;
		this.#rate = rate;
	}

	/** What is learnt of the engine's speed, together with the others of its pool. */
	get prefillEstimator(): PrefillEstimator {
		return this.#rate;
	}

	/** Learns together with the engines of a pool from now on. */
	setPrefillEstimator(rate: PrefillEstimator): void {
		this.#rate = rate;
	}

	/** Requests of this instance at the upstream. */
	get inFlightCount(): number {
		return this.#inFlight.size;
	}

	/** Tokens of KV memory in all, as last reported. */
	get totalKvCacheTokens(): number | undefined {
		return this.#report && this.#report.totalBlocks * this.#report.blockTokens;
	}

	/** Models of the last report; undefined before the first. */
	get models(): readonly string[] | undefined {
		return this.#report?.models;
	}

	/** Whether the upstream itself said that it is leaving. */
	get leaving(): boolean {
		return this.#report?.leaving ?? false;
	}

	get incarnation(): string | undefined {
		return this.#report?.incarnation;
	}

	/** Age in milliseconds of the last report's figures. */
	reportAge(now: number): number {
		return now - this.#measuredAt;
	}

	/** Takes in that a request was sent. */
	recordSent(entry: InFlightRequest): void {
		this.#inFlight.set(entry.requestId, entry);
		this.#prefilling.set(entry.requestId, entry);
		this.#ownTokens += entry.totalTokens;
	}

	/** Takes in a request's first token. */
	recordFirstToken(requestId: string, now: number): InFlightRequest | undefined {
		const entry = this.#inFlight.get(requestId);
		if (!entry || entry.firstTokenAt !== undefined) {
			return undefined;
		}

		entry.firstTokenAt = now;
		entry.lastTokenAt = now;
		this.#prefilling.delete(requestId);
		return entry;
	}

	/** Takes in a token after the first; returns the time in milliseconds since the one before. */
	recordToken(requestId: string, now: number): number {
		const entry = this.#inFlight.get(requestId);
		if (entry?.lastTokenAt === undefined) {
			return 0;
		}

		const gap = now - entry.lastTokenAt;
		entry.lastTokenAt = now;
		return gap;
	}

	/** Takes in that a request has ended in any way. */
	recordEnd(requestId: string): InFlightRequest | undefined {
		const entry = this.#inFlight.get(requestId);
		if (entry) {
			this.#inFlight.delete(requestId);
			this.#prefilling.delete(requestId);
			this.#ownTokens -= entry.totalTokens;
		}

		return entry;
	}

	/** Takes in an engine's report. One that is older than the last is ignored. */
	applyReport(report: LoadReport, now: number): void {
		if (this.#report?.incarnation === report.incarnation && report.sequence <= this.#report.sequence) {
			return;
		}

		this.#report = report;
		this.#measuredAt = now - report.age - reportTransit;
		let ownPending = 0;
		for (const entry of this.#prefilling.values()) {
			if (entry.sentAt < this.#measuredAt) {
				ownPending += this.#pendingTokens(entry);
			}
		}

		if (this.#measuredAt < this.#othersAt) {
			return;
		}

		const othersPending = Math.min(largestPrompt, Math.max(0, report.pendingPromptTokens - ownPending));
		this.#othersPrefill = this.#rate.prefillTime(othersPending);
		this.#othersAt = this.#measuredAt;
		this.#othersLong = othersPending > 0 && this.#othersPrefill > longPrefillTime;
	}

	/** Takes in the wait in milliseconds that the engine itself expects at this moment. */
	recordExpectedWait(expectedWait: number, now: number): void {
		this.#othersPrefill = Math.max(0, expectedWait - this.#ownPrefill(now));
		this.#othersAt = now;
		this.#othersLong = this.#othersPrefill > longPrefillTime;
	}

	/** Takes in a plain service's report. */
	applyServiceReport(running: number): void {
		this.#serviceRunning = running;
	}

	/** Requests at a plain service, by its report and by this instance's own. */
	get serviceRequestCount(): number {
		return this.#inFlight.size + this.#serviceRunning;
	}

	/** Expected time in milliseconds of all prefill that is still to do. */
	pendingPrefillTime(now: number): number {
		return this.#ownPrefill(now) + this.#remainingOthers(now);
	}

	/** Expected remaining time in milliseconds of prefill of the long tier. */
	pendingLongPrefillTime(now: number): number {
		let remaining = this.#othersLong ? this.#remainingOthers(now) : 0;
		for (const entry of this.#prefilling.values()) {
			if (entry.isLong) {
				remaining += remainingPrefill(entry, now);
			}
		}

		return remaining;
	}

	/**
	 * Learns from a long prefill that has just ended whether the streams beside it progressed.
	 *
	 * @param share - Share of the prefill's time after which a stream must have had a token to count as progressing.
	 */
	observeInterleaving(long: InFlightRequest, share: number, now: number): void {
		const threshold = long.sentAt + (share * (now - long.sentAt));
		for (const {requestId, firstTokenAt, lastTokenAt} of this.#inFlight.values()) {
			if (requestId !== long.requestId && firstTokenAt !== undefined && firstTokenAt < long.sentAt) {
				this.#rate.observeInterleaving(lastTokenAt! > threshold);
			}
		}
	}

	/** Streams that run or wait, by the report and what was sent since. */
	streamCount(now: number): number {
		return (this.#fresh(now) ? this.#report!.running + this.#report!.waiting : 0) + this.#sentSinceReport();
	}

	/** Tokens of KV memory that are believed to be free; undefined before the first report. */
	freeKvCacheTokens(now: number): number | undefined {
		const total = this.totalKvCacheTokens;
		if (total === undefined) {
			return undefined;
		}

		if (!this.#fresh(now)) {
			return total - this.#ownTokens;
		}

		let free = this.#report!.freeBlocks * this.#report!.blockTokens;
		for (const entry of this.#inFlight.values()) {
			if (entry.sentAt >= this.#measuredAt) {
				free -= entry.totalTokens;
			}
		}

		return free;
	}

	#fresh(now: number): boolean {
		return now - this.#measuredAt < reportLifetime;
	}

	#remainingOthers(now: number): number {
		return Math.max(0, this.#othersPrefill - (now - this.#othersAt));
	}

	#ownPrefill(now: number): number {
		let sum = 0;
		for (const entry of this.#prefilling.values()) {
			sum += remainingPrefill(entry, now);
		}

		return sum;
	}

	#sentSinceReport(): number {
		let count = 0;
		for (const entry of this.#inFlight.values()) {
			if (entry.sentAt >= this.#measuredAt) {
				count++;
			}
		}

		return count;
	}

	#pendingTokens(entry: InFlightRequest): number {
		const share = entry.prefillTime > 0 ? remainingPrefill(entry, this.#measuredAt) / entry.prefillTime : 0;
		return share * (entry.promptTokens - entry.cachedTokens);
	}
}

function remainingPrefill(entry: InFlightRequest, now: number): number {
	return Math.max(0, entry.prefillTime - (now - entry.sentAt));
}
