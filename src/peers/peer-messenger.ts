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
import {once} from 'node:events';
import {performance} from 'node:perf_hooks';
import {errorMessage} from '../errors/errors.js';
import type {DomainLoadReport} from '../placement/domain-loads.js';
import type {Placement} from '../placement/load-tracker.js';
import type {PlacementListener, RelayedStatement} from '../placement/placement-listener.js';
import type {RelayOffer} from '../relay/relay-peers.js';
import {eventLoop} from '../telemetry/event-loop-monitor.js';
import type {TableDelta} from '../watch/table-replica.js';
import type {ReplicationStatus} from '../watch/table-replication.js';
import type {TableIndex} from './table-transfer.js';
import {discoveryHeartbeats, type FleetKnowledge, FleetSize} from './fleet-size.js';
import {
	decodeDatagram, emptyDatagram, encodeDatagram, type PeerDatagram,
} from './peer-datagram.js';
import {PeerContacts} from './peer-contacts.js';
import {PendingReports} from './pending-reports.js';
import {divideKnowledge} from './knowledge-datagrams.js';
import {chooseLoadReportReceivers} from './load-report-receivers.js';
import type {QuarantineGossip, QuarantineParts} from './quarantine-gossip.js';
import {applyReports, type ReportTargets} from './report-receiver.js';
import {heartbeatInterval, type Peer, PeerMembership} from './peer-membership.js';

/** Time in milliseconds for which reports are collected into one batch: urgent ones (placements, engines to avoid) and all others. */
const urgentBatchDelay = 1;
const batchDelay = 60;

/** Most addresses in a peer list; those of 350 instances fit into one datagram of 6 KB. */
const maximumListedPeers = 400;

/** Shortest time in milliseconds between two broadcasts with which this instance answers reports that it is silent. */
const minimumRefutationInterval = 1000;

/** Rounds of heartbeats between two requests for the peer list of some peer; they join the parts of a fleet that started up partitioned. */
const heartbeatsPerPeerListRequest = 20;

/** Heartbeats between two reports of loads, so that an instance hears of each other domain about once a second. */
const heartbeatsPerLoadReport = 2;

/** Greatest size in bytes of the rows in one datagram; peers fetch the table after a larger change. */
const maximumDeltaSize = 8192;

/** Options of a `PeerMessenger`. */
export type PeerMessengerOptions = ReportTargets & {
	ip: string;
	/** UDP port, the same at all instances. */
	port: number;
	/** Name and process start of this instance; prefix of the keys of its placements. */
	origin: string;
	quarantineGossip: QuarantineGossip;
	/** IP addresses of the instances that are to know a placement of this instance now. */
	subscribersOf: (placement: Placement) => readonly string[];
	/** Status included in heartbeats, replies and changes of tables; datagrams that only report placements leave it out. */
	replicationStatus: () => Omit<ReplicationStatus, 'deltas'>;
	/** What this instance says about itself as a relay. */
	relayOffer: () => RelayOffer;
	/** Loads of the engines of this instance's failure domain; undefined where it reports none. */
	reportDomainLoads: () => DomainLoadReport | undefined;
	/** Called with the status of each received datagram that has one. */
	onReplicationStatus: (ip: string, status: ReplicationStatus) => void;
};

/** Sends the reports of this instance to its peers and processes theirs. */
export class PeerMessenger implements PlacementListener {
	readonly #options: PeerMessengerOptions;
	readonly #socket = dgram.createSocket('udp4');
	readonly #membership: PeerMembership;
	readonly #fleetSize = new FleetSize(performance.now());
	readonly #contacts = new PeerContacts();
	readonly #pendingReports = new PendingReports();
	/** Peers that were told of each placement of this instance. */
	readonly #subscribersByKey = new Map<string, readonly string[]>();
	#batchTimer: NodeJS.Timeout | undefined;
	#isBatchUrgent = false;
	#heartbeatTimer: NodeJS.Timeout | undefined;
	#heartbeatCount = 0;
	#lastRefutationAt = Number.NEGATIVE_INFINITY;
	#lastAnnouncementAt = Number.NEGATIVE_INFINITY;
	#isClosed = false;

