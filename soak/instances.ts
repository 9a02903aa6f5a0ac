/**
 * The real program as separate processes, started, signalled and ended by their ids.
 *
 * @module
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {settingsPathVariable} from '../platform/settings.js';
import {instanceSettingsDocument, type ScarcityLimits} from '../platform/stand-in/deployment.js';
import {call} from './callers.js';
import {memoryLimit} from './memory-watch.js';
import {metricsPort, ports} from './ports.js';

/** Time in milliseconds for an instance to be ready. */
const startTime = 15_000;

/** Time in milliseconds in which the runtime of a process starts, beside load. Until then SIGHUP ends any process. */
const runtimeStartTime = 500;

/** Time in milliseconds after which an instance that ended is started again. */
const restartDelay = 300;

/** Last lines of a process that are reported when it ends by itself, but for lines of the runtime that are parts of a stack or of its heap's history. */
const reportedLines = 3;
const stackLine = /^\s*(?:\d+: |-----|\[\d+:|<---|$)/v;

/** Options and arguments of a process as the deploy file has them, with a port of the harness. */
const deployedOptions = ['--max-old-space-size=160', '--max-semi-space-size=4', '--v8-pool-size=0', '--expose-gc'];
const deployedArguments = ['--metrics-port', String(metricsPort)];

/** Signals by which a process may end that was told to. */
const endSignals: ReadonlySet<NodeJS.Signals | undefined> = new Set(['SIGTERM', 'SIGKILL']);

/** The program as this tree builds it. */
export const currentProgram = 'dist/carobquay-front.cjs';

/** Time in milliseconds from SIGTERM to the latest end of a process, which is killed then. */
export const gracePeriod = 8000;

/** What an instance is made of. */
export type InstanceOptions = {
	number: number;
	/** Third number of the loopback addresses, so that runs beside each other do not meet. */
	lane: number;
	/** Where settings and logs are written. */
	folder: string;
	/** Program that its processes run. */
	program: string;
	/** Program of another build that its first process runs, until it is restarted; undefined for the same one. */
	programBefore: string | undefined;
	failureDomain: string;
	/** Undefined where the settings state none. */
	limits: ScarcityLimits | undefined;
	/** Whether processes run with all options of the deploy file and a memory limit. */
	isDeployed: boolean;
};

/** One instance and the process that runs it now. */
export class Instance {
	readonly name: string;
	readonly ip: string;
	/** How processes ended that were not told to. */
	readonly unexpectedEnds: string[] = [];
	/** Monotonic times in milliseconds at which processes started. */
	readonly starts: number[] = [];
	/** Monotonic times in milliseconds at which processes were first told to end. */
	readonly stops: number[] = [];
	/** Processes that had not ended at the end of the grace period. */
	kills = 0;
	/** Ages in milliseconds at which SIGHUP ended processes whose runtime had no listener yet. */
	readonly earlyHangups: number[] = [];
	readonly settingsPath: string;
	/** Text of the settings as a whole. */
	settingsText = '';
	readonly #isDeployed: boolean;
	/** What is done before the next spawn, and who waits for it. */
	#beforeSpawn: Array<() => Promise<void>> = [];
	#spawnWaiters: Array<() => void> = [];
	readonly #folder: string;
	readonly #failureDomain: string;
	readonly #limits: ScarcityLimits | undefined;
	readonly #laterProgram: string;
	#program: string;
	#process: ChildProcess | undefined;
	#isToldToEnd = false;
	/** Whether the process has written a line, so that its runtime has started. */
	#hasLogged = false;
	#isStopped = false;

	constructor({number, lane, folder, program, programBefore, failureDomain, limits, isDeployed}: InstanceOptions) {
		this.#failureDomain = failureDomain;
		this.#limits = limits;
		this.name = `instance-${number}`;
		this.ip = `127.0.${lane}.${number}`;
		this.#folder = folder;
		this.settingsPath = path.join(folder, `${this.name}.json`);
		this.#isDeployed = isDeployed;
		this.#laterProgram = program;
		this.#program = programBefore ?? program;
	}

	/** Whether a process runs that was not told to end. */
	get isRunning(): boolean {
		return this.#process !== undefined && !this.#isToldToEnd;
	}

	/** Id of the process that runs now; undefined while none does. */
	get processId(): number | undefined {
		return this.#process?.pid;
	}

	/** Resolves at the next spawn. @param before - Done before it. */
	async nextSpawn(before?: () => Promise<void>): Promise<void> {
		if (before) {
			this.#beforeSpawn.push(before);
		}

		return new Promise(resolve => {
			this.#spawnWaiters.push(resolve);
		});
	}

	/** Writes the settings and starts the process, now and after each end. @param store - Port of the store. */
	async start(store: number, seeds: readonly string[]): Promise<void> {
		this.settingsText = JSON.stringify(instanceSettingsDocument({
			name: this.name, ip: this.ip, ports, storePort: store, seeds, gracePeriod, failureDomain: this.#failureDomain, limits: this.#limits,
			memoryMegabytes: this.#isDeployed ? memoryLimit : undefined,
		}));
		await writeFile(this.settingsPath, this.settingsText);
		this.#spawn();
	}

	signal(signal: NodeJS.Signals): void {
		if (signal === 'SIGTERM' && this.#process && !this.#isToldToEnd) {
			this.stops.push(performance.now());
			const stopping = this.#process;
			const timer = setTimeout(() => {
				this.kills += 1;
				stopping.kill('SIGKILL');
			}, gracePeriod);
			stopping.once('exit', () => {
				clearTimeout(timer);
			});
		}

		this.#isToldToEnd ||= this.#process !== undefined && (signal === 'SIGTERM' || signal === 'SIGKILL');
		this.#process?.kill(signal);
	}

	/** Resolves when a request is served. @throws {Error} If that takes too long. */
	async untilServing(): Promise<void> {
		const until = performance.now() + startTime;
		for (let tries = 0; performance.now() < until; tries++) {
			const {status} = await call('idempotent', `start-${this.name}-${tries}`, this); // eslint-disable-line no-await-in-loop
			if (status === 200) {
				return;
			}

			await sleep(100); // eslint-disable-line no-await-in-loop
		}

		throw new Error(`instance ${this.name} did not serve within ${startTime} ms`);
	}

	/** Ends the process for good. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		const running = this.#process;
		if (running) {
			await new Promise(resolve => {
				running.once('exit', resolve);
				running.kill('SIGKILL');
			});
		}
	}

	async #spawnAgain(): Promise<void> {
		const work = this.#beforeSpawn;
		this.#beforeSpawn = [];
		for (const task of work) {
			await task(); // eslint-disable-line no-await-in-loop
		}

		if (!this.#isStopped) {
			this.#spawn();
		}
	}

	#spawn(): void {
		const options = this.#isDeployed ? [...deployedOptions, this.#program, 'front', ...deployedArguments] : ['--max-old-space-size=160', this.#program, 'front'];
		const child = spawn(process.execPath, options, {
			env: {PATH: process.env.PATH, [settingsPathVariable]: this.settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		const startedAt = performance.now();
		this.starts.push(startedAt);
		const log = createWriteStream(path.join(this.#folder, `${this.name}.log`), {flags: 'a'});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		child.once('close', () => {
			log.end();
		});
		let tail = '';
		const keepTail = (bytes: Uint8Array) => {
			const lines = `${tail}${new TextDecoder().decode(bytes)}`.split('\n');
			tail = [...lines.slice(0, -1).filter(line => !stackLine.test(line)).slice(-reportedLines), lines.at(-1)].join('\n');
		};

		child.stdout.on('data', keepTail);
		child.stderr.on('data', keepTail);
		this.#hasLogged = false;
		child.stdout.once('data', () => {
			this.#hasLogged = true;
		});
		this.#process = child;
		const waiters = this.#spawnWaiters;
		this.#spawnWaiters = [];
		for (const resolve of waiters) {
			resolve();
		}

		child.once('exit', (code, signal) => {
			this.#process = undefined;
			const age = performance.now() - startedAt;
			const hadNoListener = signal === 'SIGHUP' && !this.#hasLogged && age < runtimeStartTime;
			// After SIGTERM a process may be killed as well, but an exit of its own has to succeed.
			const isExpected = this.#isToldToEnd && (code === 0 || (signal !== null && endSignals.has(signal)));
			if (hadNoListener) {
				this.earlyHangups.push(age);
			}

			if (!this.#isStopped && !hadNoListener && !isExpected && this.#program === this.#laterProgram) {
				const told = this.#isToldToEnd ? ', after it was told to' : '';
				this.unexpectedEnds.push(`code ${code}, signal ${signal}, ${Math.round(age)} ms after its start${told}; last lines: ${tail.trim().replaceAll('\n', ' | ')}`);
			}

			this.#isToldToEnd = false;
			this.#program = this.#laterProgram;
			if (!this.#isStopped) {
				setTimeout(() => {
					void this.#spawnAgain();
				}, restartDelay);
			}
		});
	}
}
