/**
 * Which engines this instance reaches over its own network path.
 *
 * An engine that a direct connection does not reach may have failed, or only the path to it. The path is broken if another
 * instance relays a connection to the engine. While paths are broken, probes find out when they work again.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {EngineRecord} from '../serving/model.js';
import type {EventLog} from '../telemetry/log.js';
import type {EngineConnector} from '../upstream/engine-connector.js';

/** Engines in a row that direct connections do not reach, none being reached in between, from which this instance is cut off. */
const cutOffEngineCount = 3;

/** Time in milliseconds between two probes of broken paths, of one engine each. */
const probeInterval = 500;

/** Time in milliseconds in which another engine answers, where it is asked whether this instance reaches any. */
const comparisonTimeout = 100;

/** Engines that are asked for the comparison. */
const comparedEngineCount = 2;

/** Options of `EnginePaths`. */
export type EnginePathsOptions = {
	log: EventLog;
	engine: (id: string) => EngineRecord | undefined;
	/** Engines of all services that accept new requests. */
	readyEngines: () => readonly EngineRecord[];
	connectDirectly: (record: EngineRecord, timeout?: number) => EngineConnector;
	/** Called when this instance is cut off from all engines, or no longer is. */
	onCutOffChange: (isCutOff: boolean) => void;
};

/** Direct paths of one instance to the engines. */
export class EnginePaths {
	readonly #options: EnginePathsOptions;
	/** Engines to which the path is broken, with the monotonic time in milliseconds of the last attempt. */
	readonly #broken = new Map<string, number>();
	/** Engines that were not reached since one was last reached, with the time of the last attempt. */
	readonly #missed = new Map<string, number>();
	/** Engines that were reached, the latest one last. */
	readonly #reached = new Set<string>();
	/** Monotonic times in milliseconds at which an engine of each service was last reached. */
	readonly #lastReachedAt = new Map<string, number>();
	#isCutOff = false;
	#isClosed = false;
	#probeTimer: NodeJS.Timeout | undefined;

	constructor(options: EnginePathsOptions) {
		this.#options = options;
	}

	/** Whether this instance reaches no engine over its own path, as far as it knows. */
	get isCutOff(): boolean {
		return this.#isCutOff;
	}

	/** Number of engines that are reached through relays alone. */
	get brokenCount(): number {
		return this.#broken.size;
	}

	/** Whether a direct connection to an engine is likely to fail although the engine is up. */
	isBroken(engineId: string): boolean {
		return this.#isCutOff || this.#broken.has(engineId);
	}

