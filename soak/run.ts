/**
 * One run of the soak: stand-ins, instances, callers and faults, from one seed.
 *
 * @module
 */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {match} from 'ts-pattern';
import {storeLocations} from '../platform/stand-in/deployment.js';
import {idForms} from '../platform/stand-in/events.js';
import {StandInStore, type StoreFault} from '../platform/stand-in/store.js';
import {
	call, type Call, closeCallers,
} from './callers.js';
import {brokenPromises, type FaultWindow} from './checks.js';
import {crashDuration, type Engine, Engines} from './engines.js';
import {PoisonCallers} from './poison-callers.js';
import {poisonProblems} from './poison-checks.js';
import {PlannedCallers} from './planned-callers.js';
import {type PlannedFigures, plannedFigures} from './planned-figures.js';
import {StallWatch} from './stalls.js';
import {brokenStatements} from './statement-checks.js';
import {coldProblems, type ColdSpan, evacuationProblems} from './domain-checks.js';
import {
	type ColdCause, domainCount, domainOf, type Fault, isOddInput, isPlanned,
} from './faults.js';
import {maximumBodyBytes} from './caller-floods.js';
import {type FloodFault, isFloodFault} from './flood-faults.js';
import {type FloodFigures, Floods} from './floods.js';
import {type DrawOptions, drawRun} from './draws.js';
import {Instance} from './instances.js';
import {cutSources, strikeLink} from './link-faults.js';
import {leaveEntry, sendHeads} from './odd-input.js';
import {Operator} from './operator.js';
import {silenceEngines} from './planned-work.js';
import {Proxy} from './proxy.js';
import {plannedTraffic, type Traffic, usualTraffic} from './traffic.js';

/** What a run is made of. */
export type SoakOptions = DrawOptions & {
	seed: number;
	/** Requests a second. */
	rate: number;
	/** Callers beside planned work, each with a connection of its own. */
	callers: number;
	/** Whether routes have different ranks. */
	hasRanks: boolean;
	/** Whether the events of streams have ids of another form with each seed. */
	hasVariedIds: boolean;
	/** Whether logs are kept where nothing broke. */
	keepLogs: boolean;
	/** Third number of the instances' loopback addresses; undefined for the one that follows from the seed. */
	lane: number | undefined;
	/** Program that the processes run. */
	program: string;
};

/** How a run went. */
export type SoakResult = {
	problems: string[]; calls: number; served: number; logs: string | undefined;
	faults: ReadonlyArray<Fault | FloodFault>; planned: PlannedFigures | undefined; floods: FloodFigures | undefined;
};

/** Loopback networks of runs, by their seeds. */
const firstLane = 10;
const lanes = 200;

/** Time in milliseconds after the last request in which memory comes back, by the platform's bound. */
const releaseTime = 4000;

/** Time in milliseconds for which an engine that leaves, or limits its requests, goes on beyond the duration of its fault, so that its statement takes effect. */
const statementTime = 6000;

/** What cold engines tolerate, little enough for a usual run to exceed it, and limits of evacuations and cold engines in the settings. */
const coldStart = {requestsPerSecond: 4, duration: 4000};
const scarcityLimits = {evacuation: 5000, coldExcess: 1.5, coldSlack: 2};
const coldLimit = (coldStart.requestsPerSecond * scarcityLimits.coldExcess) + scarcityLimits.coldSlack;

/** Names of the failure domains. */
const domains = ['a', 'b', 'c'];

/** Time in milliseconds for which the store is away before it comes back from a copy, and after which the others write again what it lost. */
const copyOutage = 300;
const rewriteDelay = 700;

/** A cold engine may crash, and is away then, also beyond the fault that has made it cold. */
function coldWindowOf({from, until}: ColdSpan): FaultWindow {
	return {
		name: 'cold', instance: undefined, isPlanned: false, from, until: until + crashDuration,
	};
}

