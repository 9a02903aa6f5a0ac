/**
 * Prometheus metrics of the requests that an instance on the platform serves.
 *
 * @module
 */
import process from 'node:process';
import v8 from 'node:v8';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {type MemoryBudget, memorySources} from '../memory/memory-budget.js';
import {residentBytes} from '../memory/process-memory.js';

/** Upper bounds in seconds of the histogram buckets; they cover the latency targets of the deployments, 0.12 to 4 s. */
const durationBuckets = [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 4, 6, 10, 15];

/** Greatest number of prompt tokens of each band of prompt lengths, with the band's label. */
const promptLengthBands: ReadonlyArray<readonly [number, string]> = [
	[8000, 'up to 8k'], [32_000, 'up to 32k'], [128_000, 'up to 128k'], [Number.POSITIVE_INFINITY, 'over 128k'],
];

const millisecondsPerSecond = 1000;

/** A request that ended, with its outcome. */
export type EndedRequest = {
	route: string;
	service: string;
	outcome: string;
	/** Time in milliseconds from arrival to end. */
	duration: number;
	/** Time in milliseconds from arrival to the first event; undefined if there was none. */
	timeToFirstEvent: number | undefined;
	promptTokens: number | undefined;
};

/** Why a response was cut: its connection has closed, or this instance has stopped. */
export type CutReason = 'closed' | 'stopped';

