/**
 * One run of the soak: stand-ins, instances, callers and faults, from one seed.
 *
 * @module
 */
import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {match} from 'ts-pattern';
import {engineRowDocument, storeLocations} from '../platform/stand-in/deployment.js';
import {StandInEngine} from '../platform/stand-in/engine.js';
import {StandInStore, type StoreFault} from '../platform/stand-in/store.js';
import {
	call, type Call, closeCallers,
} from './callers.js';
import {brokenPromises, type FaultWindow, type Run} from './checks.js';
import {PoisonCallers} from './poison-callers.js';
import {poisonProblems} from './poison-checks.js';
import {brokenStatements, type Arrival} from './statement-checks.js';
import {
	drawFaults, type Fault, isBorneBefore, isOddInput, isPlanned, type SoakSize,
} from './faults.js';
import {Instance} from './instances.js';
import {cutSources, strikeLink} from './link-faults.js';
import {leaveEntry, sendHeads} from './odd-input.js';
import {Operator} from './operator.js';
import {drawPlannedWork, silenceEngines} from './planned-work.js';
import {Proxy} from './proxy.js';
import {plannedTraffic, type Traffic, usualTraffic} from './traffic.js';
import {EngineWork} from './engine-work.js';

/** What a run is made of. */
export type SoakOptions = SoakSize & {
	seed: number;
	/** In milliseconds. */
	duration: number;
	/** Requests a second. */
	rate: number;
	/** Whether there is planned work and silence of engines alone. */
	isPlanned: boolean;
	/** Whether logs are kept where nothing broke. */
	keepLogs: boolean;
	/** Program of another build that the first processes run; undefined for the current one. */
	programBefore: string | undefined;
};

/** How a run went. */
export type SoakResult = {problems: string[]; calls: number; served: number; logs: string | undefined; faults: readonly Fault[]};

/** Loopback networks of runs, by their seeds. */
const firstLane = 10;
const lanes = 200;

/** Time in milliseconds after the last request in which memory comes back, by the platform's bound. */
const releaseTime = 4000;

type Engine = {
	id: string;
	service: string;
	model: StandInEngine;
	port: number;
	proxy: Proxy;
	entryPort: number;
	born: number;
	state: 'ready' | 'draining';
};

/** Time in milliseconds for which an engine that leaves, or limits its requests, goes on beyond the duration of its fault, so that its statement takes effect. */
const statementTime = 6000;

/** Time in milliseconds for which the store is away before it comes back from a copy, and after which the others write again what it lost. */
const copyOutage = 300;
const rewriteDelay = 700;

/** Time in milliseconds from the crash of an engine by a request until the engine is back. */
const crashDuration = 1500;

/** Runs one seed. */
export class SoakRun {
	readonly #options: SoakOptions;
	readonly #store = new StandInStore();
	readonly #operator: Operator;
	readonly #traffic: Traffic;
	readonly #work = new EngineWork();
	readonly #engines: Engine[] = [];
	readonly #storeLinks: Proxy[] = [];
	readonly #runs: Run[] = [];
	readonly #arrivals: Arrival[] = [];
	readonly #windows: FaultWindow[] = [];
	readonly #poisonCallers: PoisonCallers;
	#isStopped = false;
	readonly #calls: Array<Promise<Call>> = [];
	#instances: Instance[] = [];
	#isAdded = false;
	/** All engines that were started, those that have been replaced included. */
	readonly #models: StandInEngine[] = [];

	constructor(options: SoakOptions) {
		this.#options = options;
		this.#poisonCallers = new PoisonCallers(options.seed);
		this.#traffic = options.isPlanned ? plannedTraffic : usualTraffic;
		this.#operator = new Operator(this.#store, this.#traffic.requestTimeout);
	}

