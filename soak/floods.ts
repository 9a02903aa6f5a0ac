/**
 * Plays floods, signals and failed starts.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {match} from 'ts-pattern';
import {orderPath} from '../platform/stand-in/deployment.js';
import {CallerFloods} from './caller-floods.js';
import {type ArrivedCall, EndlessServer, wholeAnswer} from './engine-floods.js';
import type {Engines} from './engines.js';
import {
	type FloodEvidence, floodProblems, type Recovery, type SoundFigures, soundFigures,
} from './flood-checks.js';
import type {
	EngineFlood, FloodedCalls, FloodFault, StoreFlood,
} from './flood-faults.js';
import type {Instance} from './instances.js';
import {memoryLimit, MemoryWatch} from './memory-watch.js';
import {floodPeerPort} from './peer-floods.js';
import type {Proxy} from './proxy.js';
import {
	sendSignals, signalAtStart, takePort, tearSettings, untilServed,
} from './start-faults.js';

/** What a run with floods says of itself. */
export type FloodFigures = {sound: SoundFigures; peak: number; earlyHangups: readonly number[]; slowestRecovery: number | undefined};

/** Time in milliseconds from the last signal of a stop until the next process is asked for. */
const checkInterval = 50;

/** Interval in milliseconds in which idle connections to an engine are closed whose place a flood takes. */
const closeInterval = 100;

/** Floods of one run. */
export class Floods {
	/** Port of a store that sends without end; undefined while the store is sound. */
	storePort: number | undefined;
	readonly #callers: CallerFloods;
	readonly #engines: Engines;
	readonly #storeLinks: readonly Proxy[];
	readonly #seed: number;
	readonly #events: number;
	readonly #memoryWatch = new MemoryWatch(memoryLimit);
	readonly #recoveries: Recovery[] = [];
	#instances: readonly Instance[] = [];

	/** @param events - Events of a whole stream. */
	constructor({seed, engines, storeLinks, events}: {seed: number; engines: Engines; storeLinks: readonly Proxy[]; events: number}) {
		this.#seed = seed;
		this.#engines = engines;
		this.#storeLinks = storeLinks;
		this.#events = events;
		this.#callers = new CallerFloods(seed);
	}

	start(instances: readonly Instance[]): void {
		this.#instances = instances;
		this.#memoryWatch.start(instances);
	}

	stop(): void {
		this.#memoryWatch.stop();
	}

