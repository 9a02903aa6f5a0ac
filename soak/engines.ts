/**
 * Stand-ins of the engines of a run, each behind a proxy, with their entries in the store.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {engineRowDocument, storeLocations} from '../platform/stand-in/deployment.js';
import {type ArrivedRequest, type EngineStatement, StandInEngine} from '../platform/stand-in/engine.js';
import type {StandInStore} from '../platform/stand-in/store.js';
import type {Run} from './checks.js';
import type {ColdSpan, EngineArrival} from './domain-checks.js';
import {EngineWork} from './engine-work.js';
import {Proxy} from './proxy.js';
import type {Arrival} from './statement-checks.js';
import type {Traffic} from './traffic.js';

/** One engine, which may be started again under its id. */
export type Engine = {
	id: string;
	service: string;
	domain: string;
	model: StandInEngine;
	port: number;
	proxy: Proxy;
	entryPort: number;
	born: number;
	state: 'ready' | 'draining';
	/** Port of what sends without end in its place; undefined while nothing does. */
	floodPort?: number | undefined;
};

/** Requests that crash engines, and what engines saw of them. */
export interface CrashingRequests {
	isPoisonous: (request: ArrivedRequest) => boolean;
	recordCrash: (request: ArrivedRequest) => void;
	recordArrival: (requestId: string) => void;
}

/** Time in milliseconds from the crash of an engine by a request until the engine is back. */
export const crashDuration = 1500;

/** What makes engines cold: times in milliseconds, and the number of requests in a second on which a cold one crashes. */
export type Coldness = {duration: number; limit: number};

/** Time in milliseconds within which instances know from a row that an engine has turned cold or has started; its requests count from then on. */
const rowSettlingTime = 1000;

/** Engines of one run. */
export class Engines {
	readonly runs: Run[] = [];
	readonly arrivals: Arrival[] = [];
	/** Requests and parts of split prefills, by the engines that work on them. */
	readonly domainArrivals: EngineArrival[] = [];
	readonly coldSpans: ColdSpan[] = [];
	/** Number of engines that sent something without end as their answer to a request, by its id. */
	readonly floodedRequests = new Map<string, number>();
	readonly work = new EngineWork();
	readonly #engines: Engine[] = [];
	readonly #store: StandInStore;
	readonly #traffic: Traffic;
	readonly #crashing: CrashingRequests;
	readonly #coldness: Coldness | undefined;
	/** All engines that were started, those that have been replaced included. */
	readonly #models: StandInEngine[] = [];
	#isStopped = false;

	/** @param coldness - Undefined for engines that are never cold. */
	constructor({store, traffic, crashing, coldness}: {store: StandInStore; traffic: Traffic; crashing: CrashingRequests; coldness: Coldness | undefined}) {
		this.#store = store;
		this.#traffic = traffic;
		this.#crashing = crashing;
		this.#coldness = coldness;
	}

	get proxies(): readonly Proxy[] {
		return this.#engines.map(({proxy}) => proxy);
	}

	get heldReservations(): number {
		const now = performance.now();
		return this.#engines.flatMap(({model}) => [...model.reservations.values()]).filter(ends => ends > now).length;
	}

	at(number: number): Engine {
		return this.#engines[number]!;
	}

	async start(id: string, service: string, domain: string): Promise<void> {
		const model = this.#model(id);
		const engine: Engine = {
			id, service, domain, model, port: await model.listen(), proxy: new Proxy(() => engine.floodPort ?? engine.port), entryPort: 0, born: Date.now(), state: 'ready',
		};
		engine.entryPort = await engine.proxy.listen();
		this.#engines.push(engine);
		this.enter(engine, 'ready');
	}

