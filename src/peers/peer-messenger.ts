/**
 * Exchanges datagrams with the other instances over its own UDP socket: placements, engine observations, table status
 * and heartbeats.
 *
 * Placements and engines to avoid are sent almost at once, other reports in batches. Every datagram counts as a
 * heartbeat.
 *
 * @module
 */
import dgram from 'node:dgram';
import {performance} from 'node:perf_hooks';
import {errorMessage} from '../errors/errors.js';
import type {EngineHealth} from '../placement/engine-health.js';
import type {LoadTracker, Placement} from '../placement/load-tracker.js';
import type {PlacementListener} from '../placement/placement-coordinator.js';
import type {EventLog} from '../telemetry/log.js';
import type {PeerStatus} from '../watch/store-watcher-selection.js';
import type {TableDelta} from '../watch/table-replica.js';
import type {ReplicationStatus} from '../watch/table-replication.js';
import type {TableIndex} from './table-transfer.js';
import {decodeDatagram, encodeDatagram, type PeerDatagram} from './peer-datagram.js';

/** Time in milliseconds for which reports are collected into one batch: urgent ones (placements, engines to avoid) and all others. */
const urgentBatchDelay = 1;
const batchDelay = 60;

/** Time in milliseconds between two rounds of heartbeats. */
const heartbeatInterval = 500;

/** Number of peers that each round of heartbeats is sent to. */
const peersPerHeartbeat = 6;

/** Missed heartbeats after which a peer's placements are dropped, and after which the peer is removed or no longer contacted. */
const heartbeatsUntilSilent = 4;
const heartbeatsUntilGone = 15;

/** Most addresses in a peer list; those of 350 instances fit into one datagram of 6 KB. */
const maximumListedPeers = 400;

/** Rounds of heartbeats between two requests for the peer list of some peer; they join the parts of a fleet that started up partitioned. */
const heartbeatsPerPeerListRequest = 20;

/** Greatest size in bytes of the rows in one datagram; peers fetch the table after a larger change. */
const maximumDeltaSize = 8192;

/** Most placements in one datagram to a new peer; with their parts they stay well below the size limit of a datagram. */
const maximumPlacementsPerDatagram = 100;

/** Options of a `PeerMessenger`. */
export type PeerMessengerOptions = {
	ip: string;
	/** UDP port, the same at all instances. */
	port: number;
	/** Name and process start of this instance; prefix of the keys of its placements. */
	origin: string;
	loadTracker: LoadTracker;
	engineHealth: EngineHealth;
	log: EventLog;
	/** Status included in each datagram. */
	replicationStatus: () => Omit<ReplicationStatus, 'deltas'>;
	/** Called with the status in each received datagram. */
	onReplicationStatus: (ip: string, status: ReplicationStatus) => void;
};

type Peer = PeerStatus & {
	origin: string;
	isSilent: boolean;
};

/** Sends the reports of this instance to its peers and processes theirs. */
export class PeerMessenger implements PlacementListener {
	readonly #options: PeerMessengerOptions;
	readonly #socket = dgram.createSocket('udp4');
	readonly #peers = new Map<string, Peer>();
	/** Addresses that have not replied yet, with the number of attempts to contact them. */
	readonly #contactAttempts = new Map<string, number>();
	#pendingPlacements: Placement[] = [];
	#pendingStartedKeys: string[] = [];
	#pendingEndedKeys: string[] = [];
	#pendingAvoidedEngines: Array<{engineId: string; duration: number}> = [];
	#pendingEngineSlowdowns: Array<{engineId: string; slowdown: number}> = [];
	#batchTimer: NodeJS.Timeout | undefined;
	#isBatchUrgent = false;
	#heartbeatTimer: NodeJS.Timeout | undefined;
	#nextPeerIndex = 0;
	#heartbeatCount = 0;

	constructor(options: PeerMessengerOptions) {
		this.#options = options;
	}

	/** Number of known peers, including silent ones that are not yet removed. */
	get peerCount(): number {
		return this.#peers.size;
	}

