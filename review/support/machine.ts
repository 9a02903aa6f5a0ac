/**
 * A machine of class `front`: the process that the deploy file starts there, and starts again after each end.
 *
 * @module
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import fs from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {gracePeriod, type MachineSettings, settingsDocument} from './documents.js';

/** Time in milliseconds after which the platform starts an ended process again. */
const restartDelay = 300;

/** Time in milliseconds within which a machine answers whether it is ready. */
const readinessTimeout = 1000;

/** One machine. */
export class Machine {
	readonly name: string;
	readonly ip: string;
	/** Port for clients. */
	readonly front: number;
	/** How its process ended each time that it was not told to. */
	readonly ownEnds: string[] = [];
	readonly #settingsPath: string;
	readonly #logPath: string;
	readonly #readiness: number;
	#process: ChildProcess | undefined;
	#isToldToEnd = false;
	#isClosed = false;

	constructor(settings: MachineSettings, folder: string) {
		this.name = settings.name;
		this.ip = settings.ip;
		this.front = settings.ports.front;
		this.#readiness = settings.ports.readiness;
		this.#settingsPath = path.join(folder, `${settings.name}.json`);
		this.#logPath = path.join(folder, `${settings.name}.log`);
		fs.writeFileSync(this.#settingsPath, JSON.stringify(settingsDocument(settings)));
	}

	/** Lines of the process's output that tell of an exception. */
	get exceptions(): string[] {
		return fs.readFileSync(this.#logPath, 'utf8').split('\n').filter(line => /^\w*Error\b/v.test(line));
	}

	/** Starts the process with the command of the deploy file, and again after each end. */
	start(): void {
		const [, command] = /^run = "(.*)"$/mv.exec(fs.readFileSync('deploy/system.toml', 'utf8'))!;
		const [program, ...words] = command!.split(' ');
		const child = spawn(program === 'node' ? process.execPath : program!, words, {
			env: {PATH: process.env.PATH, HOME: process.env.HOME, CAROBQUAY_BOOT: this.#settingsPath},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = fs.createWriteStream(this.#logPath, {flags: 'a'});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		this.#process = child;
		this.#isToldToEnd = false;
		child.once('exit', (code, signal) => {
			this.#process = undefined;
			if (!this.#isClosed && !this.#isToldToEnd) {
				this.ownEnds.push(`code ${String(code)} signal ${String(signal)}`);
			}

			setTimeout(() => {
				if (!this.#isClosed) {
					this.start();
				}
			}, restartDelay);
		});
	}

	/** Sends SIGTERM, and SIGKILL when the grace period is over. */
	terminate(): void {
		const child = this.#process;
		this.#isToldToEnd = true;
		child?.kill('SIGTERM');
		setTimeout(() => {
			if (child?.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
			}
		}, gracePeriod).unref();
	}

	/** Sends a signal that does not end the process, or SIGKILL. */
	signal(signal: NodeJS.Signals): void {
		this.#isToldToEnd ||= signal === 'SIGKILL';
		this.#process?.kill(signal);
	}

	async isReady(): Promise<boolean> {
		return new Promise(resolve => {
			const request = http.get({
				host: this.ip,
				port: this.#readiness,
				path: '/api/readiness',
				agent: false,
				timeout: readinessTimeout,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(false);
			});
		});
	}

	/** Ends the process for good. */
	async close(): Promise<void> {
		this.#isClosed = true;
		const child = this.#process;
		if (child) {
			child.kill('SIGKILL');
			await once(child, 'exit');
		}
	}
}
