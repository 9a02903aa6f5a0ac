/**
 * What goes on beside the requests: reports, cache events, digests between instances, and faults.
 *
 * @module
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {UpstreamDescription} from '../../src/routing/observation.js';
import type {CacheEvent} from '../../src/upstream/engine.js';
import type {Decider} from './decider.js';
import type {EventQueue} from './event-queue.js';
import type {SimulatedEngine} from './simulated-engine.js';
import type {Workload} from './workload.js';

/** Time in milliseconds between looking for caches to read whole. */
const resyncInterval = 2000;

export type BackgroundOptions = {
	workload: Workload;
	seed: number;
	/** Whether engines die, reports lag and cache events are lost as the workload says. */
	degraded: boolean;
	engines: readonly SimulatedEngine[];
	deciders: readonly Decider[];
};

/** Schedules all that happens without a request. */
export class Background {
	readonly #events: EventQueue;
	readonly #options: BackgroundOptions;
	readonly #random;

	constructor(events: EventQueue, options: BackgroundOptions) {
		this.#events = events;
		this.#options = options;
		this.#random = xoroshiro128plus(options.seed + 1);
	}

	schedule(): void {
		this.#scheduleReports();
		this.#scheduleDigests();
		this.#scheduleFaults();
	}

	get #latency(): number {
		return this.#options.workload.instances.latency_ms;
	}

	#scheduleReports(): void {
		const {workload, degraded, engines} = this.#options;
		const lag = degraded ? workload.degraded.report_lag_ms : workload.engines.report_lag_ms;
		const interval = workload.engines.report_interval_ms;
		for (const [index, engine] of engines.entries()) {
			this.#every(interval, (interval * index) / engines.length, () => {
				if (!engine.alive) {
					return;
				}

				const report = engine.report(lag);
				this.#events.after(lag + this.#latency, () => {
					this.#tellAll({kind: 'load', upstream: engine.name, report});
				});
			});
			this.#scheduleCacheEvents(engine, index / engines.length, lag);
		}

		this.#every(resyncInterval, resyncInterval, () => {
			this.#resync();
		});
	}

	#scheduleCacheEvents(engine: SimulatedEngine, offset: number, lag: number): void {
		const {workload, degraded} = this.#options;
		const loss = degraded ? workload.degraded.cache_event_loss : workload.engines.cache_event_loss;
		const interval = workload.engines.cache_event_interval_ms;
		let last = 0;
		this.#every(interval, interval * offset, () => {
			const page = engine.model.cacheEvents(last);
			last = page.last;
			const {events} = page;
			if (engine.alive && events.length > 0 && uniformFloat64(this.#random) >= loss) {
				this.#events.after(lag + this.#latency, () => {
					this.#tellAll({kind: 'cache-events', upstream: engine.name, page: {incarnation: engine.name, events, last: page.last}});
				});
			}
		});
	}

	/** Reads the caches whole that a decider asks for; not while all cache events are lost. */
	#resync(): void {
		const {workload, degraded} = this.#options;
		if (degraded && workload.degraded.cache_event_loss >= 1) {
			return;
		}

		for (const decider of this.#options.deciders) {
			for (const name of decider.toResync) {
				const engine = this.#options.engines.find(candidate => candidate.name === name)!;
				if (engine.alive) {
					decider.observe({
						kind: 'cache-snapshot', upstream: name, incarnation: name, ...engine.model.cacheSnapshot(),
					}, this.#events.now);
				}
			}
		}
	}

	#scheduleDigests(): void {
		const interval = this.#options.workload.instances.digest_interval_ms;
		for (const [index, decider] of this.#options.deciders.entries()) {
			this.#every(interval, (interval * index) / this.#options.deciders.length, () => {
				const digest = decider.createPeerDigest(this.#events.now);
				this.#events.after(this.#latency, () => {
					for (const other of this.#options.deciders) {
						if (other !== decider) {
							other.observe({kind: 'peer-digest', digest}, this.#events.now);
						}
					}
				});
			});
		}
	}

	#scheduleFaults(): void {
		const {workload: {degraded: fault}, degraded, engines} = this.#options;
		if (!degraded) {
			return;
		}

		const dead = engines.slice(0, fault.dead_engines);
		this.#events.at(fault.dies_at_s * 1000, () => {
			for (const engine of dead) {
				engine.die();
			}
		});
		this.#events.at((fault.dies_at_s + fault.detected_after_s) * 1000, () => {
			for (const decider of this.#options.deciders) {
				decider.setUpstreams(describeEngines(engines, dead.map(({name}) => name)), this.#events.now);
			}
		});
	}

	#tellAll(observation: Parameters<Decider['observe']>[0]): void {
		for (const decider of this.#options.deciders) {
			decider.observe(observation, this.#events.now);
		}
	}

	#every(interval: number, offset: number, run: () => void): void {
		this.#events.after(offset, () => {
			run();
			this.#every(interval, interval, run);
		});
	}
}

/** The engines as the instance list gives them. */
export function describeEngines(engines: readonly SimulatedEngine[], down: readonly string[]): UpstreamDescription[] {
	return engines.map(({name, failureDomain}) => ({
		name, failureDomain, kind: 'engine', labels: {}, state: down.includes(name) ? 'down' : 'live',
	}));
}
