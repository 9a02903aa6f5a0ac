/**
 * A fleet of instances, engines and callers under fake timers, in which some requests crash engines and reports get lost.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import fakeTimers from '@sinonjs/fake-timers';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {QuarantineGossip} from '../../peers/quarantine-gossip.js';
import type {CheckedEngine} from '../../upstream/crash-check.js';
import {establishedEventCount} from '../../serving/observed-attempt.js';
import {RequestGuard} from '../request-guard.js';
import {type RequestQuarantine} from '../request-quarantine.js';
import {createQuarantine} from './support.js';

/** Time in milliseconds between two heartbeats. */
const heartbeatInterval = 500;

const failureDomains = 3;

/** Number of values that a random share may take. */
const drawLimit = 1_000_000;

/** Time in milliseconds that a datagram is under way. */
const networkLatency = 2;

/** Time in milliseconds from a request's arrival at an engine until the engine begins to answer, and from one event to the next. */
const prefillTime = 100;
const eventInterval = 50;

/** Options of a `SimulatedFleet`. */
export type SimulatedFleetOptions = {
	seed: number;
	instances: number;
	engines: number;
	/** Share of the datagrams that are lost, in percent. */
	lossPercentage: number;
	/** Time in milliseconds from a crash until the engine is back. */
	restartTime: number;
	/** Most engines that one request is sent to. */
	maximumAttempts: number;
	/** Events of an answer; one for an answer without a stream. */
	eventCount: number;
	/** Time in milliseconds after which a request without an answer is sent to a second engine as well; undefined for never. */
	hedgeDelay: number | undefined;
};

type SimulatedInstance = {ip: string; quarantine: RequestQuarantine; gossip: QuarantineGossip; isCutOff: boolean};

type SimulatedEngine = {id: string; startedAt: number; failureDomain: string; isUp: boolean; inFlight: Set<Attempt>};

type Attempt = {request: SimulatedRequest; guard: RequestGuard; engine: SimulatedEngine; sentAt: number; events: number; attempts: number; isHedged: boolean};

/** A caller's request and what became of it. */
export type SimulatedRequest = {
	fingerprints: readonly string[];
	wholeRequest: string;
	sentAt: number;
	/** Monotonic times in milliseconds at which it reached engines. */
	arrivals: number[];
	isServed: boolean;
	isQuarantined: boolean;
};

/** One run. */
export class SimulatedFleet {
	readonly clock = fakeTimers.install({now: 1_764_800_000_000});
	readonly requests: SimulatedRequest[] = [];
	/** Monotonic times in milliseconds of the crashes that requests have caused. */
	readonly crashes: number[] = [];
	readonly #options: SimulatedFleetOptions;
	readonly #random;
	readonly #instances: SimulatedInstance[] = [];
	readonly #engines: SimulatedEngine[];

