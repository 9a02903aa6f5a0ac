/**
 * Task that follows the instance list and keeps a client and the load of every upstream.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {InstanceList, InstanceSnapshot, ListedInstance} from '../platform/instance-list.js';
import type {Observation, UpstreamDescription, UpstreamState} from '../routing/observation.js';
import type {EventLog} from '../telemetry/log.js';
import {errorMessage} from '../errors/errors.js';
import type {EngineClient, LoadReport} from './engine.js';
import type {ServiceClient, ServiceLoad} from './service.js';

/** Makes clients in the wire form that the settings name. */
export interface UpstreamConnector {
	createEngineClient(instance: ListedInstance): ClosableEngineClient;
	createServiceClient(instance: ListedInstance): ClosableServiceClient;
}

/** A client with connections to close. */
export type ClosableEngineClient = EngineClient & {close: () => Promise<void>};

/** A client with connections to close. */
export type ClosableServiceClient = ServiceClient & {close: () => Promise<void>};

/** Receives what the directory learns. */
export interface DirectoryListener {
	/** Engines whose prefix cache should be read whole. */
	readonly toResync: readonly string[];
	upstreamsChanged(upstreams: readonly UpstreamDescription[], now: number): void;
	observe(observation: Observation, now: number): void;
	/** Takes a reading of the whole list in. */
	instanceListRead?(snapshot: InstanceSnapshot, now: number): void;
	/** Sequence number after which to ask an engine for cache events. */
	lastCacheSequence(upstream: string): number;
}

/** Load of an upstream, read by this instance or learned from another. */
export type SharedLoad = {
	/** Time in milliseconds since the load was read. */
	age: number;
	running: number;
	waiting: number;
	pendingPromptTokens: number;
	/** Free part of KV memory, from 0 to 1. */
	freeKvCacheFraction: number;
	leaving: boolean;
};

/** Divides the reading of loads among instances. */
export interface LoadReportSharing {
	/** Time in milliseconds until this instance should read a load again. */
	loadInterval(upstream: string): number;
	/** Takes a load that this instance has read. */
	loadRead(upstream: string, load: SharedLoad): void;
	/** Takes the instances of each reading of the list. */
	instanceListRead(instances: readonly ListedInstance[], revision: number): void;
	/** Time in milliseconds until this instance should read the list again. */
	listInterval(base: number): number;
}

/** What the directory works with. */
export type DirectoryOptions = {
	instances: InstanceList;
	connector: UpstreamConnector;
	listener: DirectoryListener;
	log: EventLog;
	/** Time in milliseconds between readings of the instance list. */
	listInterval: number;
	/** Time in milliseconds between load reports asked of an upstream. */
	loadInterval: number;
	/**
	 * Divides the reading of loads among instances.
	 * @default this instance reads all of them
	 */
	sharing?: LoadReportSharing;
};

/** Failed load reports in a row after which an upstream counts as down. */
const failuresUntilDown = 3;

/** Share of an interval by which its beginnings are spread. */
const jitter = 0.2;

type Entry = {
	instance: ListedInstance;
	client: {kind: 'engine'; engine: ClosableEngineClient} | {kind: 'service'; service: ClosableServiceClient};
	/** Leaving by its own load report, which may come before the list says so. */
	leaving: boolean;
	failures: number;
	/** Newest report, read here or completed by a load from another instance. */
	report: LoadReport | undefined;
	timer: NodeJS.Timeout | undefined;
};

/** Knows the upstreams of the instance list. */
export class UpstreamDirectory {
	readonly #options: DirectoryOptions;
	readonly #entries = new Map<string, Entry>();
	#timer: NodeJS.Timeout | undefined;
	#stopped = false;
	#listFailed = false;

	constructor(options: DirectoryOptions) {
		this.#options = options;
	}

	/** Reads the list once and goes on reading it. Resolves also where the list could not be read. */
	async start(): Promise<void> {
		await this.#readList();
	}

