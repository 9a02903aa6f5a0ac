/**
 * Tells the other instances what this one does, and takes in what they tell.
 *
 * The task owns its socket. Placements go out at once, everything else is gathered for a moment. Each message counts as
 * a heartbeat.
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

/** Times in milliseconds for which placements and all other news are gathered. */
const urgentBatchDelay = 1;
const batchDelay = 60;

/** Time in milliseconds between two heartbeats. */
const heartbeatInterval = 500;

/** Peers that one heartbeat goes to. */
const peersPerHeartbeat = 6;

/** Heartbeats without any message after which a peer's work is forgotten, and after which the peer is. */
const heartbeatsUntilSilent = 4;
const heartbeatsUntilGone = 15;

/** Most peers named in an answer; 350 instances are named within one datagram of 6 KB. */
const maximumListedPeers = 400;

/** Heartbeats between two questions to some peer for the names of all others, which heal a fleet that began in parts. */
const heartbeatsPerPeerListRequest = 20;

/** Greatest size in bytes of rows in one message; larger changes are fetched. */
const maximumDeltaSize = 8192;

/** Most placements in one message to a new peer; with their parts they stay well within a datagram. */
const maximumPlacementsPerDatagram = 100;

/** What the task works with. */
export type PeerMessengerOptions = {
	ip: string;
	/** Port of all instances. */
	port: number;
	/** Name and start of this instance. */
	origin: string;
	book: LoadTracker;
	reputation: EngineHealth;
	log: EventLog;
	/** What goes with each message. */
	replicationStatus: () => Omit<ReplicationStatus, 'deltas'>;
	/** Told of what each message says of tables. */
	onReplicationStatus: (ip: string, spread: ReplicationStatus) => void;
};

type Peer = PeerStatus & {
	origin: string;
	isSilent: boolean;
};

/** News between this instance and the others. */
export class PeerMessenger implements PlacementListener {
	readonly #options: PeerMessengerOptions;
	readonly #socket = dgram.createSocket('udp4');
	readonly #peers = new Map<string, Peer>();
	/** Addresses that have not answered yet, with the number of times that they were asked. */
	readonly #contactAttempts = new Map<string, number>();
	#pendingPlacements: Placement[] = [];
	#pendingStartedKeys: string[] = [];
	#pendingEndedKeys: string[] = [];
	#pendingAvoidedEngines: Array<{engineId: string; duration: number}> = [];
	#pendingEnginePaces: Array<{engineId: string; pace: number}> = [];
	#batchTimer: NodeJS.Timeout | undefined;
	#isBatchUrgent = false;
	#heartbeatTimer: NodeJS.Timeout | undefined;
	#nextPeerIndex = 0;
	#heartbeatCount = 0;

	constructor(options: PeerMessengerOptions) {
		this.#options = options;
	}

	/** Peers heard of lately. */
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

	/** Asks other instances for an answer, so that both know each other. */
	contact(addresses: readonly string[], question: 'answer' | 'names' = 'names'): void {
		for (const address of addresses) {
			if (address !== this.#options.ip && !this.#peers.has(address) && !this.#contactAttempts.has(address)) {
				this.#contactAttempts.set(address, 1);
				this.#sendTo([address], {replyRequest: question});
			}
		}
	}

	/** Tells all peers at once of changes that this instance learned from the store. */
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

	slowdownChanged(engineId: string, pace: number): void {
		this.#pendingEnginePaces.push({engineId, pace});
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
		const news = {
			placed: this.#pendingPlacements, began: this.#pendingStartedKeys, ended: this.#pendingEndedKeys, avoided: this.#pendingAvoidedEngines, paced: this.#pendingEnginePaces,
		};
		this.#pendingPlacements = [];
		this.#pendingStartedKeys = [];
		this.#pendingEndedKeys = [];
		this.#pendingAvoidedEngines = [];
		this.#pendingEnginePaces = [];
		this.#sendTo([...this.#peers.keys()], news);
	}

	#sendTo(addresses: readonly string[], parts: Partial<Omit<PeerDatagram, 'spread'>>, deltas: ReplicationStatus['deltas'] = []): void {
		if (addresses.length === 0) {
			return;
		}