/** Functions that return the values of the gauges, called at each scrape. */
export type GaugeReaders = {
	configurationVersion: () => number;
	engines: () => number;
	evacuatedDomains: () => number;
	peers: () => number;
	placements: () => number;
	/** Prompts that this instance has placed in another failure domain than its own. */
	placementsOutsideDomain: () => number;
	/** Engines that are slower than published. */
	slowEngines: () => number;
	/** Running requests of which engines hold the leading parts, and prefill time in seconds that these were expected to save others since the start. */
	retainedPrefixes: () => number;
	savedPrefill: () => number;
	/** Prompts that wait at this instance for capacity, and the bytes of their bodies. */
	promptsWaiting: () => number;
	promptBytesWaiting: () => number;
	/** Engines that state a limit on their requests, and engines in a pause that this instance was asked for. */
	limitedEngines: () => number;
	pausedEngines: () => number;
	/** Engines that started a moment ago, and decisions of this instance that left out a cold engine. */
	coldEngines: () => number;
	coldWithheld: () => number;
	/** Connections to engines that this instance relays for others, and engines that it reaches through others alone. */
	relayedConnections: () => number;
	brokenPaths: () => number;
	/** Fingerprints of requests that are kept from engines. */
	quarantinedFingerprints: () => number;
	/** Era of the store; 0 before the first read. */
	storeEra: () => number;
	/** Time in seconds since the store last answered this instance, and since it last answered any instance that this one hears. */
	storeAge: () => number;
	storeConfirmationAge: () => number;
	/** Connections of callers that were closed because there were too many. */
	connectionsClosed: () => number;
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

	readonly #cuts = new Counter({
		name: 'carobquay_responses_cut_total', help: 'Complete responses of which the caller did not take the rest.', labelNames: ['reason'], registers: [this.registry],
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

	readonly #promptWait = new Histogram({
		name: 'carobquay_prompt_wait_seconds', help: 'Time for which prompts have waited here for capacity, of those that did.', buckets: durationBuckets, registers: [this.registry],
	});

	/** Registers gauges whose values are read at each scrape. */
	registerGauges(readers: GaugeReaders): void {
		const definitions: ReadonlyArray<readonly [string, string, () => number]> = [
			['carobquay_configuration_version', 'Version of the configuration in force.', readers.configurationVersion],
			['carobquay_engines', 'Engines known.', readers.engines],
			['carobquay_domains_evacuated', 'Failure domains that the operator has evacuated.', readers.evacuatedDomains],
			['carobquay_peers', 'Other instances heard of lately.', readers.peers],
			['carobquay_placements', 'Requests known to be at engines.', readers.placements],
			['carobquay_placements_outside_domain', 'Prompts placed in another failure domain than the own since the start.', readers.placementsOutsideDomain],
			['carobquay_engines_slow', 'Engines that take at least 1.5 times as long as published.', readers.slowEngines],
			['carobquay_prefixes_retained', 'Running requests whose leading prompt parts an engine holds for others.', readers.retainedPrefixes],
			['carobquay_prefill_saved_seconds', 'Prefill time that retained prefixes were expected to save since the start.', readers.savedPrefill],
			['carobquay_prompts_waiting', 'Prompts that wait at this instance for capacity.', readers.promptsWaiting],
			['carobquay_prompt_bytes_waiting', 'Bytes of the bodies of prompts that wait at this instance.', readers.promptBytesWaiting],
			['carobquay_engines_limited', 'Engines that state a limit on their requests.', readers.limitedEngines],
			['carobquay_engines_paused', 'Engines that have asked this instance for a pause.', readers.pausedEngines],
			['carobquay_engines_cold', 'Engines that tolerate few requests, as they started a moment ago.', readers.coldEngines],
			['carobquay_cold_withheld', 'Requests kept from a cold engine since the start, as this instance had sent it its share.', readers.coldWithheld],
			['carobquay_relayed_connections', 'Connections to engines that this instance relays for others.', readers.relayedConnections],
			['carobquay_engine_paths_broken', 'Engines that this instance reaches through other instances alone.', readers.brokenPaths],
			['carobquay_quarantined', 'Fingerprints of requests that are kept from engines, as engines crashed on them.', readers.quarantinedFingerprints],
			['carobquay_store_era', 'Era of the store, which rises when it comes back from an older copy.', readers.storeEra],
			['carobquay_store_age_seconds', 'Time since the store last answered this instance.', readers.storeAge],
			['carobquay_store_confirmation_age_seconds', 'Time since the store last answered this instance or one that it hears.', readers.storeConfirmationAge],
			['carobquay_connections_closed', 'Connections of callers closed since the start because there were too many.', readers.connectionsClosed],
			['process_resident_memory_bytes', 'Resident memory of the process.', () => residentBytes() ?? Number.NaN],
			['nodejs_heap_size_used_bytes', 'Heap of the runtime in use.', () => v8.getHeapStatistics().used_heap_size],
			['nodejs_heap_size_limit_bytes', 'Limit of the heap, at which the runtime aborts the process.', () => v8.getHeapStatistics().heap_size_limit],
			['carobquay_log_lines_dropped', 'Log lines left out since the last count was written.', readers.droppedLineCount],
		];
		for (const [name, help, read] of definitions) {
			const gauge: Gauge = new Gauge({
				name, help, registers: [this.registry], collect() {
					gauge.set(read());
				},
			});
		}
	}

	/** Registers the gauges of what this instance keeps in memory for others. */
	registerMemory(budget: MemoryBudget): void {
		const kept: Gauge = new Gauge({
			name: 'carobquay_memory_kept_bytes', help: 'Bytes kept in memory for others, by source.', labelNames: ['source'], registers: [this.registry], collect() {
				for (const source of memorySources) {
					kept.set({source}, budget.usedBy(source));
				}
			},
		});
		const limit: Gauge = new Gauge({
			name: 'carobquay_memory_limit_bytes', help: 'Limit of the bytes kept in memory for others, by source; "all" for the sum.', labelNames: ['source'], registers: [this.registry], collect() {
				limit.set({source: 'all'}, budget.ceiling);
				for (const source of memorySources) {
					limit.set({source}, budget.limitOf(source));
				}
			},
		});
	}

	recordEnd({route, service, outcome, duration, timeToFirstEvent, promptTokens}: EndedRequest): void {
		this.#requests.inc({route, service, outcome});
		this.#requestDuration.observe({service, outcome}, duration / millisecondsPerSecond);
		if (timeToFirstEvent !== undefined) {
			const length = promptLengthBands.find(([limit]) => (promptTokens ?? 0) <= limit)![1];
			this.#timeToFirstEvent.observe({length}, timeToFirstEvent / millisecondsPerSecond);
		}
	}

	recordRejection(code: string): void {
		this.#rejections.inc({code});
	}

	recordCut(reason: CutReason): void {
		this.#cuts.inc({reason});
	}

	/** @param waited - In milliseconds. */
	recordWait(waited: number): void {
		this.#promptWait.observe(waited / millisecondsPerSecond);
	}

	recordRetry(service: string): void {
		this.#retries.inc({service});
	}
}
