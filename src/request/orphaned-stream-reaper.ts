/**
 * Background task that cancels streams at engines whose owning instance is dead.
 *
 * @module
 */
import {errorMessage} from '../errors/errors.js';
import type {EventLog} from '../telemetry/log.js';
import type {EngineClient, StreamSummary} from '../upstream/engine.js';
import {TimeLimit} from './time-limit.js';

/** Time in milliseconds between two checks of all engines. */
const defaultCheckInterval = 5000;

/** Maximum fraction by which an interval is randomly shortened, so that instances do not check engines at the same time. */
const jitter = 0.5;

/** Timeout in milliseconds for listing and cancelling streams at one engine. */
const callTimeout = 2000;

/** Maximum number of cancelled streams remembered, so that each is cancelled only once. */
const maximumRememberedStreams = 10_000;

export type OrphanedStreamReaperOptions = {
	/** Returns the clients of all engines that are currently listed. */
	engines: () => readonly EngineClient[];
	/** Whether an owner, given as "name/incarnation", is certainly dead. Must never return true for a live owner. */
	isOwnerDead: (owner: string) => boolean;
	log: EventLog;
	/**
	 * Time in milliseconds between two checks of all engines.
	 * @default 5000
	 */
	checkInterval?: number;
};

/** Periodically checks all engines for streams of dead owners and cancels them. */
export class OrphanedStreamReaper {
	readonly #options: OrphanedStreamReaperOptions;
	readonly #checkInterval: number;
	readonly #cancelled = new Set<string>();
	#timer: NodeJS.Timeout | undefined;

	constructor(options: OrphanedStreamReaperOptions) {
		this.#options = options;
		this.#checkInterval = options.checkInterval ?? defaultCheckInterval;
	}

	start(): void {
		this.#timer = setTimeout(() => {
			void this.#checkAllEngines();
		}, this.#checkInterval * (1 - (jitter * Math.random())));
	}

	stop(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
	}

	async #checkAllEngines(): Promise<void> {
		await Promise.all(this.#options.engines().map(async engine => this.#checkEngine(engine)));
		if (this.#timer !== undefined) {
			this.start();
		}
	}

	async #checkEngine(engine: EngineClient): Promise<void> {
		const timeLimit = new TimeLimit(callTimeout, `engine "${engine.name}" did not list its streams and cancel orphaned ones in time`);
		try {
			for (const stream of await engine.listStreams(timeLimit.signal)) {
				await this.#cancelOrphan(engine, stream, timeLimit.signal); // eslint-disable-line no-await-in-loop
			}
		} catch (error) {
			this.#options.log.debug('orphans.engine-unavailable', {upstream: engine.name, error: errorMessage(error)});
		} finally {
			timeLimit.clear();
		}
	}

	async #cancelOrphan(engine: EngineClient, {streamId, requestId, owner, blocks}: StreamSummary, signal: AbortSignal): Promise<void> {
		const key = `${engine.name}/${streamId}`;
		if (this.#cancelled.has(key) || !this.#options.isOwnerDead(owner)) {
			return;
		}

		await engine.cancel(streamId, signal);
		this.#rememberCancelled(key);
		this.#options.log.info('orphans.cancelled', {
			upstream: engine.name, stream: streamId, request: requestId, owner, blocks,
		});
	}

	#rememberCancelled(key: string): void {
		this.#cancelled.add(key);
		if (this.#cancelled.size > maximumRememberedStreams) {
			const [oldestKey] = this.#cancelled;
			this.#cancelled.delete(oldestKey!);
		}
	}
}
