/**
 * `npm run bench:fleet -- --json [--nodes 8,16,32,64]`: control cost and times of fleets of several sizes.
 *
 * Each size runs in a process of its own, one after the other. The last line is JSON with the figures of each size,
 * the fitted slopes and the values at the two-year size. docs/CAPACITY.md explains each figure.
 *
 * @module
 */
import {spawn} from 'node:child_process';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {parseArgs} from 'node:util';
import {defaultFanOut} from '../../src/fleet/fleet-options.js';
import {WatcherSharing} from '../../src/fleet/load-sharing.js';
import {type FrozenFigures} from './frozen.js';
import {describeEngine, type SizeFigures, type SteadyFigures} from './measure.js';
import {pairsRead, startCountedEngine, type WireFigures} from './wire-cost.js';

/** The two-year size. */
const targetNodes = 350;

/** Changes of configuration a second at the two-year size: 530 a day. */
const changesPerSecond = 530 / 86_400;

const greatestSize = 64;

/** Changes of the instance list a second at the two-year size: 81 instances a day are added, leave and are removed. */
const listChangesPerSecond = 81 * 3 / 86_400;

/** Engines at the two-year size. */
const targetEngines = 600;

/** Sizes that are measured with all engines of the two-year size. */
const steadySizes = ['16', '64'];

/** Upstream whose watcher is reckoned with. */
const watched = 'kohus-llm-1';

/** Runs one measurement in a process of its own. */
async function measure<Figures>(...what: string[]): Promise<Figures> {
	const child = spawn(process.execPath, ['--expose-gc', '--import', 'tsx', 'bench/fleet/child.ts', ...what], {stdio: ['ignore', 'pipe', 'inherit']});
	const line = await text(child.stdout);
	return JSON.parse(line) as Figures; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

type Fit = {intercept: number; slope: number};

/** Least-squares line. */
function fit(points: ReadonlyArray<readonly [number, number]>): Fit {
	const count = points.length;
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
	const spread = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	const slope = spread === 0 ? 0 : points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0) / spread;
	return {intercept: meanY - (slope * meanX), slope};
}

/** A line that does not fall: where it would, the greatest measured value holds for all sizes. */
function rising(line: Fit, measured: readonly number[]): Fit {
	return line.slope >= 0 ? line : {intercept: Math.max(...measured), slope: 0};
}

/** Readings of loads and of the instance list a second by each instance, by the rules of sharing. */
function readingsPerSecond(nodes: number): {polls: number; listReadings: number} {
	const sharing = new WatcherSharing({
		channel: {
			isWatcher: upstream => upstream === watched, publishLoad: () => undefined, setListed: () => undefined, isJoined: true, listRevision: 0, announceListRevision: () => undefined,
		},
		fanOut: defaultFanOut,
		loadInterval: 500,
		directLimit: 0,
	});
	sharing.instanceListRead([
		...Array.from({length: targetEngines}, (_, index) => describeEngine(`kohus-llm-${index + 1}`)),
		...Array.from({length: nodes}, (_, index) => ({...describeEngine(`entry-${index + 1}`), kind: 'entry' as const})),
	], 0);
	const share = targetEngines / nodes;
	return {
		polls: 1000 * ((share / sharing.loadInterval(watched)) + ((targetEngines - share) / sharing.loadInterval('kohus-llm-2'))),
		listReadings: 1000 / sharing.listInterval(0),
	};
}

const at = ({intercept, slope}: Fit, x: number) => intercept + (slope * x);

function summarize(sizes: readonly SizeFigures[], steady: readonly SteadyFigures[], wire: WireFigures) {
	const full = (key: keyof SteadyFigures) => fit(steady.map(size => [size.nodes, size[key]]));
	const linear = (key: keyof SizeFigures) => fit(sizes.map(size => [size.nodes, size[key]]));
	const logarithmic = (key: keyof SizeFigures) => fit(sizes.map(size => [Math.log2(size.nodes), size[key]]));
	const slopes = {
		link_bytes_per_second: rising(full('link_bytes_per_second'), steady.map(size => size.link_bytes_per_second)),
		cpu_percent: rising(full('cpu_percent'), steady.map(size => size.cpu_percent)),
		memory_mb: rising(full('memory_mb'), steady.map(size => size.memory_mb)),
		table_reads_per_second: linear('table_reads_per_second'),
		list_bytes: linear('list_bytes'),
		config_bytes_per_change: linear('config_bytes_per_change'),
		config_p99_ms_by_log2: logarithmic('config_p99_ms'),
		config_p99_ms: linear('config_p99_ms'),
	};
	const {polls, listReadings} = readingsPerSecond(targetNodes);
	const bytes = {
		links: at(slopes.link_bytes_per_second, targetNodes),
		load_polls: polls * wire.poll_bytes,
		instance_list: listReadings * at(slopes.list_bytes, targetNodes),
		list_changes: listChangesPerSecond * at(slopes.list_bytes, targetNodes),
		configuration: changesPerSecond * at(slopes.config_bytes_per_change, targetNodes),
	};
	return {
		slopes,
		target: {
			bytes_per_second: Object.values(bytes).reduce((sum, value) => sum + value, 0),
			bytes_per_second_by_part: bytes,
			cpu_percent: at(slopes.cpu_percent, targetNodes) + (polls * wire.poll_cpu_ms / 10),
			memory_mb: at(slopes.memory_mb, targetNodes) + (targetEngines * wire.client_kb / 1000),
			table_reads_per_second: at(slopes.table_reads_per_second, targetNodes),
			table_writes_per_second: changesPerSecond * Math.max(...sizes.map(size => size.table_writes_per_change)),
			config_p99_s: Math.max(at(slopes.config_p99_ms, targetNodes), at(slopes.config_p99_ms_by_log2, Math.log2(targetNodes))) / 1000,
		},
	};
}

const {values} = parseArgs({options: {json: {type: 'boolean', default: false}, nodes: {type: 'string', default: '8,16,32,64'}}});
const counts = values.nodes.split(',').map(Number);
if (counts.some(count => !Number.isInteger(count) || count < 3 || count > greatestSize)) {
	throw new RangeError(`--nodes takes whole numbers from 3 to ${greatestSize}, such as 8,16,32,64`);
}

const engine = await startCountedEngine();
const read = await measure<Pick<WireFigures, 'poll_cpu_ms'>>('wire', engine.address);
const wire = {...read, poll_bytes: engine.proxy.bytes / pairsRead, ...await measure<Pick<WireFigures, 'client_kb'>>('clients', engine.address)};
const steadyRuns = steadySizes.map(async size => measure<SteadyFigures>('steady', size));
const frozenRuns = ['frozen'].map(async what => measure<FrozenFigures>(what));
const sizes: SizeFigures[] = [];
for (const count of counts) {
	const figures = await measure<SizeFigures>(String(count)); // eslint-disable-line no-await-in-loop
	sizes.push(figures);
	if (!values.json) {
		console.table([figures]);
	}
}

const steady = await Promise.all(steadyRuns);
const [frozen] = await Promise.all(frozenRuns);
console.log(JSON.stringify({
	sizes, steady, wire, frozen, ...summarize(sizes, steady, wire),
}));
process.exit(0); // eslint-disable-line unicorn/no-process-exit