	async stop(): Promise<void> {
		this.#stopped = true;
		clearTimeout(this.#timer);
		const entries = [...this.#entries.values()];
		this.#entries.clear();
		await Promise.all(entries.map(async entry => closeEntry(entry)));
	}

	/** Client of a listed engine. */
	engine(name: string): EngineClient | undefined {
		const client = this.#entries.get(name)?.client;
		return client?.kind === 'engine' ? client.engine : undefined;
	}

	/** Clients of all listed engines. */
	get engines(): EngineClient[] {
		return [...this.#entries.values()].flatMap(({client}) => client.kind === 'engine' ? [client.engine] : []);
	}

	/** Client of a listed service instance. */
	service(name: string): ServiceClient | undefined {
		const client = this.#entries.get(name)?.client;
		return client?.kind === 'service' ? client.service : undefined;
	}

	/** Listed upstreams with the state that this instance believes. */
	get upstreams(): UpstreamDescription[] {
		return [...this.#entries.values()].map(entry => describe(entry));
	}

	/** Plans the next reading of every load anew, after watchers have changed. */
	rescheduleLoadPolls(): void {
		for (const entry of this.#entries.values()) {
			// An entry without a timer is being read and plans its next reading itself.
			if (entry.timer !== undefined) {
				this.#schedule(entry);
			}
		}
	}

	/** Plans the next reading of the list anew, after another instance has told of a change. */
	rescheduleListPoll(): void {
		if (this.#timer !== undefined) {
			this.#scheduleList();
		}
	}

	/** Takes in a load that another instance has read. */
	applySharedLoad(upstream: string, load: SharedLoad): void {
		const entry = this.#entries.get(upstream);
		if (!entry) {
			return;
		}

		const before = describe(entry).state;
		entry.leaving = load.leaving;
		if (entry.report) {
			entry.report = completeReport(entry.report, load);
			this.#options.listener.observe({kind: 'load', upstream, report: entry.report}, performance.now());
		} else if (entry.client.kind === 'service') {
			this.#options.listener.observe({
				kind: 'service-load', upstream, running: load.running, leaving: load.leaving,
			}, performance.now());
		}

		if (describe(entry).state !== before) {
			this.#options.log.info('upstream.state', {upstream, from: before, to: describe(entry).state});
			this.#publish();
		}
	}

	async #readList(): Promise<void> {
		try {
			const snapshot = await this.#options.instances.read();
			this.#options.listener.instanceListRead?.(snapshot, performance.now());
			this.#options.sharing?.instanceListRead(snapshot.instances, snapshot.revision);
			this.#apply(snapshot.instances);
			this.#listFailed = false;
		} catch (error) {
			if (!this.#listFailed) {
				this.#options.log.warn('instance-list.unavailable', {error: errorMessage(error)});
			}

			this.#listFailed = true;
		}

		if (!this.#stopped) {
			this.#scheduleList();
		}
	}

	#scheduleList(): void {
		const {listInterval, sharing} = this.#options;
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			void this.#readList();
		}, spread(sharing?.listInterval(listInterval) ?? listInterval));
	}

	#apply(instances: readonly ListedInstance[]): void {
		let changed = false;
		const listed = new Map(instances.filter(({kind}) => kind !== 'entry').map(instance => [instance.name, instance]));
		for (const [name, entry] of this.#entries) {
			if (listed.get(name)?.address !== entry.instance.address) {
				changed = true;
				this.#remove(name, entry);
			}
		}

		for (const instance of listed.values()) {
			changed = this.#update(instance) || changed;
		}

		if (changed) {
			this.#publish();
		}
	}

	/** @returns whether anything about the upstream is new. */
	#update(instance: ListedInstance): boolean {
		const known = this.#entries.get(instance.name);
		if (known === undefined) {
			this.#add(instance);
			return true;
		}

		const changed = known.instance.state !== instance.state || JSON.stringify(known.instance.labels) !== JSON.stringify(instance.labels);
		if (known.instance.state !== instance.state) {
			this.#options.log.info('upstream.state', {upstream: instance.name, from: known.instance.state, to: instance.state});
		}

		known.instance = instance;
		return changed;
	}

	#add(instance: ListedInstance): void {
		const {connector, log} = this.#options;
		const client: Entry['client'] = instance.kind === 'engine'
			? {kind: 'engine', engine: connector.createEngineClient(instance)}
			: {kind: 'service', service: connector.createServiceClient(instance)};
		const entry: Entry = {
			instance, client, leaving: false, failures: 0, report: undefined, timer: undefined,
		};
		this.#entries.set(instance.name, entry);
		log.info('upstream.added', {upstream: instance.name, kind: instance.kind, address: instance.address});
		void this.#readLoad(entry);
	}

	#remove(name: string, entry: Entry): void {
		this.#entries.delete(name);
		this.#options.log.info('upstream.removed', {upstream: name});
		void closeEntry(entry);
	}

	#publish(): void {
		this.#options.listener.upstreamsChanged(this.upstreams, performance.now());
	}

	async #readLoad(entry: Entry): Promise<void> {
		const before = describe(entry).state;
		try {
			await this.#askLoad(entry);
			entry.failures = 0;
		} catch {
			entry.failures += 1;
		}

		if (this.#stopped || this.#entries.get(entry.instance.name) !== entry) {
			return;
		}

		const after = describe(entry).state;
		if (before !== after) {
			this.#options.log.info('upstream.state', {upstream: entry.instance.name, from: before, to: after});
			this.#publish();
		}

		this.#schedule(entry);
	}

	#schedule(entry: Entry): void {
		clearTimeout(entry.timer);
		const {loadInterval, sharing} = this.#options;
		// A load that could not be read is read again soon, whoever else reads it.
		const interval = entry.failures === 0 && sharing ? sharing.loadInterval(entry.instance.name) : loadInterval;
		entry.timer = setTimeout(() => {
			entry.timer = undefined;
			void this.#readLoad(entry);
		}, spread(interval));
	}

	async #askLoad(entry: Entry): Promise<void> {
		const {listener} = this.#options;
		const {name: upstream} = entry.instance;
		if (entry.client.kind === 'service') {
			const load = await entry.client.service.fetchLoad();
			entry.leaving = load.leaving;
			listener.observe({kind: 'service-load', upstream, ...load}, performance.now());
			this.#options.sharing?.loadRead(upstream, sharedServiceLoad(load));
			return;
		}

		const {engine} = entry.client;
		const report = await engine.fetchLoad();
		entry.leaving = report.leaving;
		entry.report = report;
		listener.observe({kind: 'load', upstream, report}, performance.now());
		this.#options.sharing?.loadRead(upstream, sharedEngineLoad(report));
		await this.#askCache(engine);
	}

	async #askCache(engine: EngineClient): Promise<void> {
		const {listener} = this.#options;
		const upstream = engine.name;
		const page = await engine.cacheEvents(listener.lastCacheSequence(upstream));
		listener.observe({kind: 'cache-events', upstream, page}, performance.now());
		if (listener.toResync.includes(upstream)) {
			const snapshot = await engine.cacheSnapshot();
			listener.observe({kind: 'cache-snapshot', upstream, ...snapshot}, performance.now());
		}
	}
}

