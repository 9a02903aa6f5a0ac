/**
 * Opens this instance's connections to engines, directly or through other instances, and tells a failed engine from a
 * broken path.
 *
 * @module
 */
import type {HomeRegions} from '../placement/engine-eligibility.js';
import type {EngineRecord} from '../serving/model.js';
import type {EngineConnector, FailureEvidence} from '../upstream/engine-connector.js';
import type {EnginePaths} from './engine-paths.js';
import {RelayConnector} from './relay-connector.js';
import type {RelayPeers} from './relay-peers.js';
import {StaggeredConnector} from './staggered-connector.js';

/** What has failed where a request at an engine has: the engine, this instance's path to it, or either. */
export type Fault = 'engine' | 'path' | 'unknown';

/** Time in milliseconds for which a relay holds the connection of a check. */
const checkLifetime = 1000;

/**
 * Time in milliseconds within which a relay answers. A relay that connects to an engine answers much sooner, and others are
 * asked meanwhile; a longer time costs only where a relay has fallen silent.
 */
const relayAnswerTimeout = 1000;

/** How a connection to an engine was established, or what is known about the failure. */
type CheckResult = 'direct' | 'relayed' | FailureEvidence;

/** Time in milliseconds for which the result of a check holds. */
const checkValidity = 1000;

/** An engine to connect to. */
export type ReachedEngine = Pick<EngineRecord, 'id' | 'host' | 'port'>;

/** What a connection is for. */
export type ConnectionPurpose = {
	/** Id of the caller's request, for the log. */
	requestId: string;
	/** Time in milliseconds after which the connection is not needed any more. */
	lifetime: number;
	/** Regions whose instances may relay it; undefined for all. */
	homeRegions?: HomeRegions;
};

/** Options of `EngineLinks`. */
export type EngineLinksOptions = {
	ownIp: string;
	/** Port on which instances relay. */
	relayPort: number;
	paths: EnginePaths;
	relayPeers: RelayPeers;
	connectDirectly: (record: ReachedEngine) => EngineConnector;
};

/** Links of one instance to the engines. */
export class EngineLinks {
	readonly #options: EngineLinksOptions;
	readonly #checks = new Map<string, Promise<CheckResult>>();

	constructor(options: EngineLinksOptions) {
		this.#options = options;
	}

	/** Whether this instance knows that it can reach no engine, neither directly nor through others. */
	get hasNone(): boolean {
		return this.#options.paths.isCutOff && !this.#options.relayPeers.hasAny;
	}

	/** @param isThorough - Whether relays are asked as well where a slow engine seems to be at fault. */
	connectorTo(record: ReachedEngine, purpose: ConnectionPurpose, isThorough = false): EngineConnector {
		const {paths, connectDirectly} = this.#options;
		return new StaggeredConnector({
			engineId: record.id, paths, isThorough, direct: connectDirectly(record),
			nextRelay: asked => this.#nextRelay(record, purpose, asked),
		});
	}

	/**
	 * Resolves with what has failed, by a new connection to the engine. An engine that nobody else could be asked about
	 * has failed.
	 *
	 * @param wasRelayed - Whether the failed request was sent through another instance.
	 */
	async findFault(record: ReachedEngine, purpose: {requestId: string; wasRelayed: boolean}): Promise<Fault> {
		let check = this.#checks.get(record.id);
		if (!check) {
			check = this.#check(record, purpose.requestId);
			this.#checks.set(record.id, check);
			void check.finally(() => {
				setTimeout(() => {
					this.#checks.delete(record.id);
				}, checkValidity).unref();
			});
		}

		const result = await check;
		if (result === 'relayed') {
			// Where the request was relayed as well, the relay may have failed it.
			return purpose.wasRelayed ? 'unknown' : 'path';
		}

		return result === 'unconfirmed' ? 'unknown' : 'engine';
	}

	/** Resolves with whether an engine that refuses connections of this instance may be up all the same. */
	async hasLostPath(engine: ReachedEngine): Promise<boolean> {
		const fault = await this.findFault(engine, {requestId: 'crash-check', wasRelayed: false});
		return fault === 'path' || (fault === 'unknown' && this.#options.paths.isCutOff);
	}

	async #check(record: ReachedEngine, requestId: string): Promise<CheckResult> {
		return new Promise(resolve => {
			this.connectorTo(record, {requestId, lifetime: checkLifetime}, true).connect({
				onConnected(stream, relay) {
					stream.on('error', () => undefined);
					stream.destroy();
					resolve(relay === undefined ? 'direct' : 'relayed');
				},
				onFailure({evidence}) {
					resolve(evidence);
				},
			});
		});
	}

	#nextRelay(record: ReachedEngine, {requestId, lifetime, homeRegions}: ConnectionPurpose, asked: Set<string>): EngineConnector | undefined {
		const {ownIp, relayPort, relayPeers} = this.#options;
		const relay = relayPeers.choose(asked, homeRegions);
		if (relay === undefined) {
			return undefined;
		}

		asked.add(relay);
		return new RelayConnector({
			relay, port: relayPort, localAddress: ownIp, timeout: relayAnswerTimeout,
			request: {engineId: record.id, requestId, lifetime},
			onRefusal(status) {
				if (status === 'unavailable') {
					relayPeers.recordUnavailable(relay);
				}
			},
			onOpen: () => relayPeers.begin(relay),
		});
	}
}
