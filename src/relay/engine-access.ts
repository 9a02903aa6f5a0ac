/**
 * One instance's access to the engines: its direct paths, the instances that relay for it, and its relaying for others.
 *
 * @module
 */
import type {MemoryBudget} from '../memory/memory-budget.js';
import type {EngineRecord} from '../serving/model.js';
import type {EventLog} from '../telemetry/log.js';
import {DirectConnector, type DirectConnectorOptions, type EngineConnector} from '../upstream/engine-connector.js';
import {EngineLinks} from './engine-links.js';
import {EnginePaths} from './engine-paths.js';
import {type RelayCandidate, type RelayOffer, RelayPeers} from './relay-peers.js';
import {RelayServer} from './relay-server.js';

/** Options of an `EngineAccess`. */
export type EngineAccessOptions = {
	ownIp: string;
	failureDomain: string;
	/** Region of each failure domain. */
	regions?: ReadonlyMap<string, string> | undefined;
	/** Port on which instances relay, the same at all of them. */
	relayPort: number;
	log: EventLog;
	/** Bounds the bytes that wait in connections that this instance relays. */
	memory: MemoryBudget;
	engine: (id: string) => EngineRecord | undefined;
	/** Engines of all services that accept new requests. */
	readyEngines: () => readonly EngineRecord[];
	/** Whether an engine has neither left nor asked this instance for a pause. */
	isAccepting: (record: EngineRecord) => boolean;
	/** Live instances other than this one. */
	peers: () => readonly RelayCandidate[];
	/** Whether this instance is not about to leave. */
	isServing: () => boolean;
	/** Called when this instance begins or ceases to be of use as a relay. */
	onOfferChange: () => void;
	/**
	 * Opens connections over this instance's own network path.
	 * @default DirectConnector
	 */
	connectDirectly?: (options: DirectConnectorOptions) => EngineConnector;
};

/** Access of one instance. */
export class EngineAccess {
	readonly links: EngineLinks;
	readonly #options: EngineAccessOptions;
	readonly #paths: EnginePaths;
	readonly #server: RelayServer;

	constructor(options: EngineAccessOptions) {
		this.#options = options;
		const {ownIp, failureDomain, regions, relayPort, log, memory, engine, readyEngines, isAccepting, peers, onOfferChange} = options;
		this.#paths = new EnginePaths({
			log, engine, readyEngines, connectDirectly: this.connectDirectly.bind(this), onCutOffChange: onOfferChange,
		});
		const relayPeers = new RelayPeers({failureDomain, regions, candidates: peers});
		this.links = new EngineLinks({
			ownIp, relayPort, paths: this.#paths, relayPeers, connectDirectly: this.connectDirectly.bind(this),
		});
		this.#server = new RelayServer({
			log, memory, paths: this.#paths,
			isPeer: ip => peers().some(peer => peer.ip === ip),
			acceptingEngine(id) {
				const record = engine(id);
				return record && isAccepting(record) ? record : undefined;
			},
			connectDirectly: record => this.connectDirectly(record),
			isAvailable: () => this.offer.isAvailable,
		});
	}

	/** What this instance says about itself as a relay. */
	get offer(): RelayOffer {
		return {failureDomain: this.#options.failureDomain, isAvailable: this.#options.isServing() && !this.#paths.isCutOff};
	}

	/** Number of connections that this instance relays now. */
	get relayCount(): number {
		return this.#server.activeCount;
	}

	/** Number of engines that this instance reaches through others alone. */
	get brokenPathCount(): number {
		return this.#paths.brokenCount;
	}

	/** @throws the error of the socket where the address cannot be bound. */
	async listen(): Promise<void> {
		await this.#server.listen(this.#options.ownIp, this.#options.relayPort);
	}

	close(): void {
		this.#server.close();
		this.#paths.close();
	}

	/** Forgets the path to an engine that has left or started anew. */
	forget(engineId: string): void {
		this.#paths.forget(engineId);
	}

	/** @param timeout - In milliseconds. */
	connectDirectly({host, port}: Pick<EngineRecord, 'host' | 'port'>, timeout?: number): EngineConnector {
		const target = {
			host, port, timeout, localAddress: this.#options.ownIp,
		};
		return this.#options.connectDirectly?.(target) ?? new DirectConnector(target);
	}
}
