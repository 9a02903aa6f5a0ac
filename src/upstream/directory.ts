/**
 * Directory of the upstreams: polls the instance list, creates a client for each listed upstream, and polls the upstream's load
 * and cache events.
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

/** Creates clients for the wire protocol that the settings select. */
export interface UpstreamConnector {
	createEngineClient(instance: ListedInstance): ClosableEngineClient;
	createServiceClient(instance: ListedInstance): ClosableServiceClient;
}

/** Engine client whose connections can be closed. */
export type ClosableEngineClient = EngineClient & {close: () => Promise<void>};

/** Service client whose connections can be closed. */
export type ClosableServiceClient = ServiceClient & {close: () => Promise<void>};

/** Receives the changes and observations of the directory. */
export interface DirectoryListener {
	/** Names of engines for which a complete cache snapshot is needed. */
	readonly toResync: readonly string[];
	upstreamsChanged(upstreams: readonly UpstreamDescription[], now: number): void;
	observe(observation: Observation, now: number): void;
	/** Receives each complete reading of the instance list. */
	instanceListRead?(snapshot: InstanceSnapshot, now: number): void;
	/** Sequence number after which to request cache events from an engine. */
	lastCacheSequence(upstream: string): number;
}

/** Load of an upstream, polled by this instance or received from another one. */
export type SharedLoad = {
	/** Age of the figures in milliseconds. */
	age: number;
	running: number;
	waiting: number;
	pendingPromptTokens: number;
	/** Free fraction of the KV cache, from 0 to 1. */
	freeKvCacheFraction: number;
	leaving: boolean;
};

/** Shares load reports among instances, so that not every instance has to poll every upstream. */
export interface LoadReportSharing {
	/** Time in milliseconds until this instance should poll an upstream's load again. */
	loadInterval(upstream: string): number;
	/** Receives each load that this instance has polled. */
	loadRead(upstream: string, load: SharedLoad): void;
	/** Receives the instances and the revision of each reading of the instance list. */
	instanceListRead(instances: readonly ListedInstance[], revision: number): void;
	/**
	 * Time in milliseconds until this instance should read the instance list again.
	 *
	 * @param base - Interval from the settings.
	 */
	listInterval(base: number): number;
}

/** Options of the directory. */
export type DirectoryOptions = {
	instances: InstanceList;
	connector: UpstreamConnector;
	listener: DirectoryListener;
	log: EventLog;
	/** Time in milliseconds between readings of the instance list. */
	listInterval: number;
	/** Time in milliseconds between load polls of an upstream. */
	loadInterval: number;
	/**
	 * Shares load reports among instances.
	 * @default this instance polls every upstream itself
	 */
	sharing?: LoadReportSharing;
};

/** Consecutive failed polls (of the load or, for an engine, of its cache events) after which an upstream is considered down. */
const failureThreshold = 3;

/** Maximum share of an interval by which it is lengthened or shortened at random. */
const jitter = 0.2;

type UpstreamEntry = {
	instance: ListedInstance;
	client: {kind: 'engine'; engine: ClosableEngineClient} | {kind: 'service'; service: ClosableServiceClient};
	/** Whether its own load report says that it is leaving, which may precede the instance list. */
	isLeaving: boolean;
	consecutiveFailures: number;
	/** Last complete report, updated with loads received from other instances. */
	report: LoadReport | undefined;
	loadTimer: NodeJS.Timeout | undefined;
};

/** Upstreams of the instance list, with their clients and states. */
export class UpstreamDirectory {
	readonly #options: DirectoryOptions;
	readonly #entries = new Map<string, UpstreamEntry>();
	#listTimer: NodeJS.Timeout | undefined;
	#stopped = false;
	#hasListFailed = false;

	constructor(options: DirectoryOptions) {
		this.#options = options;
	}

	/** Starts polling the instance list. Resolves after the first reading, even if it failed. */
	async start(): Promise<void> {
		await this.#readList();
	}

