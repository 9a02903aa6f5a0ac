/**
 * Measures one size of fleet in one process.
 *
 * @module
 */
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {MemoryInstanceList} from '../../src/platform/memory/memory-instance-list.js';
import {MemoryTable} from '../../src/platform/memory/memory-table.js';
import {sleep} from '../../src/platform/backoff.js';
import type {ListedInstance} from '../../src/platform/instance-list.js';
import {BenchNode} from './bench-node.js';
import {SimulatedConnector} from './simulated-engine.js';

/** Engines for each entry instance at the two-year size. */
const enginesPerNode = 600 / 350;

/** Times in milliseconds. */
const settleTime = 1500;
const window = 5000;
const longWindow = 20_000;
const changeSpacing = 150;
const longestWait = 15_000;

/** Changes of configuration that are measured. */
const changes = 10;

/** Customers of the two-year size, which make most of the document. */
const customers = 330;

/** Figures of one size; times in milliseconds, rates per second. */
export type SizeFigures = {
	nodes: number;
	upstreams: number;
	join_ms: number;
	links_per_node: number;
	link_bytes_per_second: number;
	cpu_percent: number;
	memory_mb: number;
	resident_mb_per_node: number;
	load_polls_per_second: number;
	table_reads_per_second: number;
	table_writes_per_change: number;
	list_bytes: number;
	config_p50_ms: number;
	config_p99_ms: number;
	config_max_ms: number;
	config_bytes_per_change: number;
	death_p50_ms: number;
	death_max_ms: number;
	leaving_max_ms: number;
	staleness_p50_ms: number;
	false_deaths: number;
};

/** Figures of a fleet in which nothing changes but loads. */
export type SteadyFigures = Pick<
	SizeFigures,
	'nodes' | 'upstreams' | 'links_per_node' | 'link_bytes_per_second' | 'cpu_percent' | 'memory_mb' | 'load_polls_per_second' | 'staleness_p50_ms'
>;

/** A fleet of one size with its stand-ins. */
export class MeasuredFleet {
	readonly table = new MemoryTable();
	readonly connector = new SimulatedConnector();
	readonly instances: MemoryInstanceList;
	readonly nodes: BenchNode[];
	readonly #upstreams: string[];

