/**
 * A small deployment on loopback addresses: the platform's store, engines that write their entries at each heartbeat, and instances.
 *
 * @module
 */
import {mkdtemp, rm} from 'node:fs/promises';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {type configurationDocument, engineRowDocument, storeLocations} from '../../platform/stand-in/deployment.js';
import {StandInEngine} from '../../platform/stand-in/engine.js';
import {StandInStore} from '../../platform/stand-in/store.js';
import {Instance} from './instance.js';
import {Recording, type Verdict} from './recording.js';

/** Time in milliseconds between two writes of an engine to the store. */
export const heartbeat = 1200;

/** Loopback networks from which a run draws its own. */
const firstLane = 10;
const lanes = 240;

/** Longest time in milliseconds of a run. */
const timeLimit = 110_000;

/** A request that has reached an engine. */
export type Arrival = {engine: string; request: string; at: number};

/** What the operator writes. */
export type OperatorDocument = ReturnType<typeof configurationDocument>;

/** One engine, which writes its entry to the store at each heartbeat. */
export class Engine {
	readonly id: string;
	readonly #store: StandInStore;
	readonly #service: string;
	readonly #model: StandInEngine;
	readonly #born = Date.now();
	#port = 0;
	#state: 'ready' | 'draining' = 'ready';
	#timer: NodeJS.Timeout | undefined;
	#writeWaiters: Array<() => void> = [];

	constructor(store: StandInStore, id: string, service: string, onArrival: (arrival: Arrival) => void) {
		this.id = id;
		this.#store = store;
		this.#service = service;
		this.#model = new StandInEngine({
			id, eventsPerStream: 10, eventInterval: 20, recorder: {
				recordArrival({requestId}) {
					onArrival({engine: id, request: requestId, at: performance.now()});
				},
				recordRun: () => undefined,
			},
		});
	}

	/** The entry that the engine writes. */
	get entry(): Record<string, unknown> {
		return engineRowDocument({
			service: this.#service, port: this.#port, state: this.#state, startedAt: this.#born, failureDomain: 'tartu-a',
		});
	}

	async start(): Promise<void> {
		this.#port = await this.#model.listen();
		this.#write();
		this.#timer = setInterval(() => {
			this.#write();
		}, heartbeat);
	}

	/** Reports that it leaves. It goes on serving. */
	drain(): void {
		this.#state = 'draining';
		this.#write();
	}

	/** Resolves when it has written its entry the next time. */
	async nextWrite(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#writeWaiters.push(resolve);
		});
	}

	stop(): void {
		clearInterval(this.#timer);
		this.#model.crash();
	}

	#write(): void {
		this.#store.put(storeLocations.engines, this.id, this.entry);
		const waiters = this.#writeWaiters;
		this.#writeWaiters = [];
		for (const resolve of waiters) {
			resolve();
		}
	}
}

/** An address at which the platform's store can be reached. */
export class StoreAddress {
	readonly #target: number;
	readonly #sockets = new Set<net.Socket>();
	readonly #server = net.createServer(near => {
		const far = net.connect({host: '127.0.0.1', port: this.#target});
		for (const [from, to] of [[near, far], [far, near]] as const) {
			this.#sockets.add(from);
			from.pipe(to);
			from.on('error', () => undefined);
			from.once('close', () => {
				this.#sockets.delete(from);
				to.destroy();
			});
		}
	});

	/** @param target - Port of the store. */
	constructor(target: number) {
		this.#target = target;
	}

	/** @returns its port. */
	async open(): Promise<number> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		const address = this.#server.address();
		return typeof address === 'object' && address !== null ? address.port : 0;
	}

	/** Refuses connections from now on and closes those that are open. */
	close(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}
}

/** A deployment that runs. */
export class Deployment {
	readonly store = new StandInStore();
	readonly arrivals: Arrival[] = [];
	readonly engines: Engine[] = [];
	readonly instances: Instance[] = [];
	readonly addresses: StoreAddress[] = [];
	readonly recording: Recording;
	readonly #lane = firstLane + (process.pid % lanes);
	#storePort = 0;
	#folder = '';