	async stop(): Promise<void> {
		this.#stopped = true;
		clearTimeout(this.#listTimer);
		const entries = [...this.#entries.values()];
		this.#entries.clear();
		await Promise.all(entries.map(async entry => closeEntry(entry)));
	}

	/** Client of an engine; undefined if no engine of this name is listed. */
	engine(name: string): EngineClient | undefined {
		const client = this.#entries.get(name)?.client;
		return client?.kind === 'engine' ? client.engine : undefined;
	}

	/** Clients of all listed engines. */
	get engines(): EngineClient[] {
		return [...this.#entries.values()].flatMap(({client}) => client.kind === 'engine' ? [client.engine] : []);
	}

	/** Client of a service instance; undefined if none of this name is listed. */
	service(name: string): ServiceClient | undefined {
		const client = this.#entries.get(name)?.client;
		return client?.kind === 'service' ? client.service : undefined;
	}

	/** Listed upstreams with their states as known to this instance. */
	get upstreams(): UpstreamDescription[] {
		return [...this.#entries.values()].map(entry => describe(entry));
	}

	/** Reschedules the next load poll of every upstream, after the instances that poll it have changed. */
	rescheduleLoadPolls(): void {
		for (const entry of this.#entries.values()) {
			// An upstream without a timer is being polled; its next poll is scheduled after that.
			if (entry.loadTimer !== undefined) {
				this.#scheduleLoadPoll(entry);
			}
		}
	}

	/** Reschedules the next reading of the instance list, after another instance has announced a change. */
	rescheduleListPoll(): void {
		if (this.#listTimer !== undefined) {
			this.#scheduleListPoll();
		}
	}

	/** Applies a load that another instance has polled. */
	applySharedLoad(upstream: string, load: SharedLoad): void {
		const entry = this.#entries.get(upstream);
		if (!entry) {
			return;
		}

		const before = describe(entry).state;
		entry.isLeaving = load.leaving;
		if (entry.report) {
			entry.report = mergeSharedLoad(entry.report, load);
			this.#options.listener.observe({kind: 'load', upstream, report: entry.report}, performance.now());
		} else if (entry.client.kind === 'service') {
			this.#options.listener.observe({
				kind: 'service-load', upstream, running: load.running, leaving: load.leaving,
			}, performance.now());
		}

		if (describe(entry).state !== before) {
			this.#options.log.info('upstream.state', {upstream, from: before, to: describe(entry).state});
			this.#notifyUpstreamsChanged();
		}
	}

	async #readList(): Promise<void> {
		try {
			const snapshot = await this.#options.instances.read();
			if (this.#stopped) {
				return;
			}

			this.#options.listener.instanceListRead?.(snapshot, performance.now());
			this.#options.sharing?.instanceListRead(snapshot.instances, snapshot.revision);
			this.#applyList(snapshot.instances);
			this.#hasListFailed = false;
		} catch (error) {
			if (!this.#hasListFailed) {
				this.#options.log.warn('instance-list.unavailable', {error: errorMessage(error)});
			}

			this.#hasListFailed = true;
		}

		if (!this.#stopped) {
			this.#scheduleListPoll();
		}
	}

	#scheduleListPoll(): void {
		const {listInterval, sharing} = this.#options;
		clearTimeout(this.#listTimer);
		this.#listTimer = setTimeout(() => {
			this.#listTimer = undefined;
			void this.#readList();
		}, withJitter(sharing?.listInterval(listInterval) ?? listInterval));
	}

	#applyList(instances: readonly ListedInstance[]): void {
		let hasChanged = false;
		const listed = new Map(instances.filter(({kind}) => kind !== 'entry').map(instance => [instance.name, instance]));
		for (const [name, entry] of this.#entries) {
			if (listed.get(name)?.address !== entry.instance.address) {
				hasChanged = true;
				this.#remove(name, entry);
			}
		}

		for (const instance of listed.values()) {
			hasChanged = this.#addOrUpdate(instance) || hasChanged;
		}

		if (hasChanged) {
			this.#notifyUpstreamsChanged();
		}
	}

	/** @returns whether the upstream is new or its state or labels have changed. */
	#addOrUpdate(instance: ListedInstance): boolean {
		const known = this.#entries.get(instance.name);
		if (known === undefined) {
			this.#add(instance);
			return true;
		}

		const hasChanged = known.instance.state !== instance.state || JSON.stringify(known.instance.labels) !== JSON.stringify(instance.labels);
		if (known.instance.state !== instance.state) {
			this.#options.log.info('upstream.state', {upstream: instance.name, from: known.instance.state, to: instance.state});
		}

		known.instance = instance;
		return hasChanged;
	}

	#add(instance: ListedInstance): void {
		const {connector, log} = this.#options;
		const client: UpstreamEntry['client'] = instance.kind === 'engine'
			? {kind: 'engine', engine: connector.createEngineClient(instance)}
			: {kind: 'service', service: connector.createServiceClient(instance)};
		const entry: UpstreamEntry = {
			instance, client, isLeaving: false, consecutiveFailures: 0, report: undefined, loadTimer: undefined,
		};
		this.#entries.set(instance.name, entry);
		log.info('upstream.added', {upstream: instance.name, kind: instance.kind, address: instance.address});
		void this.#pollLoad(entry);
	}

	#remove(name: string, entry: UpstreamEntry): void {
		this.#entries.delete(name);
		this.#options.log.info('upstream.removed', {upstream: name});
		void closeEntry(entry);
	}

	#notifyUpstreamsChanged(): void {
		this.#options.listener.upstreamsChanged(this.upstreams, performance.now());
	}

	async #pollLoad(entry: UpstreamEntry): Promise<void> {
		const before = describe(entry).state;
		try {
			await this.#fetchLoadAndCacheEvents(entry);
			entry.consecutiveFailures = 0;
		} catch {
			entry.consecutiveFailures += 1;
		}

		if (this.#stopped || this.#entries.get(entry.instance.name) !== entry) {
			return;
		}

		const after = describe(entry).state;
		if (before !== after) {
			this.#options.log.info('upstream.state', {upstream: entry.instance.name, from: before, to: after});
			this.#notifyUpstreamsChanged();
		}

		this.#scheduleLoadPoll(entry);
	}

	#scheduleLoadPoll(entry: UpstreamEntry): void {
		clearTimeout(entry.loadTimer);
		const {loadInterval, sharing} = this.#options;
		// After a failed poll, the load is polled again at the normal interval, even if other instances poll it too.
		const interval = entry.consecutiveFailures === 0 && sharing ? sharing.loadInterval(entry.instance.name) : loadInterval;
		entry.loadTimer = setTimeout(() => {
			entry.loadTimer = undefined;
			void this.#pollLoad(entry);
		}, withJitter(interval));
	}

	async #fetchLoadAndCacheEvents(entry: UpstreamEntry): Promise<void> {
		const {listener} = this.#options;
		const {name: upstream} = entry.instance;
		if (entry.client.kind === 'service') {
			const load = await entry.client.service.fetchLoad();
			entry.isLeaving = load.leaving;
			listener.observe({kind: 'service-load', upstream, ...load}, performance.now());
			this.#options.sharing?.loadRead(upstream, sharedServiceLoad(load));
			return;
		}

		const {engine} = entry.client;
		const report = await engine.fetchLoad();
		entry.isLeaving = report.leaving;
		entry.report = report;
		listener.observe({kind: 'load', upstream, report}, performance.now());
		this.#options.sharing?.loadRead(upstream, sharedEngineLoad(report));
		await this.#fetchCacheEvents(engine);
	}

	async #fetchCacheEvents(engine: EngineClient): Promise<void> {
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