	enter(engine: Engine, state: 'ready' | 'draining'): void {
		engine.state = state;
		const {id, service, domain, entryPort, born, model} = engine;
		this.#store.put(storeLocations.engines, id, engineRowDocument({
			service, port: entryPort, state, startedAt: born, failureDomain: domain, coldRemaining: model.coldRemaining,
		}));
	}

	/** Engines of a failure domain. */
	inDomain(domain: string): Engine[] {
		return this.#engines.filter(engine => engine.domain === domain);
	}

	/** Lets a running engine turn cold, as its row says from now on. */
	turnCold(engine: Engine): void {
		this.#beginColdSpan(engine, 0);
		this.enter(engine, engine.state);
	}

	/** Writes the entries of all engines again. */
	enterAll(): void {
		for (const engine of this.#engines) {
			this.enter(engine, engine.state);
		}
	}

	async restart(engine: Engine, duration: number): Promise<void> {
		engine.model.crash();
		await sleep(duration);
		await this.#startAgain(engine);
	}

	/** Starts an engine anew under its id, while the requests of the one before end as usual. */
	async replace(engine: Engine): Promise<void> {
		engine.model.retire();
		await this.#startAgain(engine);
	}

	/** Records a request that ran at what takes the place of an engine. */
	recordFlood(run: Run, isEndless: boolean): void {
		this.runs.push(run);
		if (isEndless) {
			this.floodedRequests.set(run.requestId, (this.floodedRequests.get(run.requestId) ?? 0) + 1);
		}
	}

	/** Starts no engine again from now on. */
	stop(): void {
		this.#isStopped = true;
	}

	close(): void {
		for (const model of this.#models) {
			model.crash();
		}

		for (const {proxy} of this.#engines) {
			proxy.close();
		}
	}

	#model(id: string): StandInEngine {
		const start = this.#models.length;
		const model: StandInEngine = new StandInEngine({
			id, eventsPerStream: this.#traffic.events.greatest, countEvents: requestedEvents, eventInterval: this.#traffic.pace, idForm: this.#traffic.idForm,
			crashesOn: request => this.#crashing.isPoisonous(request),
			onCrash: request => {
				this.#crashing.recordCrash(request);
				void this.#restartCrashed(model);
			},
			onColdCrash: () => {
				void this.#restartCrashed(model);
			},
			recorder: {
				recordRun: run => {
					this.runs.push(run);
					this.work.begin(run.requestId);
				},
				recordEnd: ({requestId}) => {
					this.work.end(requestId);
				},
				recordArrival: (arrival: {engineId: string; requestId: string; statement: EngineStatement; helpers: readonly string[]}) => {
					this.#recordDomainArrivals(arrival);
					this.arrivals.push({...arrival, start, at: performance.now()});
					this.#crashing.recordArrival(arrival.requestId);
				},
			},
		});
		this.#models.push(model);
		return model;
	}

	/** Records a request at its engine, and its parts at the engines that it asks to prefill them. */
	#recordDomainArrivals({engineId, requestId, helpers}: {engineId: string; requestId: string; helpers: readonly string[]}): void {
		const record = ({id, domain, model}: Engine) => {
			this.domainArrivals.push({
				engineId: id, start: this.#models.indexOf(model), domain, requestId, at: performance.now(),
			});
		};

		const primary = this.#engines.find(({id}) => id === engineId);
		if (primary) {
			record(primary);
		}

		for (const helper of this.#engines.filter(({entryPort}) => helpers.includes(`127.0.0.1:${entryPort}`))) {
			record(helper);
			helper.model.countRequest();
		}
	}

	/** @param extension - Time in milliseconds for which the engine is cold beyond the usual time. */
	#beginColdSpan({id, model}: Engine, extension: number): void {
		if (this.#coldness) {
			const {duration, limit} = this.#coldness;
			const from = performance.now() + rowSettlingTime;
			const until = performance.now() + duration + extension;
			model.turnCold({from, until, limit});
			this.coldSpans.push({
				engineId: id, start: this.#models.indexOf(model), from, until,
			});
		}
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

	async #startAgain(engine: Engine): Promise<void> {
		engine.model = this.#model(engine.id);
		// Its requests count for as long as those of an engine whose start all instances know at once.
		this.#beginColdSpan(engine, rowSettlingTime);
		engine.port = await engine.model.listen();
		engine.born = Date.now();
		this.enter(engine, 'ready');
	}
}

/** Events that the last part of a path asks for. */
function requestedEvents(path: string): number | undefined {
	const count = Number(path.split('/').at(-1));
	return Number.isInteger(count) && count > 0 ? count : undefined;
}