	/** Whether a direct connection to another engine of an engine's service was established since a monotonic time in milliseconds. */
	hasReachedSince(time: number, engineId: string): boolean {
		const service = this.#options.engine(engineId)?.service;
		return service !== undefined && (this.#lastReachedAt.get(service) ?? Number.NEGATIVE_INFINITY) >= time;
	}

	/** Records that a direct connection was established. */
	recordReached(engineId: string): void {
		const service = this.#options.engine(engineId)?.service;
		if (service !== undefined) {
			this.#lastReachedAt.set(service, performance.now());
		}

		this.#reached.delete(engineId);
		this.#reached.add(engineId);
		this.#missed.clear();
		this.#updateCutOff();
		if (this.#broken.delete(engineId)) {
			this.#options.log.info('engine.path-restored', {engine: engineId, broken: this.#broken.size});
		}
	}

	/** Records that a direct connection was not established. */
	recordMissed(engineId: string): void {
		this.#missed.set(engineId, performance.now());
		this.#updateCutOff();
		this.#scheduleProbe();
	}

	/** Records that an instance relays a connection to an engine that a direct connection does not reach, or was not tried to reach. */
	recordBypassed(engineId: string, relay: string): void {
		if (!this.#broken.has(engineId)) {
			this.#options.log.info('engine.path-broken', {engine: engineId, relay, broken: this.#broken.size + 1});
			this.#broken.set(engineId, performance.now());
		}

		this.#scheduleProbe();
	}

	/** Forgets an engine that has left or started anew. */
	forget(engineId: string): void {
		this.#broken.delete(engineId);
		this.#missed.delete(engineId);
		this.#reached.delete(engineId);
		this.#updateCutOff();
	}

	/**
	 * Resolves with whether this instance reaches any other engine directly and knows of no broken path, so that the engine is
	 * at fault and not the path. Where paths to some engines are broken, that to this one may be too.
	 *
	 * @param since - Monotonic time in milliseconds at which the connection to the engine was begun.
	 */
	async isEngineAtFault(engineId: string, since: number): Promise<boolean> {
		const reachesOthers = this.#timeSinceReached <= performance.now() - since || await this.#reachesAny(new Set([engineId]));
		return reachesOthers && this.#broken.size === 0;
	}

	close(): void {
		this.#isClosed = true;
		clearTimeout(this.#probeTimer);
	}

	/** Whether probes reach one of a few engines, except those given: those that were reached last, or any others. */
	async #reachesAny(excluded: ReadonlySet<string>): Promise<boolean> {
		const candidates = new Set([...[...this.#reached].toReversed(), ...this.#options.readyEngines().map(({id}) => id)]);
		const compared = [...candidates].filter(id => !excluded.has(id)).slice(0, comparedEngineCount);
		const results = await Promise.all(compared.map(async id => this.#probe(id, comparisonTimeout)));
		return results.includes(true);
	}

	#updateCutOff(): void {
		const isCutOff = this.#missed.size >= cutOffEngineCount;
		if (isCutOff === this.#isCutOff || this.#isClosed) {
			return;
		}

		this.#isCutOff = isCutOff;
		this.#options.log.warn(isCutOff ? 'engines.cut-off' : 'engines.regained', {
			missed: this.#missed.size, since_reached: Number.isFinite(this.#timeSinceReached) ? Math.round(this.#timeSinceReached) : undefined,
		});
		this.#options.onCutOffChange(isCutOff);
		if (isCutOff) {
			// The engines that were missed may all have failed.
			void this.#reachesAny(new Set(this.#missed.keys()));
		}
	}

	#scheduleProbe(): void {
		if (this.#isClosed) {
			return;
		}

		this.#probeTimer ??= setTimeout(() => {
			void this.#probeNext();
		}, probeInterval).unref();
	}

	/** Time in milliseconds since any engine was reached; infinite if none was. */
	get #timeSinceReached(): number {
		return performance.now() - Math.max(Number.NEGATIVE_INFINITY, ...this.#lastReachedAt.values());
	}

	/** Engines to probe, with the time of the last attempt: where this instance is cut off, all that accept requests. */
	get #probedEngines(): Array<[string, number]> {
		const untried = this.#isCutOff ? this.#options.readyEngines().map(({id}): [string, number] => [id, Number.NEGATIVE_INFINITY]) : [];
		return [...new Map([...untried, ...this.#missed, ...this.#broken])];
	}

	/** Probes the engine that was tried longest ago, and further ones for as long as they are reached. */
	async #probeNext(): Promise<void> {
		let isReached = true;
		while (isReached && !this.#isClosed) {
			const [oldest] = this.#probedEngines.toSorted(([, one], [, other]) => one - other);
			if (!oldest) {
				break;
			}

			isReached = await this.#probe(oldest[0]); // eslint-disable-line no-await-in-loop
		}

		this.#probeTimer = undefined;
		if (this.#broken.size > 0 || this.#isCutOff) {
			this.#scheduleProbe();
		}
	}

	/** Connects to an engine directly and closes the connection. @param timeout - In milliseconds. @returns whether it was established. */
	async #probe(engineId: string, timeout?: number): Promise<boolean> {
		const record = this.#options.engine(engineId);
		if (!record) {
			this.forget(engineId);
			return false;
		}

		return new Promise(resolve => {
			this.#options.connectDirectly(record, timeout).connect({
				onConnected: stream => {
					stream.on('error', () => undefined);
					stream.destroy();
					this.recordReached(engineId);
					resolve(true);
				},
				onFailure: () => {
					this.#noteAttempt(engineId);
					resolve(false);
				},
			});
		});
	}

	#noteAttempt(engineId: string): void {
		const now = performance.now();
		if (this.#broken.has(engineId)) {
			this.#broken.set(engineId, now);
		}

		if (this.#isCutOff || this.#missed.has(engineId)) {
			this.#missed.set(engineId, now);
		}
	}
}