/** Runs one seed. */
export class SoakRun {
	readonly #options: SoakOptions;
	readonly #store = new StandInStore();
	readonly #operator: Operator;
	readonly #traffic: Traffic;
	readonly #engines: Engines;
	readonly #stallWatch = new StallWatch();
	readonly #storeLinks: Proxy[] = [];
	readonly #windows: FaultWindow[] = [];
	readonly #poisonCallers: PoisonCallers;
	readonly #floods: Floods;
	readonly #calls: Array<Promise<Call>> = [];
	#instances: Instance[] = [];
	#isAdded = false;

	constructor(options: SoakOptions) {
		this.#options = options;
		this.#poisonCallers = new PoisonCallers(options.seed);
		this.#traffic = {
			...(options.isPlanned ? plannedTraffic : usualTraffic),
			...(options.hasVariedIds && {idForm: idForms[options.seed % idForms.length]!}),
		};
		this.#operator = new Operator(this.#store, this.#traffic.requestTimeout, {
			hasRanks: options.hasRanks, coldStart: options.hasColdEngines ? coldStart : undefined, ...(options.hasFloods && {maximumBodyBytes, hasFloodCustomer: true}),
		});
		this.#engines = new Engines({
			store: this.#store, traffic: this.#traffic, crashing: this.#poisonCallers, coldness: options.hasColdEngines ? {duration: coldStart.duration, limit: coldLimit} : undefined,
		});
		this.#floods = new Floods({
			seed: options.seed, engines: this.#engines, storeLinks: this.#storeLinks, events: this.#traffic.events.greatest,
		});
	}

	async run(): Promise<SoakResult> {
		const {seed, duration, keepLogs, isPlanned: isPlannedRun} = this.#options;
		const folder = await mkdtemp(path.join(os.tmpdir(), `carobquay-soak-${seed}-`));
		const generator = xoroshiro128plus(seed);
		const faults = drawRun(generator, this.#options);
		let problems = ['the run did not end'];
		try {
			await this.#start(folder);
			const plannedCallers = new PlannedCallers({seed, instances: this.#instances, traffic: this.#traffic});
			this.#stallWatch.start();
			if (this.#options.hasFloods) {
				this.#floods.start(this.#instances);
			}

			const begunAt = performance.now();
			const playing = Promise.all(faults.map(async fault => this.#playFault(fault)));
			await (isPlannedRun ? plannedCallers.run(this.#options.callers, duration) : this.#callFor(duration, number => uniformInt(generator, 0, number - 1), begunAt));
			await playing;
			const calls = [...await Promise.all(this.#calls), ...plannedCallers.calls];
			await sleep(releaseTime);
			const {runs, arrivals, domainArrivals, coldSpans, work: {ends: workEnds}, heldReservations, floodedRequests} = this.#engines;
			const evidence = {
				calls, isPlannedRun, runs, windows: [...this.#windows, ...coldSpans.map(span => coldWindowOf(span))],
				events: this.#traffic.events.greatest, idForm: this.#traffic.idForm, heldReservations, routeAddedAt: this.#operator.routeAddedAt,
				workEnds, stops: new Map(this.#instances.map(({name, stops}) => [name, stops])), routeTimeouts: this.#operator.routeTimeouts, stalls: this.#stallWatch.stalls, floodedRequests,
			};
			problems = [
				...brokenPromises(evidence),
				...poisonProblems(this.#poisonCallers.poisons, this.#windows),
				...this.#instances.flatMap(({name, unexpectedEnds}) => unexpectedEnds.map(end => `the process of ${name} ended by itself: ${end}`)),
				...brokenStatements({
					calls, arrivals, windows: evidence.windows, starts: new Map(this.#instances.map(({name, starts}) => [name, starts])),
				}),
				...plannedCallers.strayAnswers,
				...evacuationProblems({arrivals: domainArrivals, evacuations: this.#operator.evacuations, limit: scarcityLimits.evacuation}),
				...this.#options.hasFloods ? this.#floods.problems(evidence) : [],
				...coldProblems({arrivals: domainArrivals, spans: coldSpans, limit: coldLimit}),
			];
			const kills = this.#instances.reduce((sum, instance) => sum + instance.kills, 0);
			const planned = isPlannedRun ? plannedFigures(evidence, {kills, pace: this.#traffic.pace}) : undefined;
			if (planned) {
				await writeFile(path.join(folder, 'cut-requests.json'), planned.cutRequests.map(request => `${JSON.stringify(request)}\n`).join(''));
				await writeFile(path.join(folder, 'problems.txt'), problems.map(problem => `${problem}\n`).join(''));
			}

			return {
				problems, calls: calls.length, served: calls.filter(({status, whole}) => status === 200 && whole).length,
				logs: problems.length > 0 || keepLogs ? folder : undefined, faults, planned, floods: this.#options.hasFloods ? this.#floods.figures(evidence) : undefined,
			};
		} finally {
			await this.#stop();
			if (problems.length === 0 && !keepLogs) {
				await rm(folder, {recursive: true, force: true});
			}
		}
	}

	/** Whether the run has evacuations or cold engines, and so failure domains. */
	get #hasScarcity(): boolean {
		return this.#options.hasEvacuations || this.#options.hasColdEngines;
	}

	async #start(folder: string): Promise<void> {
		const {instances, engines, program, programBefore} = this.#options;
		const storePort = await this.#store.listen();
		for (let number = 0; number < engines; number++) {
			await this.#engines.start(`engine-${number}`, number % 3 === 2 ? 'plain' : 'model', this.#hasScarcity ? domains[domainOf(number, engines)]! : domains[0]!); // eslint-disable-line no-await-in-loop
		}

		this.#operator.write();
		this.#store.put(storeLocations.engines, 'foreign', 'no entry of an engine');
		this.#instances = Array.from({length: instances}, (_, number) => new Instance({
			number: number + 1, lane: this.#options.lane ?? firstLane + (this.#options.seed % lanes), folder, program, programBefore,
			failureDomain: domains[this.#hasScarcity ? number % domainCount(engines) : 0]!, limits: this.#hasScarcity ? scarcityLimits : undefined, isDeployed: this.#options.hasFloods,
		}));
		const seeds = this.#instances.slice(0, 2).map(({ip}) => ip);
		for (const instance of this.#instances) {
			const link = new Proxy(() => this.#floods.storePort ?? storePort);
			this.#storeLinks.push(link);
			await instance.start(await link.listen(), seeds); // eslint-disable-line no-await-in-loop
		}

		await Promise.all(this.#instances.map(async instance => instance.untilServing()));
	}

	async #callFor(duration: number, number: (below: number) => number, begunAt: number): Promise<void> {
		const {rate, seed} = this.#options;
		for (let count = 0; performance.now() - begunAt < duration; count++) {
			const kind = this.#traffic.kinds[number(this.#traffic.kinds.length)]!;
			if (kind !== 'added' || this.#isAdded) {
				this.#calls.push(call(kind, `${seed}-${count}`, this.#instances[number(this.#instances.length)]!, {deadline: this.#traffic.deadline}));
			}

			await sleep(1000 / rate); // eslint-disable-line no-await-in-loop
		}
	}

	async #playFault(fault: Fault | FloodFault): Promise<void> {
		await sleep(fault.at);
		const window: FaultWindow = {
			name: fault.kind, instance: 'instance' in fault ? this.#instances[fault.instance]!.name : undefined,
			isPlanned: !isFloodFault(fault) && isPlanned(fault), from: performance.now(), until: Number.POSITIVE_INFINITY,
		};
		// Odd input changes nothing for others, so that requests beside it are calm.
		if (isFloodFault(fault) || !isOddInput(fault)) {
			this.#windows.push(window);
		}

		await (isFloodFault(fault) ? this.#floods.play(fault) : this.#strike(fault));
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
			.with({kind: 'silence'}, async ({engines, duration}) => silenceEngines(engines.map(engine => this.#engines.at(engine).model), duration))
			.with({kind: 'store-link'}, async ({instance, fault: kind, duration}) => strikeLink(this.#storeLinks[instance]!, kind, duration))
			.with({kind: 'engine-link'}, async ({engine, fault: kind, duration}) => strikeLink(this.#engines.at(engine).proxy, kind, duration))
			.with({kind: 'instances-cut'}, async ({instances, cut, duration}) => {
				const addresses = instances.map(instance => this.#instances[instance]!.ip);
				await cutSources(this.#engines.proxies, addresses, cut, duration);
			})
			.with({kind: 'engine'}, async ({engine, fault: kind, duration}) => {
				const {model} = this.#engines.at(engine);
				model.fault = kind;
				await sleep(duration);
				model.fault = 'none';
			})
			.with({kind: 'engine-restart'}, async ({engine, duration}) => this.#engines.restart(this.#engines.at(engine), duration))
			.with({kind: 'engine-drain'}, async ({engine, duration}) => {
				const drained = this.#engines.at(engine);
				this.#engines.enter(drained, 'draining');
				await sleep(duration + 500);
				await this.#engines.replace(drained);
			})
			.with({kind: 'engine-leave'}, async ({engine, duration}) => {
				const leaver = this.#engines.at(engine);
				leaver.model.isLeaving = true;
				await sleep(duration + statementTime);
				await this.#engines.replace(leaver);
			})
			.with({kind: 'engine-pause'}, async ({engine, duration}) => {
				const {model} = this.#engines.at(engine);
				model.fault = 'shed';
				model.retryAfter = String(duration / 1000);
				await sleep(duration);
				model.fault = 'none';
				model.retryAfter = undefined;
			})
			.with({kind: 'engine-limit'}, async ({engine, duration, limit}) => {
				const {model} = this.#engines.at(engine);
				model.requestLimit = limit;
				await sleep(duration + statementTime);
				model.requestLimit = undefined;
			})
			.with({kind: 'poison'}, async ({poison, duration}) => {
				await this.#poisonCallers.send(poison, duration + statementTime, this.#instances);
				await sleep(crashDuration);
			})
			.with({kind: 'evacuate'}, async ({domain, duration}) => this.#evacuate(domains[domain]!, duration))
			.with({kind: 'engines-cold'}, async ({engines, cause, duration}) => this.#turnCold(engines.map(engine => this.#engines.at(engine)), cause, duration))
			.with({kind: 'domain-cold'}, async ({domain, cause, duration}) => this.#turnCold(this.#engines.inDomain(domains[domain]!), cause, duration))
			.with({kind: 'odd-entry'}, async ({entry, duration}) => leaveEntry(this.#store, entry, duration))
			.with({kind: 'odd-head'}, async ({instance, head, duration}) => sendHeads(this.#instances[instance]!, head, duration))
			.with({kind: 'store-copy'}, async ({fault: kind, duration}) => this.#restoreStore(kind, duration))
			.exhaustive();
	}

	/** Evacuates a failure domain for a time; its engines may have turned cold by its end. */
	async #evacuate(domain: string, duration: number): Promise<void> {
		this.#operator.evacuate(domain);
		await sleep(duration);
		if (this.#options.hasColdEngines) {
			for (const engine of this.#engines.inDomain(domain)) {
				this.#engines.turnCold(engine);
			}
		}

		this.#operator.takeBack(domain);
	}

	/** @param duration - Time in milliseconds for which engines that start again are away. */
	async #turnCold(engines: readonly Engine[], cause: ColdCause, duration: number): Promise<void> {
		await Promise.all(engines.map(async engine => {
			if (cause === 'restart') {
				await this.#engines.restart(engine, duration);
			} else {
				this.#engines.turnCold(engine);
			}
		}));
		await sleep(coldStart.duration);
	}

	/** Lets the store come back from a copy; the operator and the engines then write again what it lost. */
	async #restoreStore(fault: StoreFault, age: number): Promise<void> {
		const copy = this.#store.takeCopy();
		await sleep(age);
		this.#store.fault = fault;
		await sleep(copyOutage);
		this.#store.restore(copy);
		this.#operator.recordRestore();
		this.#store.fault = 'none';
		await sleep(rewriteDelay);
		this.#operator.rewrite();
		this.#engines.enterAll();
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

	async #stop(): Promise<void> {
		this.#engines.stop();
		this.#stallWatch.stop();
		this.#floods.stop();
		await Promise.all(this.#instances.map(async instance => instance.stop()));
		closeCallers();
		this.#store.close();
		this.#engines.close();

		for (const link of this.#storeLinks) {
			link.close();
		}
	}
}