	constructor(options: PeerMessengerOptions) {
		this.#options = options;
		this.#membership = new PeerMembership(options.ip);
		this.#socket.on('message', (bytes, {address}) => {
			eventLoop.recordTurn();
			this.#receive(bytes, address);
		});
	}

	/** Number of known peers, including silent ones that are not yet removed. */
	get peerCount(): number {
		return this.#membership.size;
	}

	get fleet(): FleetKnowledge {
		return this.#fleetSize.knowledge(this.peerCount, performance.now());
	}

	/** Peers that are not silent. */
	get alivePeers(): Peer[] {
		return this.#membership.alive;
	}

	/** IP addresses of the live instances, this one included, in the order of the ring; a new list after each change. */
	get ring(): readonly string[] {
		return this.#membership.ring;
	}

	/** Failure domain of a peer; undefined until it has stated it. */
	failureDomainOf(ip: string): string | undefined {
		return this.#membership.failureDomainOf(ip);
	}

	/** @throws the error of the socket where the address cannot be bound; it may be started again then. */
	async start(): Promise<void> {
		const {ip, port, log} = this.#options;
		const opened = once(this.#socket, 'listening');
		this.#socket.bind(port, ip);
		await opened;
		this.#socket.on('error', error => {
			log.error('peers.socket-failed', {reason: error.message});
		});
		this.#heartbeatTimer = eventLoop.setInterval(() => {
			this.#sendHeartbeats();
		}, heartbeatInterval);
	}

	close(): void {
		this.#isClosed = true;
		clearInterval(this.#heartbeatTimer);
		clearTimeout(this.#batchTimer);
		this.#socket.close();
	}

	/** Asks unknown instances for a reply, so that both know each other. */
	contact(addresses: readonly string[], replyRequest: 'reply' | 'peer-list' = 'peer-list'): void {
		for (const address of addresses) {
			if (address !== this.#options.ip && !this.#membership.has(address) && this.#contacts.add(address, replyRequest)) {
				this.#sendStatusTo([address], {replyRequest});
			}
		}
	}

	/** Sends changes that this instance received from the store to all peers at once. */
	broadcastDelta(table: TableIndex, delta: TableDelta): void {
		const size = delta.rows.reduce((sum, {key, value}) => sum + key.length + (value?.length ?? 0), 0);
		this.#sendStatusTo(this.#membership.addresses, {}, size <= maximumDeltaSize ? [{...delta, table}] : []);
	}

	/** Sends the state of this instance to all peers at once, unless that was done within a heartbeat: the next one carries it. */
	announce(): void {
		const now = performance.now();
		if (now - this.#lastAnnouncementAt >= heartbeatInterval) {
			this.#lastAnnouncementAt = now;
			this.#sendStatusTo(this.#membership.addresses, {});
		}
	}

	/** Sends reports that concern the quarantine to all peers at once. */
	broadcastQuarantine(parts: QuarantineParts): void {
		this.#sendTo(this.#membership.addresses, parts);
	}

	placed(placement: Placement, subscribers: readonly string[]): void {
		this.#subscribersByKey.set(placement.key, subscribers);
		this.#pendingReports.for(subscribers).placements.push(placement);
		this.#scheduleSend(true);
	}

	prefillCompleted(key: string): void {
		this.#pendingReports.for(this.#subscribersByKey.get(key) ?? []).startedKeys.push(key);
		this.#scheduleSend(false);
	}

	ended(key: string): void {
		this.#pendingReports.for(this.#subscribersByKey.get(key) ?? []).endedKeys.push(key);
		this.#subscribersByKey.delete(key);
		this.#scheduleSend(false);
	}

	cooldownStarted(engineId: string, duration: number, subscribers: readonly string[]): void {
		this.#pendingReports.for(subscribers).avoidedEngines.push({engineId, duration});
		this.#scheduleSend(true);
	}

	slowdownChanged(engineId: string, slowdown: number, subscribers: readonly string[]): void {
		this.#pendingReports.for(subscribers).engineSlowdowns.push({engineId, slowdown, observedAt: performance.now()});
		this.#scheduleSend(false);
	}

	limitStated(engineId: string, limit: number | undefined, subscribers: readonly string[]): void {
		this.#pendingReports.for(subscribers).engineLimits.push({engineId, limit});
		this.#scheduleSend(true);
	}

	availabilityRelayed(relay: string | undefined, statement: RelayedStatement): void {
		this.#sendTo(relay === undefined ? this.#membership.addresses : [relay], {relayedStatements: [statement]});
	}

	#scheduleSend(isUrgent: boolean): void {
		if (this.#batchTimer && (this.#isBatchUrgent || !isUrgent)) {
			return;
		}

		clearTimeout(this.#batchTimer);
		this.#isBatchUrgent = isUrgent;
		this.#batchTimer = setTimeout(() => {
			this.#batchTimer = undefined;
			this.#sendReports();
		}, isUrgent ? urgentBatchDelay : batchDelay);
	}

	#sendReports(): void {
		for (const [subscribers, batch] of this.#pendingReports.takeAll()) {
			this.#sendTo(subscribers, batch);
		}
	}

	/** Sends a datagram with the state of this instance's tables. */
	#sendStatusTo(addresses: readonly string[], parts: Partial<PeerDatagram>, deltas: ReplicationStatus['deltas'] = []): void {
		const {replicationStatus, relayOffer} = this.#options;
		this.#sendTo(addresses, {...parts, replication: {...replicationStatus(), deltas}, relayOffer: relayOffer()});
	}

	#sendTo(addresses: readonly string[], parts: Partial<PeerDatagram>): void {
		if (addresses.length === 0 || this.#isClosed) {
			return;
		}

		const {origin, port, log} = this.#options;
		const bytes = encodeDatagram({...emptyDatagram(origin), ...parts}, performance.now());
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
		const {loadTracker, quarantine, quarantineGossip} = this.#options;
		loadTracker.removeExpired(now);
		this.#checkSilentPeers(now);
		const all = this.#membership.addresses;
		this.#fleetSize.recordAddresses(all, now);
		// A store watcher sends to all peers, as they depend on hearing from the watchers.
		this.#sendStatusTo(this.#options.replicationStatus().isStoreWatcher ? all : this.#membership.nextHeartbeatTargets(), quarantineGossip.heartbeatParts(quarantine.entries));
		// An instance that has just started knows too few placements to report the loads of its domain.
		const domainLoads = this.#heartbeatCount > discoveryHeartbeats && this.#heartbeatCount % heartbeatsPerLoadReport === 0 ? this.#options.reportDomainLoads() : undefined;
		this.#sendTo(chooseLoadReportReceivers(this.alivePeers, domainLoads, Math.random), {domainLoads});
		this.#heartbeatCount += 1;
		if (all.length > 0 && this.#heartbeatCount % heartbeatsPerPeerListRequest === 0) {
			this.#sendStatusTo([all[this.#heartbeatCount / heartbeatsPerPeerListRequest % all.length]!], {replyRequest: 'peer-list'});
		}

		// Where all instances start at once, the first contacts knew few others at first.
		if (this.#heartbeatCount <= discoveryHeartbeats) {
			this.#sendStatusTo(this.#contacts.firstContacts.filter(address => this.#membership.has(address)), {replyRequest: 'peer-list'});
		}

		for (const {address, replyRequest} of this.#contacts.nextRound()) {
			this.#sendStatusTo([address], {replyRequest});
		}
	}

	#checkSilentPeers(now: number): void {
		const {log} = this.#options;
		const {silent, reported, suspects, gone, isIsolated} = this.#membership.checkSilence(now);
		for (const peer of [...silent, ...reported]) {
			this.#options.loadTracker.removeAllOf(`${peer.origin}/`, now);
			log.warn('peer.silent', {
				peer: peer.ip, origin: peer.origin, silence: Math.round(now - peer.lastMessageAt), noticed_by: silent.includes(peer) ? 'own' : 'reports',
			});
		}

		for (const {ip, origin} of gone) {
			log.info('peer.gone', {peer: ip, origin});
		}

		this.#sendStatusTo(suspects, {replyRequest: 'reply'});
		if (silent.length > 0 && !isIsolated) {
			this.#sendStatusTo(this.#membership.addresses, {silentPeers: silent.map(({ip, origin}) => ({ip, origin})).slice(0, maximumListedPeers)});
		}
	}

	#receive(bytes: Uint8Array, ip: string): void {
		const now = performance.now();
		try {
			const datagram = decodeDatagram(bytes, now);
			this.#recordPeer(ip, datagram, now);
			applyReports(datagram, ip, this.#options, now);
			this.#applySilenceReports(ip, datagram.silentPeers, now);
			if (datagram.replication) {
				this.#options.onReplicationStatus(ip, datagram.replication);
			}

			if (datagram.replyRequest !== 'none') {
				this.#sendStatusTo([ip], {
					peers: datagram.replyRequest === 'peer-list' ? this.#membership.addresses.slice(0, maximumListedPeers) : [],
					fleetSize: this.#fleetSize.sizeToState(this.peerCount, now),
				});
			}

			if (datagram.fleetSize !== undefined) {
				this.#fleetSize.recordStatedSize(datagram.fleetSize, performance.now());
			}

			this.contact(datagram.peers, 'reply');
		} catch (error) {
			this.#options.log.warn('peers.unreadable', {peer: ip, bytes: bytes.length, reason: errorMessage(error)});
		}
	}

	#recordPeer(ip: string, {origin, replication, relayOffer}: PeerDatagram, now: number): void {
		const {log, loadTracker} = this.#options;
		this.#contacts.recordReply(ip);
		const {change, previousOrigin} = this.#membership.recordMessage(ip, origin, replication && {...replication, relayOffer}, now);
		switch (change) {
			case 'new': {
				this.#fleetSize.recordNewPeer(now, this.peerCount);
				log.info('peer.known', {peer: ip, origin, peers: this.#membership.size});
				this.#sendKnowledge(ip);
				break;
			}

			case 'restarted': {
				loadTracker.removeAllOf(`${previousOrigin}/`, now);
				log.info('peer.restarted', {peer: ip, origin, before: previousOrigin});
				this.#sendKnowledge(ip);
				break;
			}

			case 'regained': {
				log.info('peer.regained', {peer: ip, origin});
				break;
			}

			case 'none': {
				break;
			}
		}
	}

	/** Sends all placements of this instance that a peer is told of, the known limits of engines and the quarantine list, for a new or restarted one. */
	#sendKnowledge(ip: string): void {
		const {loadTracker, origin, subscribersOf} = this.#options;
		const {placements, prefilledKeys} = loadTracker.placementsOf(`${origin}/`);
		const told = placements.filter(placement => subscribersOf(placement).includes(ip));
		for (const {key} of told) {
			const subscribers = this.#subscribersByKey.get(key) ?? [];
			this.#subscribersByKey.set(key, subscribers.includes(ip) ? subscribers : [...subscribers, ip]);
		}

		for (const parts of divideKnowledge({...this.#options, placements: told, prefilledKeys})) {
			this.#sendTo([ip], parts);
		}
	}

	/** Takes over reports of silent processes. One that names this process is answered by a message to all, which ends the silence. */
	#applySilenceReports(reporter: string, silentPeers: PeerDatagram['silentPeers'], now: number): void {
		for (const reported of silentPeers) {
			if (reported.origin === this.#options.origin) {
				this.#refuteSilence(reporter, now);
			} else {
				this.#membership.recordReport(reported, now);
			}
		}
	}

	#refuteSilence(reporter: string, now: number): void {
		if (now - this.#lastRefutationAt < minimumRefutationInterval) {
			return;
		}

		this.#lastRefutationAt = now;
		this.#options.log.warn('peer.reported-silent', {by: reporter});
		for (const ip of this.#membership.addresses) {
			this.#sendStatusTo([ip], {});
			this.#sendKnowledge(ip);
		}
	}
}