	/** Peers that are not silent. */
	get alivePeers(): PeerStatus[] {
		return [...this.#peers.values()].filter(({isSilent}) => !isSilent);
	}

	async start(): Promise<void> {
		const {ip, port, log} = this.#options;
		this.#socket.on('message', (bytes, {address}) => {
			this.#receive(bytes, address);
		});
		this.#socket.on('error', error => {
			log.error('peers.socket-failed', {reason: error.message});
		});
		await new Promise<void>(resolve => {
			this.#socket.bind(port, ip, resolve);
		});
		this.#heartbeatTimer = setInterval(() => {
			this.#sendHeartbeats();
		}, heartbeatInterval);
	}

	close(): void {
		clearInterval(this.#heartbeatTimer);
		clearTimeout(this.#batchTimer);
		this.#socket.close();
	}

	/** Asks unknown instances for a reply, so that both know each other. */
	contact(addresses: readonly string[], replyRequest: 'reply' | 'peer-list' = 'peer-list'): void {
		for (const address of addresses) {
			if (address !== this.#options.ip && !this.#peers.has(address) && !this.#contactAttempts.has(address)) {
				this.#contactAttempts.set(address, 1);
				this.#sendTo([address], {replyRequest});
			}
		}
	}

	/** Sends changes that this instance received from the store to all peers at once. */
	broadcastDelta(table: TableIndex, delta: TableDelta): void {
		const size = delta.rows.reduce((sum, {key, value}) => sum + key.length + (value?.length ?? 0), 0);
		this.#sendTo([...this.#peers.keys()], {}, size <= maximumDeltaSize ? [{...delta, table}] : []);
	}

	placed(placement: Placement): void {
		this.#pendingPlacements.push(placement);
		this.#scheduleSend(true);
	}

	prefillCompleted(key: string): void {
		this.#pendingStartedKeys.push(key);
		this.#scheduleSend(false);
	}

	ended(key: string): void {
		this.#pendingEndedKeys.push(key);
		this.#scheduleSend(false);
	}

	cooldownStarted(engineId: string, duration: number): void {
		this.#pendingAvoidedEngines.push({engineId, duration});
		this.#scheduleSend(true);
	}

	slowdownChanged(engineId: string, slowdown: number): void {
		this.#pendingEngineSlowdowns.push({engineId, slowdown});
		this.#scheduleSend(false);
	}

	#scheduleSend(isUrgent: boolean): void {
		if (this.#batchTimer && (this.#isBatchUrgent || !isUrgent)) {
			return;
		}

		clearTimeout(this.#batchTimer);
		this.#isBatchUrgent = isUrgent;
		this.#batchTimer = setTimeout(() => {
			this.#batchTimer = undefined;
			this.#sendBatch();
		}, isUrgent ? urgentBatchDelay : batchDelay);
	}

	#sendBatch(): void {
		const batch = {
			placements: this.#pendingPlacements, startedKeys: this.#pendingStartedKeys, endedKeys: this.#pendingEndedKeys,
			avoidedEngines: this.#pendingAvoidedEngines, engineSlowdowns: this.#pendingEngineSlowdowns,
		};
		this.#pendingPlacements = [];
		this.#pendingStartedKeys = [];
		this.#pendingEndedKeys = [];
		this.#pendingAvoidedEngines = [];
		this.#pendingEngineSlowdowns = [];
		this.#sendTo([...this.#peers.keys()], batch);
	}

	#sendTo(addresses: readonly string[], parts: Partial<Omit<PeerDatagram, 'replication'>>, deltas: ReplicationStatus['deltas'] = []): void {
		if (addresses.length === 0) {
			return;
		}

		const {origin, replicationStatus, port, log} = this.#options;
		const bytes = encodeDatagram({
			origin, replication: {...replicationStatus(), deltas}, replyRequest: 'none', placements: [], startedKeys: [], endedKeys: [], avoidedEngines: [], engineSlowdowns: [], peers: [], ...parts,
		}, performance.now());
		for (const address of addresses) {
			this.#socket.send(bytes, port, address, error => {
				if (error) {
					log.debug('peers.send-failed', {peer: address, reason: error.message});
				}
			});
		}
	}

	#sendHeartbeats(): void {
		const now = performance.now();
		this.#options.loadTracker.removeExpired(now);
		this.#checkSilentPeers(now);
		const all = [...this.#peers.keys()];
		// A store watcher sends to all peers, as they depend on hearing from the watchers.
		const count = this.#options.replicationStatus().isStoreWatcher ? all.length : Math.min(peersPerHeartbeat, all.length);
		this.#sendTo(Array.from({length: count}, (_, index) => all[(this.#nextPeerIndex + index) % all.length]!), {});
		this.#nextPeerIndex = all.length === 0 ? 0 : (this.#nextPeerIndex + count) % all.length;
		this.#heartbeatCount += 1;
		if (all.length > 0 && this.#heartbeatCount % heartbeatsPerPeerListRequest === 0) {
			this.#sendTo([all[this.#nextPeerIndex]!], {replyRequest: 'peer-list'});
		}

		for (const [address, attempts] of this.#contactAttempts) {
			if (attempts >= heartbeatsUntilGone) {
				this.#contactAttempts.delete(address);
			} else {
				this.#contactAttempts.set(address, attempts + 1);
				this.#sendTo([address], {replyRequest: 'reply'});
			}
		}
	}

	/** Heartbeats are sent round-robin, so the time between two heartbeats of a peer grows with the number of peers. */
	#checkSilentPeers(now: number): void {
		const expectedInterval = heartbeatInterval * Math.max(1, Math.ceil(this.#peers.size / peersPerHeartbeat));
		for (const peer of this.#peers.values()) {
			const silence = now - peer.lastMessageAt;
			if (silence > expectedInterval * heartbeatsUntilSilent && !peer.isSilent) {
				peer.isSilent = true;
				this.#options.loadTracker.removeAllOf(`${peer.origin}/`, now);
				this.#options.log.warn('peer.silent', {peer: peer.ip, origin: peer.origin, silence: Math.round(silence)});
			}

			if (silence > expectedInterval * heartbeatsUntilGone) {
				this.#peers.delete(peer.ip);
				this.#options.log.info('peer.gone', {peer: peer.ip, origin: peer.origin});
			}
		}
	}

	#receive(bytes: Uint8Array, ip: string): void {
		const now = performance.now();
		try {
			const datagram = decodeDatagram(bytes, now);
			this.#recordPeer(ip, datagram, now);
			this.#applyDatagram(datagram, now);
			this.#options.onReplicationStatus(ip, datagram.replication);
			if (datagram.replyRequest !== 'none') {
				this.#sendTo([ip], {peers: datagram.replyRequest === 'peer-list' ? [...this.#peers.keys()].slice(0, maximumListedPeers) : []});
			}

			this.contact(datagram.peers, 'reply');
		} catch (error) {
			this.#options.log.warn('peers.unreadable', {peer: ip, bytes: bytes.length, reason: errorMessage(error)});
		}
	}

	#recordPeer(ip: string, {origin, replication: {isStoreWatcher, canReachStore}}: PeerDatagram, now: number): void {
		this.#contactAttempts.delete(ip);
		const peer = this.#peers.get(ip);
		if (!peer) {
			this.#peers.set(ip, {
				ip, origin, lastMessageAt: now, isSilent: false, isStoreWatcher, canReachStore,
			});
			this.#options.log.info('peer.known', {peer: ip, origin, peers: this.#peers.size});
			this.#sendOwnPlacements(ip);
			return;
		}

		if (peer.origin !== origin) {
			this.#options.loadTracker.removeAllOf(`${peer.origin}/`, now);
			this.#options.log.info('peer.restarted', {peer: ip, origin, before: peer.origin});
			peer.origin = origin;
			this.#sendOwnPlacements(ip);
		}

		if (peer.isSilent) {
			this.#options.log.info('peer.regained', {peer: ip, origin});
		}

		peer.lastMessageAt = now;
		peer.isSilent = false;
		peer.isStoreWatcher = isStoreWatcher;
		peer.canReachStore = canReachStore;
	}

	/** Sends all placements of this instance to a new or restarted peer. */
	#sendOwnPlacements(ip: string): void {
		const {placements, prefilledKeys} = this.#options.loadTracker.placementsOf(`${this.#options.origin}/`);
		for (let offset = 0; offset < placements.length; offset += maximumPlacementsPerDatagram) {
			const part = placements.slice(offset, offset + maximumPlacementsPerDatagram);
			const keys = new Set(part.map(({key}) => key));
			this.#sendTo([ip], {placements: part, startedKeys: prefilledKeys.filter(key => keys.has(key))});
		}
	}

	#applyDatagram({placements, startedKeys, endedKeys, avoidedEngines, engineSlowdowns}: PeerDatagram, now: number): void {
		const {loadTracker, engineHealth} = this.#options;
		for (const placement of placements) {
			loadTracker.add(placement, now);
		}

		for (const key of startedKeys) {
			loadTracker.completePrefill(key, now);
		}

		for (const key of endedKeys) {
			loadTracker.remove(key, now);
		}

		for (const {engineId, duration} of avoidedEngines) {
			engineHealth.startCooldown(engineId, duration, now);
		}

		for (const {engineId, slowdown} of engineSlowdowns) {
			engineHealth.recordSlowdown(engineId, slowdown, now);
		}
	}
}