	constructor(count: number, upstreams = Math.round(count * enginesPerNode)) {
		this.#upstreams = Array.from({length: upstreams}, (_, index) => `kohus-llm-${index + 1}`);
		this.instances = new MemoryInstanceList({instances: this.#upstreams.map(name => describeEngine(name))});
		this.nodes = Array.from({length: count}, (_, index) => new BenchNode({
			name: `entry-${index + 1}`, table: this.table, instances: this.instances, connector: this.connector,
		}));
	}

	/** Runs all measurements, then stops everything. */
	async measure(): Promise<SizeFigures> {
		const before = memory();
		const join = await this.assemble();
		await this.nodes[0]!.store.apply(document(1));
		await sleep(settleTime);
		const steady = await this.#steady(before);
		const configuration = await this.#configure();
		const leaving = await this.#leave();
		const falseDeaths = this.nodes.reduce((sum, node) => sum + this.nodes.length - node.live, 0);
		const death = await this.#death();
		await this.stop();
		return {
			nodes: this.nodes.length,
			upstreams: this.#upstreams.length,
			join_ms: join,
			...steady,
			...configuration,
			...death,
			leaving_max_ms: leaving,
			false_deaths: falseDeaths,
		};
	}

	/** Measures only the cost while nothing changes but loads, for a whole round of digests of all upstreams. */
	async measureSteady(): Promise<SteadyFigures> {
		const before = memory();
		await this.assemble();
		await sleep(settleTime);
		const steady = await this.#steady(before, longWindow);
		await this.stop();
		return {nodes: this.nodes.length, upstreams: this.#upstreams.length, ...steady};
	}

	/** Starts all instances; resolves with the time in milliseconds until all see each other. */
	async assemble(): Promise<number> {
		const startedAt = performance.now();
		await Promise.all(this.nodes.map(async node => node.start()));
		for (const node of this.nodes) {
			this.instances.declare(node.listed);
		}

		await until(() => this.nodes.every(({live}) => live === this.nodes.length));
		return performance.now() - startedAt;
	}

	async stop(): Promise<void> {
		await Promise.all(this.nodes.map(async node => node.stop()));
	}

	async #steady(before: {heap: number; resident: number}, duration = window) {
		const count = this.nodes.length;
		const bytes = this.#bytes;
		const processor = process.cpuUsage();
		const startedAt = performance.now();
		this.table.counts.reset();
		this.instances.counts.reset();
		this.connector.polls = 0;
		await sleep(duration);
		const seconds = (performance.now() - startedAt) / 1000;
		const used = process.cpuUsage(processor);
		const after = memory();
		const listing = await this.instances.read();
		return {
			links_per_node: this.nodes.reduce((sum, {fleet}) => sum + fleet.traffic.links, 0) / count,
			link_bytes_per_second: (this.#bytes - bytes) / count / seconds,
			cpu_percent: (used.user + used.system) / 10_000 / count / seconds,
			memory_mb: (after.heap - before.heap) / count / 1e6,
			resident_mb_per_node: (after.resident - before.resident) / count / 1e6,
			load_polls_per_second: this.connector.polls / count / seconds,
			table_reads_per_second: (this.table.counts.total('read') + this.table.counts.total('list')) / seconds,
			list_bytes: JSON.stringify(listing).length,
			staleness_p50_ms: percentile(this.#staleness(), 0.5),
		};
	}

	/** Ages of the loads that instances know by digests. */
	#staleness(): number[] {
		return this.nodes.flatMap(({fleet}) => fleet.loadAges);
	}

	async #configure() {
		const bytes = this.#bytes;
		this.table.counts.reset();
		const delays: number[] = [];
		for (let change = 0; change < changes; change++) {
			const proposer = this.nodes[(change * 7) % this.nodes.length]!;
			const {generation} = await proposer.store.apply(document(2 + change)); // eslint-disable-line no-await-in-loop
			const acceptedAt = proposer.inForce.get(generation)!;
			await until(() => this.nodes.every(({inForce}) => inForce.has(generation))); // eslint-disable-line no-await-in-loop
			delays.push(...this.nodes.filter(node => node !== proposer).map(({inForce}) => inForce.get(generation)! - acceptedAt));
			await sleep(changeSpacing); // eslint-disable-line no-await-in-loop
		}

		return {
			table_writes_per_change: this.table.counts.total('transact') / changes,
			config_p50_ms: percentile(delays, 0.5),
			config_p99_ms: percentile(delays, 0.99),
			config_max_ms: Math.max(...delays),
			config_bytes_per_change: (this.#bytes - bytes) / this.nodes.length / changes,
		};
	}

	/** Time until no instance gives new work to an upstream that says it is leaving. */
	async #leave(): Promise<number> {
		const upstream = this.#upstreams[0]!;
		const startedAt = performance.now();
		this.connector.leaving.add(upstream);
		await until(() => this.nodes.every(({directory}) => directory.upstreams.find(({name}) => name === upstream)?.state === 'leaving'));
		return performance.now() - startedAt;
	}

	async #death() {
		const dead = this.nodes.at(-1)!;
		const rest = this.nodes.slice(0, -1);
		const startedAt = performance.now();
		await dead.stop();
		const noticed = new Map<BenchNode, number>();
		await until(() => {
			for (const node of rest) {
				if (!noticed.has(node) && node.stateOf(dead.name) === 'dead') {
					noticed.set(node, performance.now() - startedAt);
				}
			}

			return noticed.size === rest.length;
		});
		return {
			death_p50_ms: percentile([...noticed.values()], 0.5),
			death_max_ms: Math.max(...noticed.values()),
		};
	}

	get #bytes(): number {
		return this.nodes.reduce((sum, {fleet}) => sum + fleet.traffic.bytes, 0);
	}
}

/** Line of the instance list that announces an engine. */
export function describeEngine(name: string): ListedInstance {
	return {
		name, kind: 'engine', address: '127.0.0.1:1', failureDomain: 'tartu-a', region: 'tartu', state: 'live', labels: {pool: 'kohus-llm'},
	};
}

/** A document of the two-year size; the seed makes one section differ. */
function document(seed: number): string {
	const sections = Array.from({length: customers}, (_, index) => (
		`[customer c${index}]\nkey_hashes = ${String(index).padStart(64, '0')}\nweight = ${index === 0 ? seed : 1}\n`));
	return ['[pool kohus-llm]\nlabels = tier=standard\nupstreams = pool=kohus-llm\nmodels = stand-in\n', ...sections].join('\n');
}

function memory(): {heap: number; resident: number} {
	globalThis.gc?.();
	const {heapUsed, external, rss} = process.memoryUsage();
	return {heap: heapUsed + external, resident: rss};
}

/** Waits for a state of the fleet; throws where it is not reached in time. */
export async function until(condition: () => boolean): Promise<void> {
	const end = performance.now() + longestWait;
	while (!condition()) {
		if (performance.now() > end) {
			throw new Error('a state of the fleet was not reached in time');
		}

		await sleep(10); // eslint-disable-line no-await-in-loop
	}
}

function percentile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}