	/** @param crashesOn - Whether a request crashes the engine that begins to answer it. */
	constructor(options: SimulatedFleetOptions, private readonly crashesOn: (request: SimulatedRequest) => boolean) {
		this.#options = options;
		this.#random = xoroshiro128plus(options.seed);
		this.#engines = Array.from({length: options.engines}, (_, index) => ({
			id: `engine-${index}`, startedAt: index, failureDomain: String(Math.floor(index * failureDomains / options.engines)), isUp: true, inFlight: new Set(),
		}));
		for (let index = 0; index < options.instances; index++) {
			this.startInstance();
		}

		setInterval(() => {
			for (const instance of this.#instances) {
				this.#sendHeartbeat(instance);
			}
		}, heartbeatInterval);
	}

	/** Number from 0 (inclusive) to a limit (exclusive). */
	draw(limit: number): number {
		return uniformInt(this.#random, 0, limit - 1);
	}

	/** Starts an instance, which the others give the list to. */
	startInstance(): void {
		const ip = `10.0.0.${this.#instances.length + 1}`;
		const gossip = new QuarantineGossip(parts => {
			this.#deliver(ip, parts);
		});
		const quarantine = createQuarantine({
			ownIp: ip, instances: () => this.#instances.map(instance => instance.ip), listener: gossip, random: () => this.draw(drawLimit) / drawLimit,
			crashCheck: {hasCrashed: async ({id, startedAt}) => !this.#engines.some(engine => engine.id === id && engine.isUp && engine.startedAt === startedAt)},
		});
		const [helper] = this.#instances;
		for (const entry of helper?.quarantine.entries ?? []) {
			quarantine.receiveEntry(entry);
		}

		this.#instances.push({
			ip, quarantine, gossip, isCutOff: false,
		});
	}

	/** Cuts an instance off from the others for a time in milliseconds. */
	cutOff(index: number, duration: number): void {
		this.#instances[index]!.isCutOff = true;
		setTimeout(() => {
			this.#instances[index]!.isCutOff = false;
		}, duration);
	}

	/** Crashes a share of the engines at once, from the one with a number on. */
	crashDomain(share: number, first = 0): void {
		for (const engine of this.#engines.slice(first, first + Math.floor(this.#engines.length * share))) {
			if (engine.isUp) {
				this.#crash(engine);
			}
		}
	}

	/**
	 * Sends a request to an instance drawn at random.
	 *
	 * @param wholeRequest - Fingerprint of the request; by default of one that comes only once.
	 */
	send(fingerprints: readonly string[], wholeRequest = `request:${this.requests.length}`): void {
		const request: SimulatedRequest = {
			fingerprints, wholeRequest, sentAt: performance.now(), arrivals: [], isServed: false, isQuarantined: false,
		};
		this.requests.push(request);
		const {quarantine} = this.#instances[this.draw(this.#instances.length)]!;
		const guard = new RequestGuard(quarantine, {promptParts: fingerprints, wholeRequest, hasBody: true});
		if (guard.decide().kind === 'quarantined') {
			request.isQuarantined = true;
			return;
		}

		void this.#startFirstAttempt(request, guard);
	}

	/** Fingerprints that any instance has quarantined. */
	get quarantined(): string[] {
		return [...new Set(this.#instances.flatMap(({quarantine}) => quarantine.describe().map(({fingerprint}) => fingerprint)))];
	}

	/** Fingerprints that each instance has quarantined. */
	get quarantinedByInstance(): string[][] {
		return this.#instances.map(({quarantine}) => quarantine.describe().map(({fingerprint}) => fingerprint).toSorted());
	}

	close(): void {
		this.clock.uninstall();
	}

	async #startFirstAttempt(request: SimulatedRequest, guard: RequestGuard): Promise<void> {
		await guard.waitForJudgement();
		if (guard.blockedBy === undefined) {
			this.#startAttempt(request, guard, 1);
		} else {
			request.isQuarantined = true;
		}
	}

	#startAttempt(request: SimulatedRequest, guard: RequestGuard, attempts: number): void {
		const available = this.#engines.filter(({isUp}) => isUp);
		if (available.length === 0) {
			return;
		}

		const engine = available[this.draw(available.length)]!;
		const attempt: Attempt = {
			request, guard, engine, sentAt: performance.now(), events: 0, attempts, isHedged: false,
		};
		request.arrivals.push(attempt.sentAt);
		engine.inFlight.add(attempt);
		setTimeout(() => {
			this.#progress(attempt);
		}, prefillTime + this.draw(prefillTime));
		if (this.#options.hedgeDelay !== undefined) {
			setTimeout(() => {
				this.#hedge(attempt);
			}, this.#options.hedgeDelay);
		}
	}

	#hedge(attempt: Attempt): void {
		const {request, guard, engine, attempts} = attempt;
		if (engine.inFlight.has(attempt) && attempt.events === 0 && this.#mayRetry(attempt)) {
			attempt.isHedged = true;
			this.#startAttempt(request, guard, attempts + 1);
		}
	}

	#mayRetry({guard, attempts, isHedged}: Attempt): boolean {
		return attempts < this.#options.maximumAttempts && !isHedged && !guard.isIsolated && guard.blockedBy === undefined;
	}

	#progress(attempt: Attempt): void {
		const {request, engine, guard, sentAt} = attempt;
		if (!engine.inFlight.has(attempt)) {
			return;
		}

		if (this.crashesOn(request)) {
			this.crashes.push(performance.now());
			this.#crash(engine);
			return;
		}

		attempt.events += 1;
		if (attempt.events === establishedEventCount) {
			guard.recordSoundness();
		}

		if (attempt.events < this.#options.eventCount) {
			setTimeout(() => {
				this.#progress(attempt);
			}, eventInterval);
			return;
		}

		engine.inFlight.delete(attempt);
		request.isServed = true;
		guard.recordAttempt({
			engine: {...engine, host: '', port: 0}, sentAt, end: 'answered', isEstablished: true,
		});
	}

	#crash(engine: SimulatedEngine): void {
		engine.isUp = false;
		const broken = [...engine.inFlight];
		engine.inFlight.clear();
		const run = {...engine, host: '', port: 0};
		for (const attempt of broken) {
			void this.#break(attempt, run);
		}

		setTimeout(() => {
			engine.startedAt = Date.now();
			engine.isUp = true;
		}, this.#options.restartTime);
	}

	async #break(attempt: Attempt, engine: CheckedEngine): Promise<void> {
		const {request, guard, sentAt, events, attempts} = attempt;
		guard.recordAttempt({
			engine, sentAt, end: 'connection-lost', isEstablished: events >= establishedEventCount,
		});
		await guard.settled();
		if (this.#mayRetry(attempt)) {
			this.#startAttempt(request, guard, attempts + 1);
		}
	}

	#sendHeartbeat({ip, quarantine, gossip}: SimulatedInstance): void {
		this.#deliver(ip, gossip.heartbeatParts(quarantine.entries));
	}

	#deliver(sender: string, parts: Parameters<ConstructorParameters<typeof QuarantineGossip>[0]>[0]): void {
		if (this.#instances.find(({ip}) => ip === sender)?.isCutOff === true) {
			return;
		}

		for (const {ip, quarantine, isCutOff} of this.#instances) {
			if (ip === sender || isCutOff || this.draw(100) < this.#options.lossPercentage) {
				continue;
			}

			setTimeout(() => {
				for (const entry of parts.quarantineEntries) {
					quarantine.receiveEntry(entry);
				}

				for (const report of parts.soundReports) {
					quarantine.receiveSoundness(report);
				}

				for (const crash of parts.crashes) {
					quarantine.receiveCrash(crash);
				}
			}, networkLatency + this.draw(networkLatency));
		}
	}
}