	problems(evidence: Pick<FloodEvidence, 'calls' | 'windows'>): string[] {
		return floodProblems(this.#evidence(evidence));
	}

	figures(evidence: Pick<FloodEvidence, 'calls' | 'windows'>): FloodFigures {
		const times = this.#recoveries.flatMap(({from, servedAt}) => servedAt === undefined ? [] : [servedAt - from]);
		return {
			sound: soundFigures(this.#evidence(evidence)), peak: Math.max(0, ...this.#memoryWatch.peaks.map(({megabytes}) => megabytes)),
			earlyHangups: this.#instances.flatMap(({earlyHangups}) => earlyHangups), slowestRecovery: times.length === 0 ? undefined : Math.max(...times),
		};
	}

	async play(fault: FloodFault): Promise<void> {
		await match(fault)
			.with({kind: 'caller-flood'}, async ({instance, flood, connections, duration}) => this.#callers.play({
				ip: this.#instances[instance]!.ip, flood, connections, duration,
			}))
			.with({kind: 'peer-flood'}, async ({instance, flood, duration}) => floodPeerPort(this.#instances[instance]!.ip, flood, {duration, seed: this.#seed}))
			.with({kind: 'engine-flood'}, async ({engine, flood, calls, duration}) => this.#floodFromEngine({
				engine, flood, calls, duration,
			}))
			.with({kind: 'store-flood'}, async ({flood, duration}) => this.#floodFromStore(flood, duration))
			.with({kind: 'hangups'}, async ({instance, signals}) => sendSignals(this.#instances[instance]!, signals))
			.with({kind: 'stop-signals'}, async ({instance, signals}) => {
				const stopping = this.#instances[instance]!;
				const spawned = stopping.nextSpawn();
				stopping.signal('SIGTERM');
				await sendSignals(stopping, signals);
				await spawned;
				await untilRunning(stopping);
			})
			.with({kind: 'start-signals'}, async start => {
				await signalAtStart(this.#instances[start.instance]!, start);
				await untilRunning(this.#instances[start.instance]!);
			})
			.with({kind: 'torn-settings'}, async torn => this.#recover(tearSettings(this.#instances[torn.instance]!, torn)))
			.with({kind: 'taken-port'}, async taken => this.#recover(takePort(this.#instances[taken.instance]!, taken)))
			.exhaustive();
	}

	#evidence({calls, windows}: Pick<FloodEvidence, 'calls' | 'windows'>): FloodEvidence {
		return {
			calls, windows, floodedRequests: this.#engines.floodedRequests, peaks: this.#memoryWatch.peaks, recoveries: this.#recoveries,
		};
	}

	async #recover(recovery: Promise<Recovery | undefined>): Promise<void> {
		const ended = await recovery;
		if (ended) {
			this.#recoveries.push(ended);
		}
	}

	/** The engine behind the proxy sends without end; its own process goes on beside it. */
	async #floodFromEngine({engine: number, flood, calls, duration}: {engine: number; flood: EngineFlood; calls: FloodedCalls; duration: number}): Promise<void> {
		const engine = this.#engines.at(number);
		const server = new EndlessServer(flood, call => {
			if (call.url === orderPath) {
				if (calls === 'requests' || call.body.includes('release')) {
					engine.model.applyOrder(call.body);
				}

				return {content: '{"free":1}', isEndless: calls === 'reservations'};
			}

			return this.#answer(engine.id, call, calls === 'requests');
		});
		const port = await server.listen();
		engine.floodPort = port;
		for (const endsAt = performance.now() + duration; performance.now() < endsAt;) {
			// What the engine had begun ends as usual, and new requests need new connections.
			engine.model.closeIdleConnections();
			await sleep(closeInterval); // eslint-disable-line no-await-in-loop
		}

		if (engine.floodPort === port) {
			engine.floodPort = undefined;
		}

		server.close();
	}

	#answer(engineId: string, call: ArrivedCall, isEndless: boolean): {content: string; isEndless: boolean} {
		this.#engines.recordFlood({engineId, requestId: call.requestId, customer: call.customer}, isEndless);
		return {content: wholeAnswer(call, this.#events), isEndless};
	}

	async #floodFromStore(flood: StoreFlood, duration: number): Promise<void> {
		const server = new EndlessServer(flood, () => ({content: '{}', isEndless: true}));
		const port = await server.listen();
		this.storePort = port;
		for (const link of this.#storeLinks) {
			link.resetOpen();
		}

		await sleep(duration);
		if (this.storePort === port) {
			this.storePort = undefined;
		}

		server.close();
	}
}

/** Resolves when a process serves that was not told to end. */
async function untilRunning(instance: Instance): Promise<void> {
	while (!instance.isRunning) {
		await sleep(checkInterval); // eslint-disable-line no-await-in-loop
	}

	await untilServed(instance, 'its start');
}

/** One line for the end of a run. */
export function describeFloods({sound, peak, earlyHangups, slowestRecovery}: FloodFigures): string {
	const hangups = earlyHangups.length === 0 ? 'none' : `${earlyHangups.length}, at ${earlyHangups.map(age => `${Math.round(age)}`).join(', ')} ms`;
	const recovery = slowestRecovery === undefined ? '' : `, slowest start after a torn file or a taken port ${Math.round(slowestRecovery)} ms`;
	return `beside floods ${sound.served} served and ${sound.refused} refused at once of ${sound.count} sound requests, most resident memory ${Math.round(peak)} MB${recovery}, `
		+ `ends by SIGHUP before there was a listener: ${hangups}`;
}