	constructor(recording: Recording) {
		this.recording = recording;
	}

	/** A loopback address of this run. @param number - Up to 100 for instances. */
	ip(number: number): string {
		return `127.61.${this.#lane}.${number}`;
	}

	/** Starts the store with a configuration, the engines, and the instances. @param services - Service of each engine, by its id. @param gracePeriod - In seconds. */
	async start(configuration: OperatorDocument, services: Readonly<Record<string, string>>, instanceCount: number, gracePeriod?: number): Promise<void> {
		this.#folder = await mkdtemp(path.join(os.tmpdir(), 'carobquay-review-'));
		this.#storePort = await this.store.listen();
		this.configure(configuration);
		for (const [id, service] of Object.entries(services)) {
			const engine = new Engine(this.store, id, service, arrival => {
				this.arrivals.push(arrival);
				this.recording.add(`request ${arrival.request} reaches engine ${arrival.engine}`);
			});
			this.engines.push(engine);
			await engine.start(); // eslint-disable-line no-await-in-loop
		}

		const storePort = await this.openStoreAddress();
		const ips = Array.from({length: instanceCount}, (_, index) => this.ip(index + 1));
		for (const [index, ip] of ips.entries()) {
			this.instances.push(new Instance({
				name: `front-${index + 1}`, ip, seeds: ips, storePort, folder: this.#folder, ...(gracePeriod !== undefined && {gracePeriod}),
			}));
		}

		await Promise.all(this.instances.map(async instance => instance.start()));
	}

	/** Writes a configuration. The store has acknowledged it when this returns. */
	configure(configuration: OperatorDocument): void {
		this.store.put(storeLocations.configuration.table, storeLocations.configuration.key, configuration);
		this.recording.add(`the store acknowledges configuration ${configuration.version}`);
	}

	/** Opens one more address of the store. @returns its port. */
	async openStoreAddress(): Promise<number> {
		const address = new StoreAddress(this.#storePort);
		this.addresses.push(address);
		return address.open();
	}

	/** Ends everything that was started. */
	async stop(): Promise<void> {
		await Promise.all(this.instances.map(async instance => instance.kill()));
		for (const engine of this.engines) {
			engine.stop();
		}

		for (const address of this.addresses) {
			address.close();
		}

		this.store.close();
		await rm(this.#folder, {recursive: true, force: true});
	}
}

/** Plays one case and ends the process with its exit code. @param play - Returns the verdict with its reason. */
export async function playCase(folder: string, play: (deployment: Deployment, hasTrouble: boolean) => Promise<{verdict: Verdict; reason: string}>): Promise<never> {
	const recording = new Recording(path.join(folder, 'record.txt'));
	const deployment = new Deployment(recording);
	const hasTrouble = process.env.TROUBLE !== '0';
	const overdue = new Promise<{verdict: Verdict; reason: string}>(resolve => {
		setTimeout(() => {
			resolve({verdict: 'failed', reason: 'the run took too long'});
		}, timeLimit).unref();
	});
	// A fault of the case itself is no verdict on the program.
	process.on('uncaughtException', error => {
		void deployment.stop().finally(() => {
			process.exit(recording.end('failed', String(error)));
		});
	});
	// Whoever ends the case ends its processes as well.
	for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
		process.once(signal, () => {
			void deployment.stop().finally(() => {
				process.exit(recording.end('failed', `ended by ${signal}`));
			});
		});
	}

	process.once('exit', () => {
		for (const instance of deployment.instances) {
			instance.signal('SIGKILL');
		}
	});
	let outcome: {verdict: Verdict; reason: string};
	try {
		outcome = await Promise.race([play(deployment, hasTrouble), overdue]);
	} catch (error) {
		outcome = {verdict: 'failed', reason: String(error)};
	}

	await deployment.stop();
	process.exit(recording.end(outcome.verdict, outcome.reason)); // eslint-disable-line unicorn/no-process-exit
}
