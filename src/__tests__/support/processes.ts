/**
 * Starts the program as separate processes for tests, and ends them by id.
 *
 * @module
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {request} from 'undici';
import {hashKey} from '../../entry/authentication.js';

/** Bundle that `npm run build` makes. */
const program = path.resolve('dist/carobquay.cjs');

/** Longest time in milliseconds until a process says that it listens. */
const startTimeout = 20_000;

/** A running process of the program. */
export class ProgramProcess {
	readonly lines: string[] = [];
	readonly #child: ChildProcess;
	readonly #listeners = new Set<(line: string) => void>();
	readonly #exit: Promise<number | undefined>;

	/** @param binary - Single binary to run in place of the bundle. */
	constructor(commandArguments: readonly string[], binary?: string) {
		const [command, ...first] = binary === undefined ? [process.execPath, program] : [binary];
		this.#child = spawn(command, [...first, ...commandArguments], {stdio: ['ignore', 'pipe', 'pipe']});
		for (const stream of [this.#child.stdout!, this.#child.stderr!]) {
			createInterface({input: stream}).on('line', line => {
				this.lines.push(line);
				for (const listener of this.#listeners) {
					listener(line);
				}
			});
		}

		this.#exit = new Promise(resolve => {
			this.#child.once('close', code => {
				resolve(code ?? undefined);
			});
		});
	}

	/** Resolves with the line, past or to come, that is the given number of those that a pattern matches. */
	async line(pattern: RegExp, number = 1): Promise<RegExpExecArray> {
		let matches = 0;
		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				reject(new Error(`no line matched ${String(pattern)} in:\n${this.lines.join('\n')}`));
			}, startTimeout);
			const listener = (line: string) => {
				const found = pattern.exec(line);
				matches += found ? 1 : 0;
				if (found && matches === number) {
					clearTimeout(timer);
					this.#listeners.delete(listener);
					resolve(found);
				}
			};

			this.#listeners.add(listener);
			for (const line of this.lines) {
				listener(line);
			}
		});
	}

	signal(name: NodeJS.Signals): void {
		this.#child.kill(name);
	}

	/** Exit code, once the process has ended; undefined where a signal ended it. */
	async exited(): Promise<number | undefined> {
		return this.#exit;
	}

	async kill(): Promise<void> {
		this.signal('SIGKILL');
		await this.#exit;
	}
}

/** Key of the only customer in tests. */
export const testKey = 'test-key';

const configuration = `[pool kohus-llm]
labels = tier=standard
upstreams = pool=kohus-llm
models = stand-in
[pool viide-app]
kind = service
labels = tier=service
upstreams = pool=viide-app
[class question]
pools = tier=standard
priority = 20
deadline = 60 s
[class review]
pools = tier=standard
priority = 5
deadline = 5 m
[class citation]
pools = tier=service
deadline = 20 s
non_idempotent = true
[customer advokaat]
key_hashes = ${hashKey(testKey)}
`;

/** An entry instance with its addresses. */
export type Entry = {process: ProgramProcess; callers: string; operators: string};

/** How many processes of each kind to start. */
export type FleetOptions = {
	/** @default 2 */
	entries?: number;
	/** @default 2 */
	engines?: number;
	/** @default 1 */
	services?: number;
	/**
	 * Further lines of each entry's settings.
	 * @default ''
	 */
	settings?: string;
	/**
	 * Further arguments of each engine.
	 * @default []
	 */
	engineArguments?: readonly string[];
};

type StandIn = {process: ProgramProcess; address: string};

/** Entries with the stand-ins of all outside systems, each a process of its own. */
export class ProcessFleet {
	/** Starts everything and applies a configuration. */
	static async start({entries = 2, engines = 2, services = 1, settings = '', engineArguments = []}: FleetOptions = {}): Promise<ProcessFleet> {
		const fleet = new ProcessFleet();
		const [table, objects, instances, weights] = await Promise.all([
			fleet.#standIn('table'), fleet.#standIn('objects'), fleet.#standIn('instances', '--lag', '0'), fleet.#standIn('weights'),
		]);
		fleet.platform = {
			table: table.address, objects: objects.address, instances: instances.address, weights: weights.address,
		};
		fleet.engines = await Promise.all(Array.from({length: engines}, async () => fleet.#standIn('engine', ...engineArguments)));
		fleet.services = await Promise.all(Array.from({length: services}, async () => fleet.#standIn('service')));
		await Promise.all(fleet.engines.map(async ({address}, index) => fleet.declare('engine', `kohus-llm-${index + 1}`, address)));
		await Promise.all(fleet.services.map(async ({address}, index) => fleet.declare('service', `viide-app-${index + 1}`, address)));
		fleet.directory = await mkdtemp(path.join(tmpdir(), 'carobquay-'));
		fleet.entries = await Promise.all(Array.from({length: entries}, async (_, index) => fleet.startEntry(`entry-${index + 1}`, settings)));
		await fleet.#configure();
		return fleet;
	}

	entries: Entry[] = [];
	engines: StandIn[] = [];
	services: StandIn[] = [];
	platform = {
		table: '', objects: '', instances: '', weights: '',
	};

	directory = '';
	readonly #processes: ProgramProcess[] = [];

	/** Declares an upstream in the instance list. */
	async declare(kind: 'entry' | 'engine' | 'service', name: string, address: string, state: 'live' | 'leaving' = 'live'): Promise<void> {
		await request(`http://${this.platform.instances}/admin/instances/${name}`, {
			method: 'PUT',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({
				kind, address, failureDomain: 'tartu-a', region: 'tartu', state, labels: {pool: name.replace(/-\d+$/v, '')},
			}),
		});
	}

	async startEntry(name: string, settings: string): Promise<Entry> {
		const file = path.join(this.directory, `${name}.ini`);
		await writeFile(file, entrySettings(name, this.platform, settings));
		const entry = this.#run('serve', '--settings', file);
		const [, callers, operators] = await entry.line(/event=instance\.started .*callers=(\S+) operators=(\S+)/v);
		return {process: entry, callers: callers!, operators: operators!};
	}

	/** Ends all processes. */
	async stop(): Promise<void> {
		await Promise.all(this.#processes.map(async child => child.kill()));
		await rm(this.directory, {recursive: true, force: true});
	}

	async #configure(): Promise<void> {
		const response = await request(`http://${this.entries[0]!.operators}/v1/configuration`, {method: 'PUT', body: configuration});
		if (response.statusCode !== 200) {
			throw new Error(await response.body.text());
		}

		await response.body.dump();
		await Promise.all(this.entries.map(async entry => entry.process.line(/event=configuration\.in-force/v)));
		await Promise.all(this.entries.map(async entry => entry.process.line(/event=upstream\.added/v)));
	}

	async #standIn(kind: string, ...options: string[]): Promise<StandIn> {
		const child = this.#run('stand-in', kind, ...options);
		const [, address] = await child.line(/^listening (\S+)$/v);
		return {process: child, address: address!};
	}

	#run(...commandArguments: string[]): ProgramProcess {
		const child = new ProgramProcess(commandArguments);
		this.#processes.push(child);
		return child;
	}
}

function entrySettings(name: string, platform: ProcessFleet['platform'], more: string): string {
	return `[instance]
name = ${name}
failure_domain = tartu-a
region = tartu
[callers]
port = 0
[operators]
port = 0
[platform]
table = ${platform.table}
objects = ${platform.objects}
instances = ${platform.instances}
weights = ${platform.weights}
[configuration]
poll_interval = 200 ms
${more}
`;
}
