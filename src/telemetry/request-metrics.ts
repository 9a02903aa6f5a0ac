/**
 * Metrics of requests and decisions.
 *
 * @module
 */
import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';

/** Upper bounds of request times in seconds. */
const requestBuckets = [0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300, 900];

/** Upper bounds of decision times in microseconds. */
const decisionBuckets = [5, 10, 20, 50, 100, 200, 500, 1000, 5000];

/** One ended request. */
export type EndedRequest = {customer: string; requestClass: string; code: string; milliseconds: number};

/** Counts requests and decisions. */
export class RequestMetrics {
	readonly #ended: Counter<'class' | 'code'>;
	readonly #rejected: Counter<'code'>;
	readonly #duration: Histogram<'class'>;
	readonly #firstToken: Histogram<'class'>;
	readonly #decisions: Counter<'kind' | 'reason'>;
	readonly #decisionTime: Histogram;

	/** @param inFlight - Requests in flight now. */
	constructor(registry: Registry, inFlight: () => number) {
		const registers = [registry];
		this.#ended = new Counter({
			name: 'carobquay_requests_ended_total', help: 'Requests that ended, by class and error code (0: answered)', labelNames: ['class', 'code'], registers,
		});
		this.#rejected = new Counter({
			name: 'carobquay_requests_rejected_total', help: 'Requests rejected before admission, by error code', labelNames: ['code'], registers,
		});
		this.#duration = new Histogram({
			name: 'carobquay_request_seconds', help: 'Time from arrival to the end of a request', labelNames: ['class'], buckets: requestBuckets, registers,
		});
		this.#firstToken = new Histogram({
			name: 'carobquay_first_token_seconds', help: 'Time from arrival to the first token of an answer', labelNames: ['class'], buckets: requestBuckets, registers,
		});
		this.#decisions = new Counter({
			name: 'carobquay_decisions_total', help: 'Routing decisions, by kind and reason', labelNames: ['kind', 'reason'], registers,
		});
		this.#decisionTime = new Histogram({
			name: 'carobquay_decision_microseconds', help: 'Time that a routing decision takes', buckets: decisionBuckets, registers,
		});
		// eslint-disable-next-line no-new
		new Gauge({
			name: 'carobquay_requests_in_flight', help: 'Requests that have arrived and not ended', registers, collect() {
				this.set(inFlight());
			},
		});
	}

	ended({requestClass, code, milliseconds}: EndedRequest): void {
		this.#ended.inc({class: requestClass, code});
		this.#duration.observe({class: requestClass}, milliseconds / 1000);
	}

	rejected(code: string): void {
		this.#rejected.inc({code});
	}

	firstToken(requestClass: string, milliseconds: number): void {
		this.#firstToken.observe({class: requestClass}, milliseconds / 1000);
	}

	decided(kind: string, reason: string, microseconds: number): void {
		this.#decisions.inc({kind, reason});
		if (microseconds > 0) {
			this.#decisionTime.observe(microseconds);
		}
	}
}
