/**
 * Task that cancels the streams which dead instances left behind at engines.
 *
 * @module
 */
import {errorMessage} from '../errors/errors.js';
import type {EventLog} from '../telemetry/log.js';
import type {EngineClient, StreamSummary} from '../upstream/engine.js';
import {TimeLimit} from './time-limit.js';

/** Time in milliseconds between two looks at all engines. */
const defaultCheckInterval = 5000;

/** Share of an interval by which its beginning is spread, so that instances do not look in step. */
const jitter = 0.5;

/** Time in milliseconds within which an engine must answer. */
const callTimeout = 2000;

/** Cancelled streams remembered, so that each is cancelled once. */
const maximumRememberedStreams = 10_000;

export type OrphanedStreamReaperOptions = {
	/** Engines that are listed now. */
	engines: () => readonly EngineClient[];
	/** Whether an owner, as "name/incarnation", is surely gone. A live owner must never count as dead. */
	isOwnerDead: (owner: string) => boolean;
	log: EventLog;
	/**
	 * Time in milliseconds between two looks at all engines.
	 * @default 5000
	 */
	checkInterval?: number;
};

/** Looks for orphans from time to time. */
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
		const limit = new TimeLimit(callTimeout, `engine "${engine.name}" did not answer about its streams in time`);
		try {
			for (const stream of await engine.listStreams(limit.signal)) {
				await this.#cancelOrphan(engine, stream, limit.signal); // eslint-disable-line no-await-in-loop
			}
		} catch (error) {
			this.#options.log.debug('orphans.engine-unavailable', {upstream: engine.name, error: errorMessage(error)});
		} finally {
			limit.clear();
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
			const [oldest] = this.#cancelled;
			this.#cancelled.delete(oldest!);
		}
	}
}
