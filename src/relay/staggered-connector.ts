/**
 * Connects to an engine directly and, where that takes long or fails, through other instances.
 *
 * The next way is tried as soon as one has failed, or after a delay in which none was established, as in RFC 8305. A
 * direct connection that is slow is waited for if others are established meanwhile: then the engine is slow, not the path.
 * The first connection that is established is used; the request is sent on that one alone.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {InputFirstTimer} from '../upstream/input-first-timer.js';
import type {
	ConnectFailure, ConnectionListener, EngineConnector, FailureEvidence, PendingConnection,
} from '../upstream/engine-connector.js';
import type {EnginePaths} from './engine-paths.js';

/** Time in milliseconds after which the next way is tried beside those that are still being tried: several times the latency between failure domains. */
const staggerDelay = 100;

/** Instances that are asked for one connection. */
const maximumRelays = 2;

/** Options of a `StaggeredConnector`. */
export type StaggeredConnectorOptions = {
	engineId: string;
	paths: Pick<EnginePaths, 'isBroken' | 'hasReachedSince' | 'recordReached' | 'recordMissed' | 'recordBypassed'>;
	direct: EngineConnector;
	/** Whether relays are asked as well where a slow engine seems to be at fault. */
	isThorough: boolean;
	/** Connects through an instance that was not asked before; undefined where there is none. */
	nextRelay: (asked: Set<string>) => EngineConnector | undefined;
};

/** Time in milliseconds by which the event loop may be late for the delay to tell anything. */
const tolerableLag = 50;

type Way = 'direct' | 'relay';

/** From the strongest to the weakest. */
const evidences: readonly FailureEvidence[] = ['confirmed', 'unconfirmed', 'unchecked'];

/** Connects to one engine. */
export class StaggeredConnector implements EngineConnector {
	readonly #options: StaggeredConnectorOptions;

	constructor(options: StaggeredConnectorOptions) {
		this.#options = options;
	}

	connect(listener: ConnectionListener): PendingConnection {
		return new StaggeredConnection(this.#options, listener);
	}
}

/** One connection that is being established. */
class StaggeredConnection implements PendingConnection {
	readonly #options: StaggeredConnectorOptions;
	readonly #listener: ConnectionListener;
	readonly #ways: Way[];
	readonly #asked = new Set<string>();
	readonly #pending = new Set<PendingConnection>();
	readonly #failures: ConnectFailure[] = [];
	readonly #timer = new InputFirstTimer();
	readonly #startedAt = performance.now();
	#directConnection: PendingConnection | undefined;
	/** Relay that was used while the direct connection was still being established. */
	#usedRelay: string | undefined;
	#isEnded = false;

	constructor(options: StaggeredConnectorOptions, listener: ConnectionListener) {
		this.#options = options;
		this.#listener = listener;
		const relays = Array.from({length: maximumRelays}, (): Way => 'relay');
		this.#ways = options.paths.isBroken(options.engineId) ? [...relays, 'direct'] : ['direct', ...relays];
		this.#tryNext();
	}

	abort(): void {
		this.#isEnded = true;
		this.#timer.stop();
		for (const pending of this.#pending) {
			pending.abort();
		}
	}

	#tryNext(): void {
		const way = this.#ways.shift();
		if (way === undefined) {
			return;
		}

		const {direct, nextRelay} = this.#options;
		const connector = way === 'direct' ? direct : nextRelay(this.#asked);
		if (!connector) {
			this.#tryNext();
			return;
		}

		const pending = connector.connect({
			onConnected: (stream, relay) => {
				this.#pending.delete(pending);
				if (this.#isEnded) {
					// The direct connection is late, a relay is in use.
					stream.on('error', () => undefined);
					stream.destroy();
					this.#options.paths.recordReached(this.#options.engineId);
					return;
				}

				this.#use(relay);
				this.#listener.onConnected(stream, relay);
			},
			onFailure: failure => {
				this.#pending.delete(pending);
				if (way === 'direct') {
					this.#recordMissed();
				}

				if (!this.#isEnded) {
					this.#failures.push(failure);
					if (way === 'direct' && !failure.isRefused && this.#isPathWhole) {
						this.#fail();
					} else {
						this.#tryNext();
						this.#failIfExhausted();
					}
				}
			},
		});
		this.#pending.add(pending);
		if (way === 'direct') {
			this.#directConnection = pending;
		}

		this.#startTimer(way);
	}

	/** Tries the next way after the delay, unless the process was too busy to notice a connection, or others show that the path is whole. */
	#startTimer(way: Way): void {
		const startedAt = performance.now();
		this.#timer.start(staggerDelay, () => {
			if (performance.now() - startedAt > staggerDelay + tolerableLag) {
				this.#startTimer(way);
			} else if (way === 'relay' || !this.#isPathWhole) {
				this.#tryNext();
			}
		});
	}

	/** Whether other engines of the service were reached since this connection was begun, so that it is the engine that is slow. */
	get #isPathWhole(): boolean {
		const {paths, engineId, isThorough} = this.#options;
		return !isThorough && paths.hasReachedSince(this.#startedAt, engineId);
	}

	/** Ends the other ways. A direct connection that is slower than a relay goes on, for what it tells about the path. */
	#use(relay: string | undefined): void {
		const {paths, engineId} = this.#options;
		if (relay === undefined) {
			paths.recordReached(engineId);
		} else if (this.#directConnection && this.#pending.delete(this.#directConnection)) {
			this.#usedRelay = relay;
		} else {
			paths.recordBypassed(engineId, relay);
		}

		this.abort();
	}

	#recordMissed(): void {
		const {paths, engineId} = this.#options;
		paths.recordMissed(engineId);
		if (this.#usedRelay !== undefined) {
			paths.recordBypassed(engineId, this.#usedRelay);
		}
	}

	#failIfExhausted(): void {
		if (!this.#isEnded && this.#pending.size === 0 && this.#ways.length === 0) {
			this.#fail();
		}
	}

	#fail(): void {
		this.abort();
		this.#listener.onFailure({
			reason: this.#failures.map(({reason}) => reason).join('; '), isRefused: this.#failures.some(({isRefused}) => isRefused),
			evidence: evidences.find(evidence => this.#failures.some(failure => failure.evidence === evidence)) ?? 'unchecked',
		});
	}
}