		const {origin, replicationStatus: spread, port, log} = this.#options;
		const bytes = encodeDatagram({
			origin, replication: {...spread(), deltas}, replyRequest: 'nothing', placements: [], startedKeys: [], endedKeys: [], avoidedEngines: [], enginePaces: [], peers: [], ...parts,
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
		this.#options.book.removeExpired(now);
		this.#checkSilentPeers(now);
		const all = [...this.#peers.keys()];
		// All others rely on the instances that follow the store.
		const turn = this.#options.replicationStatus().isStoreWatcher ? all.length : Math.min(peersPerHeartbeat, all.length);
		this.#sendTo(Array.from({length: turn}, (_, index) => all[(this.#nextPeerIndex + index) % all.length]!), {});
		this.#nextPeerIndex = all.length === 0 ? 0 : (this.#nextPeerIndex + turn) % all.length;
		this.#heartbeatCount += 1;
		if (all.length > 0 && this.#heartbeatCount % heartbeatsPerPeerListRequest === 0) {
			this.#sendTo([all[this.#nextPeerIndex]!], {replyRequest: 'names'});
		}

		for (const [address, times] of this.#contactAttempts) {
			if (times >= heartbeatsUntilGone) {
				this.#contactAttempts.delete(address);
			} else {
				this.#contactAttempts.set(address, times + 1);
				this.#sendTo([address], {replyRequest: 'answer'});
			}
		}
	}

	/** Heartbeats go round, so that the time to hear from a peer grows with the number of peers. */
	#checkSilentPeers(now: number): void {
		const round = heartbeatInterval * Math.max(1, Math.ceil(this.#peers.size / peersPerHeartbeat));
		for (const peer of this.#peers.values()) {
			const silence = now - peer.lastMessageAt;
			if (silence > round * heartbeatsUntilSilent && !peer.isSilent) {
				peer.isSilent = true;
				this.#options.book.removeAllOf(`${peer.origin}/`, now);
				this.#options.log.warn('peer.silent', {peer: peer.ip, origin: peer.origin, silence: Math.round(silence)});
			}

			if (silence > round * heartbeatsUntilGone) {
				this.#peers.delete(peer.ip);
				this.#options.log.info('peer.gone', {peer: peer.ip, origin: peer.origin});
			}
		}
	}

	#receive(bytes: Uint8Array, ip: string): void {
		const now = performance.now();
		try {
			const news = decodeDatagram(bytes, now);
			this.#recordPeer(ip, news, now);
			this.#applyDatagram(news, now);
			this.#options.onReplicationStatus(ip, news.replication);
			if (news.replyRequest !== 'nothing') {
				this.#sendTo([ip], {peers: news.replyRequest === 'names' ? [...this.#peers.keys()].slice(0, maximumListedPeers) : []});
			}

			this.contact(news.peers, 'answer');
		} catch (error) {
			this.#options.log.warn('peers.unreadable', {peer: ip, bytes: bytes.length, reason: errorMessage(error)});
		}
	}

	#recordPeer(ip: string, {origin, replication: {isStoreWatcher: follows, canReachStore: reachesStore}}: PeerDatagram, now: number): void {
		this.#contactAttempts.delete(ip);
		const peer = this.#peers.get(ip);
		if (!peer) {
			this.#peers.set(ip, {
				ip, origin, lastMessageAt: now, isSilent: false, isStoreWatcher: follows, canReachStore: reachesStore,
			});
			this.#options.log.info('peer.known', {peer: ip, origin, peers: this.#peers.size});
			this.#sendOwnPlacements(ip);
			return;
		}

		if (peer.origin !== origin) {
			this.#options.book.removeAllOf(`${peer.origin}/`, now);
			this.#options.log.info('peer.restarted', {peer: ip, origin, before: peer.origin});
			peer.origin = origin;
			this.#sendOwnPlacements(ip);
		}

		if (peer.isSilent) {
			this.#options.log.info('peer.regained', {peer: ip, origin});
		}

		peer.lastMessageAt = now;
		peer.isSilent = false;
		peer.isStoreWatcher = follows;
		peer.canReachStore = reachesStore;
	}

	/** Tells a peer that knows nothing yet what this instance has placed. */
	#sendOwnPlacements(ip: string): void {
		const {placements: placed, prefilledKeys: began} = this.#options.book.placementsOf(`${this.#options.origin}/`);
		for (let from = 0; from < placed.length; from += maximumPlacementsPerDatagram) {
			const part = placed.slice(from, from + maximumPlacementsPerDatagram);
			const keys = new Set(part.map(({key}) => key));
			this.#sendTo([ip], {placements: part, startedKeys: began.filter(key => keys.has(key))});
		}
	}

	#applyDatagram({placements: placed, startedKeys: began, endedKeys: ended, avoidedEngines: avoided, enginePaces: paced}: PeerDatagram, now: number): void {
		const {book, reputation} = this.#options;
		for (const placement of placed) {
			book.add(placement, now);
		}

		for (const key of began) {
			book.completePrefill(key, now);
		}

		for (const key of ended) {
			book.remove(key, now);
		}

		for (const {engineId, duration} of avoided) {
			reputation.startCooldown(engineId, duration, now);
		}

		for (const {engineId, pace} of paced) {
			reputation.recordSlowdown(engineId, pace, now);
		}
	}
}