	async run(): Promise<SoakResult> {
		const {seed, duration, keepLogs, programBefore, isPlanned: isPlannedRun} = this.#options;
		const folder = await mkdtemp(path.join(os.tmpdir(), `carobquay-soak-${seed}-`));
		const generator = xoroshiro128plus(seed);
		const faults = (isPlannedRun ? drawPlannedWork : drawFaults)(generator, duration, this.#options).filter(fault => programBefore === undefined || isBorneBefore(fault));
		let problems = ['the run did not end'];
		try {
			await this.#start(folder);
			const begunAt = performance.now();
			const playing = Promise.all(faults.map(async fault => this.#playFault(fault)));
			await this.#callFor(duration, number => uniformInt(generator, 0, number - 1), begunAt);
			await playing;
			const calls = await Promise.all(this.#calls);
			await sleep(releaseTime);
			problems = [
				...brokenPromises({
					calls, isPlannedRun, runs: this.#runs, windows: this.#windows, events: this.#traffic.events, heldReservations: this.#heldReservations(), routeAddedAt: this.#operator.routeAddedAt,
					workEnds: this.#work.ends, stops: new Map(this.#instances.map(({name, stops}) => [name, stops])), requestTimeouts: this.#operator.requestTimeouts,
				}),
				...poisonProblems(this.#poisonCallers.poisons, this.#windows),
				...this.#instances.flatMap(({name, unexpectedEnds}) => unexpectedEnds.map(end => `the process of ${name} ended by itself: ${end}`)),
				...brokenStatements({calls, arrivals: this.#arrivals, windows: this.#windows}),
			];
			return {
				problems, calls: calls.length, served: calls.filter(({status, whole}) => status === 200 && whole).length,
				logs: problems.length > 0 || keepLogs ? folder : undefined, faults,
			};
		} finally {
			await this.#stop();
			if (problems.length === 0 && !keepLogs) {
				await rm(folder, {recursive: true, force: true});
			}
		}
	}

	async #start(folder: string): Promise<void> {
		const {instances, engines, programBefore} = this.#options;
		const storePort = await this.#store.listen();
		for (let number = 0; number < engines; number++) {
			await this.#startEngine(`engine-${number}`, number % 3 === 2 ? 'plain' : 'model'); // eslint-disable-line no-await-in-loop
		}

		this.#operator.write();
		this.#store.put(storeLocations.engines, 'foreign', 'no entry of an engine');
		this.#instances = Array.from({length: instances}, (_, number) => new Instance({
			number: number + 1, lane: firstLane + (this.#options.seed % lanes), folder, programBefore,
		}));
		const seeds = this.#instances.slice(0, 2).map(({ip}) => ip);
		for (const instance of this.#instances) {
			const link = new Proxy(() => storePort);
			this.#storeLinks.push(link);
			await instance.start(await link.listen(), seeds); // eslint-disable-line no-await-in-loop
		}

		await Promise.all(this.#instances.map(async instance => instance.untilServing()));
	}

	async #startEngine(id: string, service: string): Promise<void> {
		const model = this.#model(id);
		const engine: Engine = {
			id, service, model, port: await model.listen(), proxy: new Proxy(() => engine.port), entryPort: 0, born: Date.now(), state: 'ready',
		};
		engine.entryPort = await engine.proxy.listen();
		this.#engines.push(engine);
		this.#enter(engine, 'ready');
	}

	#model(id: string): StandInEngine {
		const start = this.#models.length;
		const model: StandInEngine = new StandInEngine({
			id, eventsPerStream: this.#traffic.events, eventInterval: this.#traffic.pace,
			crashesOn: request => this.#poisonCallers.isPoisonous(request),
			onCrash: request => {
				this.#poisonCallers.recordCrash(request);
				void this.#restartCrashed(model);
			},
			recorder: {
				recordRun: run => {
					this.#runs.push(run);
					this.#work.begin(run.requestId);
				},
				recordEnd: ({requestId}) => {
					this.#work.end(requestId);
				},
				recordArrival: arrival => {
					this.#arrivals.push({...arrival, start, at: performance.now()});
					this.#poisonCallers.recordArrival(arrival.requestId);
				},
			},
		});
		this.#models.push(model);
		return model;
	}

	#enter(engine: Engine, state: 'ready' | 'draining'): void {
		engine.state = state;
		const {id, service, entryPort, born} = engine;
		this.#store.put(storeLocations.engines, id, engineRowDocument({
			service, port: entryPort, state, startedAt: born,
		}));
	}

	async #callFor(duration: number, number: (below: number) => number, begunAt: number): Promise<void> {
		const {rate, seed} = this.#options;
		for (let count = 0; performance.now() - begunAt < duration; count++) {
			const kind = this.#traffic.kinds[number(this.#traffic.kinds.length)]!;
			if (kind !== 'added' || this.#isAdded) {
				this.#calls.push(call(kind, `${seed}-${count}`, this.#instances[number(this.#instances.length)]!, {deadline: this.#traffic.deadline}));
			}

			await sleep(1000 / (rate * this.#traffic.rateShare)); // eslint-disable-line no-await-in-loop
		}
	}

	async #playFault(fault: Fault): Promise<void> {
		await sleep(fault.at);
		const window: FaultWindow = {
			name: fault.kind, instance: 'instance' in fault ? this.#instances[fault.instance]!.name : undefined,
			isPlanned: isPlanned(fault), from: performance.now(), until: Number.POSITIVE_INFINITY,
		};
		// Odd input changes nothing for others, so that requests beside it are calm.
		if (!isOddInput(fault)) {
			this.#windows.push(window);
		}

		await this.#strike(fault);
		window.until = performance.now();
	}

	async #strike(fault: Fault): Promise<void> {
		await match(fault)
			.with({kind: 'kill'}, async ({instance, duration}) => this.#signal(instance, 'SIGKILL', duration))
			.with({kind: 'terminate'}, {kind: 'reload'}, async ({kind, instance, duration}) => this.#signal(instance, kind === 'reload' ? 'SIGHUP' : 'SIGTERM', duration))
			.with({kind: 'pause'}, async ({instance, duration}) => {
				await this.#signal(instance, 'SIGSTOP', duration);
				this.#instances[instance]!.signal('SIGCONT');
			})
			.with({kind: 'store'}, async ({fault: kind, duration}) => {
				this.#store.fault = kind;
				await sleep(duration);
				this.#store.fault = 'none';
			})
			.with({kind: 'store-delay'}, async ({duration}) => {
				this.#store.delay = 250;
				await sleep(duration);
				this.#store.delay = 0;
			})
			.with({kind: 'forget-history'}, async () => {
				this.#store.dropHistory();
			})
			.with({kind: 'configure'}, async ({duration}) => {
				this.#operator.addRoute();
				await sleep(duration);
				this.#isAdded = true;
			})
			.with({kind: 'reconfigure'}, async ({change, duration}) => {
				this.#operator.change(change);
				await sleep(duration);
			})
			.with({kind: 'silence'}, async ({engines, duration}) => silenceEngines(engines.map(engine => this.#engines[engine]!.model), duration))
			.with({kind: 'store-link'}, async ({instance, fault: kind, duration}) => strikeLink(this.#storeLinks[instance]!, kind, duration))
			.with({kind: 'engine-link'}, async ({engine, fault: kind, duration}) => strikeLink(this.#engines[engine]!.proxy, kind, duration))
			.with({kind: 'instances-cut'}, async ({instances, cut, duration}) => {
				const addresses = instances.map(instance => this.#instances[instance]!.ip);
				await cutSources(this.#engines.map(({proxy}) => proxy), addresses, cut, duration);
			})
			.with({kind: 'engine'}, async ({engine, fault: kind, duration}) => {
				const {model} = this.#engines[engine]!;
				model.fault = kind;
				await sleep(duration);
				model.fault = 'none';
			})
			.with({kind: 'engine-restart'}, async ({engine, duration}) => this.#restart(this.#engines[engine]!, duration))
			.with({kind: 'engine-drain'}, async ({engine, duration}) => {
				const drained = this.#engines[engine]!;
				this.#enter(drained, 'draining');
				await sleep(duration + 500);
				await this.#replace(drained);
			})
			.with({kind: 'engine-leave'}, async ({engine, duration}) => {
				const leaver = this.#engines[engine]!;
				leaver.model.isLeaving = true;
				await sleep(duration + statementTime);
				await this.#replace(leaver);
			})
			.with({kind: 'engine-pause'}, async ({engine, duration}) => {
				const {model} = this.#engines[engine]!;
				model.fault = 'shed';
				model.retryAfter = String(duration / 1000);
				await sleep(duration);
				model.fault = 'none';
				model.retryAfter = undefined;
			})
			.with({kind: 'engine-limit'}, async ({engine, duration, limit}) => {
				const {model} = this.#engines[engine]!;
				model.requestLimit = limit;
				await sleep(duration + statementTime);
				model.requestLimit = undefined;
			})
			.with({kind: 'poison'}, async ({poison, duration}) => {
				await this.#poisonCallers.send(poison, duration + statementTime, this.#instances);
				await sleep(crashDuration);
			})
			.with({kind: 'odd-entry'}, async ({entry, duration}) => leaveEntry(this.#store, entry, duration))
			.with({kind: 'odd-head'}, async ({instance, head, duration}) => sendHeads(this.#instances[instance]!, head, duration))
			.with({kind: 'store-copy'}, async ({fault: kind, duration}) => this.#restoreStore(kind, duration))
			.exhaustive();
	}

	/** Lets the store come back from a copy; the operator and the engines then write again what it lost. */
	async #restoreStore(fault: StoreFault, age: number): Promise<void> {
		const copy = this.#store.takeCopy();
		await sleep(age);
		this.#store.fault = fault;
		await sleep(copyOutage);
		this.#store.restore(copy);
		this.#store.fault = 'none';
		await sleep(rewriteDelay);
		this.#operator.write();
		for (const engine of this.#engines) {
			this.#enter(engine, engine.state);
		}
	}

	/** The span lasts until a process that was told to end runs again. */
	async #signal(number: number, signal: NodeJS.Signals, duration: number): Promise<void> {
		const instance = this.#instances[number]!;
		instance.signal(signal);
		await sleep(duration);
		while (!instance.isRunning) {
			await sleep(50); // eslint-disable-line no-await-in-loop
		}

		await sleep(signal === 'SIGTERM' ? 4000 : 500);
	}

	/** Starts an engine again that a request has crashed; its port refuses connections until then. */
	async #restartCrashed(model: StandInEngine): Promise<void> {
		const engine = this.#engines.find(candidate => candidate.model === model);
		if (!engine) {
			return;
		}

		engine.proxy.suspend();
		await sleep(crashDuration);
		await engine.proxy.resume(engine.entryPort);
		if (!this.#isStopped) {
			await this.#startAgain(engine);
		}
	}

	async #restart(engine: Engine, duration: number): Promise<void> {
		engine.model.crash();
		await sleep(duration);
		await this.#startAgain(engine);
	}

	/** Starts an engine anew under its id, while the requests of the one before end as usual. */
	async #replace(engine: Engine): Promise<void> {
		engine.model.retire();
		await this.#startAgain(engine);
	}

	async #startAgain(engine: Engine): Promise<void> {
		engine.model = this.#model(engine.id);
		engine.port = await engine.model.listen();
		engine.born = Date.now();
		this.#enter(engine, 'ready');
	}

	#heldReservations(): number {
		const now = performance.now();
		return this.#engines.flatMap(({model}) => [...model.reservations.values()]).filter(ends => ends > now).length;
	}

	async #stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#instances.map(async instance => instance.stop()));
		closeCallers();
		this.#store.close();
		for (const model of this.#models) {
			model.crash();
		}

		for (const {proxy} of this.#engines) {
			proxy.close();
		}

		for (const link of this.#storeLinks) {
			link.close();
		}
	}
}
