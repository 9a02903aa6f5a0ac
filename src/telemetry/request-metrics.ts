/**
 * Metrics of requests and decisions.
 *
 * @module
 */
import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';

/** Upper bounds of request times in seconds. */
const requestDurationBuckets = [0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300, 900];

/** Upper bounds of decision times in microseconds. */
const decisionDurationBuckets = [5, 10, 20, 50, 100, 200, 500, 1000, 5000];

/** One ended request. */
export type EndedRequest = {customer: string; requestClass: string; code: string; duration: number};

/** Counts requests and decisions. */
export class RequestMetrics {
	readonly #endedRequests: Counter<'class' | 'code'>;
	readonly #rejectedRequests: Counter<'code'>;
	readonly #requestDuration: Histogram<'class'>;
	readonly #timeToFirstToken: Histogram<'class'>;
	readonly #decisions: Counter<'kind' | 'reason'>;
	readonly #decisionDuration: Histogram;

	/** @param inFlight - Requests in flight now. */
	constructor(registry: Registry, inFlight: () => number) {
		const registers = [registry];
		this.#endedRequests = new Counter({
			name: 'carobquay_requests_ended_total', help: 'Requests that ended, by class and error code (0: answered)', labelNames: ['class', 'code'], registers,
		});
		this.#rejectedRequests = new Counter({
			name: 'carobquay_requests_rejected_total', help: 'Requests rejected before admission, by error code', labelNames: ['code'], registers,
		});
		this.#requestDuration = new Histogram({
			name: 'carobquay_request_seconds', help: 'Time from arrival to the end of a request', labelNames: ['class'], buckets: requestDurationBuckets, registers,
		});
		this.#timeToFirstToken = new Histogram({
			name: 'carobquay_first_token_seconds', help: 'Time from arrival to the first token of an answer', labelNames: ['class'], buckets: requestDurationBuckets, registers,
		});
		this.#decisions = new Counter({
			name: 'carobquay_decisions_total', help: 'Routing decisions, by kind and reason', labelNames: ['kind', 'reason'], registers,
		});
		this.#decisionDuration = new Histogram({
			name: 'carobquay_decision_microseconds', help: 'Time that a routing decision takes', buckets: decisionDurationBuckets, registers,
		});
		// eslint-disable-next-line no-new
		new Gauge({
			name: 'carobquay_requests_in_flight', help: 'Requests that have arrived and not ended', registers, collect() {
				this.set(inFlight());
			},
		});
	}

	recordRequestEnd({requestClass, code, duration: milliseconds}: EndedRequest): void {
		this.#endedRequests.inc({class: requestClass, code});
		this.#requestDuration.observe({class: requestClass}, milliseconds / 1000);
	}

	recordRejection(code: string): void {
		this.#rejectedRequests.inc({code});
	}

	recordTimeToFirstToken(requestClass: string, milliseconds: number): void {
		this.#timeToFirstToken.observe({class: requestClass}, milliseconds / 1000);
	}

	recordDecision(kind: string, reason: string, microseconds: number): void {
		this.#decisions.inc({kind, reason});
		if (microseconds > 0) {
			this.#decisionDuration.observe(microseconds);
		}
	}
}