function describe({instance, isLeaving, consecutiveFailures}: UpstreamEntry): UpstreamDescription {
	let state: UpstreamState = instance.state === 'leaving' || isLeaving ? 'leaving' : 'live';
	if (consecutiveFailures >= failureThreshold) {
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

/** Increment of a report's sequence for each load from another instance; smaller than the engine's own increment of 1. */
const sharedLoadSequenceStep = 1 / 1_048_576;

/** The last complete report, with its figures replaced by those of a newer load from another instance. */
function mergeSharedLoad(report: LoadReport, {age, running, waiting, pendingPromptTokens, freeKvCacheFraction, leaving}: SharedLoad): LoadReport {
	return {
		...report, age, running, waiting, pendingPromptTokens, leaving, freeBlocks: Math.round(freeKvCacheFraction * report.totalBlocks), sequence: report.sequence + sharedLoadSequenceStep,
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

async function closeEntry(entry: UpstreamEntry): Promise<void> {
	clearTimeout(entry.loadTimer);
	await (entry.client.kind === 'engine' ? entry.client.engine.close() : entry.client.service.close());
}

/** Adds jitter to an interval, so that instances do not poll simultaneously. */
function withJitter(interval: number): number {
	return interval * (1 - jitter + (2 * jitter * Math.random()));
}