function describe({instance, leaving, failures}: Entry): UpstreamDescription {
	let state: UpstreamState = instance.state === 'leaving' || leaving ? 'leaving' : 'live';
	if (failures >= failuresUntilDown) {
		state = 'down';
	}

	return {
		name: instance.name,
		kind: instance.kind === 'engine' ? 'engine' : 'service',
		labels: instance.labels,
		failureDomain: instance.failureDomain,
		state,
	};
}

/** Rise of a report's sequence for each load from another instance; less than the engine's own step of 1. */
const sharedSequenceStep = 1 / 1_048_576;

/** The last whole report with the figures of a newer load. */
function completeReport(report: LoadReport, {age, running, waiting, pendingPromptTokens, freeKvCacheFraction: freeShare, leaving}: SharedLoad): LoadReport {
	return {
		...report, age, running, waiting, pendingPromptTokens, leaving, freeBlocks: Math.round(freeShare * report.totalBlocks), sequence: report.sequence + sharedSequenceStep,
	};
}

function sharedEngineLoad({age, running, waiting, pendingPromptTokens, freeBlocks, totalBlocks, leaving}: LoadReport): SharedLoad {
	return {
		age, running, waiting, pendingPromptTokens, freeKvCacheFraction: totalBlocks === 0 ? 0 : freeBlocks / totalBlocks, leaving,
	};
}

function sharedServiceLoad({running, leaving}: ServiceLoad): SharedLoad {
	return {
		age: 0, running, waiting: 0, pendingPromptTokens: 0, freeKvCacheFraction: 0, leaving,
	};
}

async function closeEntry(entry: Entry): Promise<void> {
	clearTimeout(entry.timer);
	await (entry.client.kind === 'engine' ? entry.client.engine.close() : entry.client.service.close());
}

/** An interval with jitter, so that instances do not ask in step. */
function spread(interval: number): number {
	return interval * (1 - jitter + (2 * jitter * Math.random()));
}
