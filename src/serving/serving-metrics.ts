/**
 * Counters and histograms of what an instance on the platform serves.
 *
 * @module
 */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Bounds in seconds of the histograms; they hold the targets of the deployments, 0.12 to 4 s, between them. */
const durationBuckets = [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 4, 6, 10, 15];

/** Prompt tokens up to which a band of lengths goes, with its label. */
const promptLengthBands: ReadonlyArray<readonly [number, string]> = [
	[8000, 'up to 8k'], [32_000, 'up to 32k'], [128_000, 'up to 128k'], [Number.POSITIVE_INFINITY, 'over 128k'],
];

/** Milliseconds in a second. */
const millisecondsPerSecond = 1000;

/** How a request ended. */
export type EndedRequest = {
	route: string;
	service: string;
	outcome: string;
	/** In milliseconds. */
	duration: number;
	/** Time in milliseconds to the first event; undefined where none came. */
	timeToFirstEvent: number | undefined;
	promptTokens: number | undefined;
};

/** Values that are read when metrics are fetched. */
export type GaugeReaders = {
	configurationVersion: () => number;
	engines: () => number;
	peers: () => number;
	placements: () => number;
	/** Ages in seconds since the store last answered. */
	storeAge: () => number;
	droppedLineCount: () => number;
};

/** Metrics of one instance. */
export class ServingMetrics {
	readonly registry = new Registry();
	readonly #requests = new Counter({
		name: 'carobquay_requests_total', help: 'Requests that ended, by outcome.', labelNames: ['route', 'service', 'outcome'], registers: [this.registry],
	});

	readonly #rejections = new Counter({
		name: 'carobquay_rejections_total', help: 'Requests answered without being forwarded, by error code.', labelNames: ['code'], registers: [this.registry],
	});

	readonly #retries = new Counter({
		name: 'carobquay_repeats_total', help: 'Requests sent to a further engine.', labelNames: ['service'], registers: [this.registry],
	});

	readonly #requestDuration = new Histogram({
		name: 'carobquay_request_seconds', help: 'Time from arrival to end.', labelNames: ['service', 'outcome'], buckets: durationBuckets, registers: [this.registry],
	});

	readonly #timeToFirstEvent = new Histogram({
		name: 'carobquay_first_event_seconds', help: 'Time from arrival to the first event.', labelNames: ['length'], buckets: durationBuckets, registers: [this.registry],
	});

	/** Registers values that are read on each fetch. */
	registerGauges(gauges: GaugeReaders): void {
		const definitions: ReadonlyArray<readonly [string, string, () => number]> = [
			['carobquay_configuration_version', 'Version of the configuration in force.', gauges.configurationVersion],
			['carobquay_engines', 'Engines known.', gauges.engines],
			['carobquay_peers', 'Other instances heard of lately.', gauges.peers],
			['carobquay_placements', 'Requests known to be at engines.', gauges.placements],
			['carobquay_store_age_seconds', 'Time since the store last answered.', gauges.storeAge],
			['carobquay_log_lines_dropped', 'Log lines left out since the last count was written.', gauges.droppedLineCount],
		];
		for (const [name, help, read] of definitions) {
			const gauge: Gauge = new Gauge({
				name, help, registers: [this.registry], collect() {
					gauge.set(read());
				},
			});
		}
	}

	recordEnd({route, service, outcome, duration, timeToFirstEvent: firstEvent, promptTokens}: EndedRequest): void {
		this.#requests.inc({route, service, outcome});
		this.#requestDuration.observe({service, outcome}, duration / millisecondsPerSecond);
		if (firstEvent !== undefined) {
			const length = promptLengthBands.find(([limit]) => (promptTokens ?? 0) <= limit)![1];
			this.#timeToFirstEvent.observe({length}, firstEvent / millisecondsPerSecond);
		}
	}

	recordRejection(code: string): void {
		this.#rejections.inc({code});
	}

	recordRetry(service: string): void {
		this.#retries.inc({service});
	}
}
