/**
 * The real program as separate processes, started, signalled and ended by their ids.
 *
 * @module
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {settingsPathVariable} from '../platform/settings.js';
import {instanceSettingsDocument} from '../platform/stand-in/deployment.js';

/** Ports of all instances; each has an address of its own. */
export const ports = {callers: 18_080, readiness: 18_081, internal: 18_090};

/** Time in milliseconds after which an instance that ended is started again. */
const restartDelay = 300;

/** One instance and the process that runs it now. */
export class Instance {
	readonly name: string;
	readonly ip: string;
	readonly #folder: string;
	#process: ChildProcess | undefined;
	#isStopped = false;

	/** @param lane - Third number of the loopback addresses, so that runs beside each other do not meet. */
	constructor(number: number, lane: number, folder: string) {
		this.name = `instance-${number}`;
		this.ip = `127.0.${lane}.${number}`;
		this.#folder = folder;
	}

	/** Whether the process has not ended. */
	get isRunning(): boolean {
		return this.#process !== undefined;
	}

	/** Writes the settings and starts the process, now and after each end. @param store - Port of the store. */
	async start(store: number, seeds: readonly string[]): Promise<void> {
		const settings = path.join(this.#folder, `${this.name}.json`);
		await writeFile(settings, JSON.stringify(instanceSettingsDocument({
			name: this.name, ip: this.ip, ports, storePort: store, seeds,
		})));
		this.#spawn(settings);
	}

	signal(signal: NodeJS.Signals): void {
		this.#process?.kill(signal);
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

	#spawn(settings: string): void {
		const child = spawn(process.execPath, ['--max-old-space-size=160', 'dist/carobquay.cjs', 'front'], {
			env: {PATH: process.env.PATH, [settingsPathVariable]: settings}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(path.join(this.#folder, `${this.name}.log`), {flags: 'a'});
		child.stdout.pipe(log);
		child.stderr.pipe(log);
		this.#process = child;
		child.once('exit', () => {
			this.#process = undefined;
			if (!this.#isStopped) {
				setTimeout(() => {
					if (!this.#isStopped) {
						this.#spawn(settings);
					}
				}, restartDelay);
			}
		});
	}
}
