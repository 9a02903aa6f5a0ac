/**
 * Which other instances exist and which of them have fallen silent.
 *
 * Every instance sends a heartbeat to a few successors on the ring, which monitor it, so that a dead instance is noticed
 * after the same time in a fleet of any size. Its monitors report it to all others, unless they hear nobody and may
 * themselves be cut off; an instance that is reported but runs answers to all. The remaining heartbeats go round all
 * peers and reach those that no longer monitor each other.
 *
 * @module
 */
import {sortOnRing} from '../placement/engine-subsetting.js';
import type {RelayOffer} from '../relay/relay-peers.js';
import type {PeerStatus, TableTimes} from '../watch/store-watcher-selection.js';

/** Time in milliseconds between two rounds of heartbeats. */
export const heartbeatInterval = 500;

/** Successors on the ring that receive each heartbeat of an instance and monitor it. */
const monitorCount = 4;

/** Peers beside the monitors that each round of heartbeats is sent to in turn. */
const rotatingPeersPerHeartbeat = 2;

/** Time in milliseconds without a message after which a monitored peer is silent: four heartbeats, so that a few lost ones make no difference. */
const silenceTimeout = 2000;

/** Time in milliseconds without a message after which a monitored peer is asked for a reply, as it may not know its monitor, and that it then has to reply. */
const probeTimeout = 1000;

/** Time in milliseconds without a message from any peer after which an instance takes itself to be cut off and reports nobody. */
const isolationTimeout = 1000;

/** Time in milliseconds between two checks from which this process itself stood still, so that messages may have arrived that it has not read. */
const standstillThreshold = 2 * heartbeatInterval;

/** Time in milliseconds for which a report counts; a peer that was heard of just before it becomes silent meanwhile. */
const reportLifetime = 2 * silenceTimeout;

/** Time in milliseconds without a message after which a silent peer is forgotten. */
const silenceUntilGone = 15_000;

/** Factor on the time of a whole rotation after which a peer counts as silent even if nobody reports it. */
const rotationsUntilSilent = 4;

/** One other instance. */
export type Peer = PeerStatus & {
	/** Instance name and process start. */
	origin: string;
	isSilent: boolean;
	/** What it has said last about itself as a relay. */
	relayOffer: RelayOffer | undefined;
};

/** One process that is reported as silent. */
export type SilentPeer = {ip: string; origin: string};

/** Result of a check for silent peers. */
export type SilenceCheck = {
	/** Peers that have just fallen silent, to be reported to all unless this instance is isolated. */
	silent: Peer[];
	/** Peers that are taken to be silent because others have reported them. */
	reported: Peer[];
	/** Addresses of peers to ask for a reply. */
	suspects: string[];
	/** Peers that were silent for long and are forgotten. */
	gone: Peer[];
	/** Whether this instance hears nobody. */
	isIsolated: boolean;
};

/** What a message changed. */
export type PeerChange = 'new' | 'restarted' | 'regained' | 'none';

/** Status that a message may carry. */
export type PeerRole = Pick<PeerStatus, 'isStoreWatcher' | 'canReachStore'> & {confirmationAges?: TableTimes | undefined; relayOffer?: RelayOffer | undefined};

const neverConfirmed: TableTimes = [Number.NEGATIVE_INFINITY, Number.NEGATIVE_INFINITY];

/** When the store last answered a peer. Earlier builds do not state it, and count as answered while they say that they reach the store. */
function confirmedAtOf({canReachStore, confirmationAges}: PeerRole, now: number): TableTimes {
	if (confirmationAges) {
		return [now - confirmationAges[0], now - confirmationAges[1]];
	}

	return canReachStore ? [now, now] : neverConfirmed;
}

/** Membership as one instance sees it; all times are monotonic, in milliseconds. */
export class PeerMembership {
	readonly #ownIp: string;
	readonly #peers = new Map<string, Peer>();
	/** Since when this instance has monitored each of its predecessors. */
	readonly #monitoredSince = new Map<string, number>();
	/** Times at which processes were reported as silent, by origin. */
	readonly #reportedAt = new Map<string, number>();
	#ring: readonly string[] | undefined;
	#lastMessageAt = Number.NEGATIVE_INFINITY;
	#nextRotatingPeer = 0;
	#lastCheckAt = Number.POSITIVE_INFINITY;

	constructor(ownIp: string) {
		this.#ownIp = ownIp;
	}

	/** Number of known peers, including silent ones. */
	get size(): number {
		return this.#peers.size;
	}

	get addresses(): string[] {
		return [...this.#peers.keys()];
	}

	/** Peers that are not silent. */
	get alive(): Peer[] {
		return [...this.#peers.values()].filter(({isSilent}) => !isSilent);
	}

	/** IP addresses of the live instances, this one included, in the order of the ring; a new list after each change. */
	get ring(): readonly string[] {
		this.#ring ??= sortOnRing([this.#ownIp, ...this.alive.map(({ip}) => ip)]);
		return this.#ring;
	}

	/** Failure domain of a peer; undefined until it has stated it. */
	failureDomainOf(ip: string): string | undefined {
		return this.#peers.get(ip)?.relayOffer?.failureDomain;
	}

	has(ip: string): boolean {
		return this.#peers.has(ip);
	}

	/** Records a message of a peer. @returns what changed, and the origin of the process that ran there before. */
	recordMessage(ip: string, origin: string, role: PeerRole | undefined, now: number): {change: PeerChange; previousOrigin: string | undefined} {
		this.#lastMessageAt = now;
		const peer = this.#peers.get(ip);
		if (!peer) {
			this.#peers.set(ip, {
				ip, origin, lastMessageAt: now, isSilent: false, isStoreWatcher: role?.isStoreWatcher ?? false, canReachStore: role?.canReachStore ?? false, confirmedAt: role ? confirmedAtOf(role, now) : neverConfirmed, relayOffer: role?.relayOffer,
			});
			this.#ring = undefined;
			return {change: 'new', previousOrigin: undefined};
		}

		const previousOrigin = peer.origin;
		const wasSilent = peer.isSilent;
		peer.lastMessageAt = now;
		peer.origin = origin;
		peer.isSilent = false;
		if (role) {
			peer.isStoreWatcher = role.isStoreWatcher;
			peer.canReachStore = role.canReachStore;
			peer.confirmedAt = confirmedAtOf(role, now);
			if (peer.relayOffer?.failureDomain !== role.relayOffer?.failureDomain) {
				// Which engines an instance uses follows from its failure domain.
				this.#ring = undefined;
			}

			peer.relayOffer = role.relayOffer;
		}

		this.#reportedAt.delete(origin);
		if (wasSilent) {
			this.#ring = undefined;
		}

		if (previousOrigin !== origin) {
			return {change: 'restarted', previousOrigin};
		}

		return {change: wasSilent ? 'regained' : 'none', previousOrigin};
	}

	/** Peers that this round's heartbeat goes to. */
	nextHeartbeatTargets(): readonly string[] {
		const all = this.addresses;
		const rotating = Array.from({length: Math.min(rotatingPeersPerHeartbeat, all.length)}, (_, index) => all[(this.#nextRotatingPeer + index) % all.length]!);
		this.#nextRotatingPeer = all.length === 0 ? 0 : (this.#nextRotatingPeer + rotating.length) % all.length;
		return [...new Set([...this.#neighbours(1), ...rotating])];
	}

	/** Marks the peers that have fallen silent and forgets those that have been silent for long. */
	checkSilence(now: number): SilenceCheck {
		const hasStoodStill = now - this.#lastCheckAt > standstillThreshold;
		this.#lastCheckAt = now;
		if (hasStoodStill) {
			this.#monitoredSince.clear();
		}

		this.#updateMonitoredPeers(now);
		const silent = hasStoodStill ? [] : this.#findSilentPeers(now);
		const reported = hasStoodStill ? [] : this.#findReportedPeers(now).filter(peer => !silent.includes(peer));
		this.#markSilent([...silent, ...reported]);
		this.#removeOldReports(now);
		return {
			silent,
			reported,
			suspects: this.alive.filter(({ip, lastMessageAt}) => this.#monitoredSince.has(ip) && now - lastMessageAt >= probeTimeout).map(({ip}) => ip),
			gone: this.#removeGonePeers(now),
			isIsolated: now - this.#lastMessageAt > isolationTimeout,
		};
	}

	/** Records another instance's report that a process is silent; it takes effect at a check, unless the process is heard of before. */
	recordReport({ip, origin}: SilentPeer, now: number): void {
		const peer = this.#peers.get(ip);
		if (peer?.origin === origin && !peer.isSilent) {
			this.#reportedAt.set(origin, now);
		}
	}

	/** Starts the time of monitoring for new predecessors on the ring and ends it for those that no longer are. */
	#updateMonitoredPeers(now: number): void {
		const predecessors = new Set(this.#neighbours(-1));
		for (const ip of this.#monitoredSince.keys()) {
			if (!predecessors.has(ip)) {
				this.#monitoredSince.delete(ip);
			}
		}

		for (const ip of predecessors) {
			if (!this.#monitoredSince.has(ip)) {
				this.#monitoredSince.set(ip, now);
			}
		}
	}

	/** Monitored peers that neither sent a heartbeat nor replied, and others that were not heard of for several rotations. */
	#findSilentPeers(now: number): Peer[] {
		const rotationTime = heartbeatInterval * Math.ceil(this.#peers.size / rotatingPeersPerHeartbeat);
		return this.alive.filter(({ip, lastMessageAt}) => {
			const silence = now - lastMessageAt;
			const monitoredFor = now - (this.#monitoredSince.get(ip) ?? now);
			return (silence > silenceTimeout && monitoredFor >= probeTimeout) || silence > rotationTime * rotationsUntilSilent;
		});
	}

	/** Peers that were reported by others and have not been heard of since. */
	#findReportedPeers(now: number): Peer[] {
		return this.alive.filter(({origin, lastMessageAt}) => this.#reportedAt.has(origin) && now - lastMessageAt > silenceTimeout);
	}

	#markSilent(peers: readonly Peer[]): void {
		for (const peer of peers) {
			peer.isSilent = true;
			this.#reportedAt.delete(peer.origin);
			this.#ring = undefined;
		}
	}

	#removeOldReports(now: number): void {
		for (const [origin, reportedAt] of this.#reportedAt) {
			if (now - reportedAt > reportLifetime) {
				this.#reportedAt.delete(origin);
			}
		}
	}

	#removeGonePeers(now: number): Peer[] {
		const gone = [...this.#peers.values()].filter(({isSilent, lastMessageAt}) => isSilent && now - lastMessageAt > silenceUntilGone);
		for (const {ip} of gone) {
			this.#peers.delete(ip);
		}

		return gone;
	}

	/** The next live instances on the ring in a direction: successors monitor this one, it monitors its predecessors. */
	#neighbours(direction: 1 | -1): string[] {
		const {ring} = this;
		const own = ring.indexOf(this.#ownIp);
		return Array.from({length: Math.min(monitorCount, ring.length - 1)}, (_, index) => ring[(own + (direction * (index + 1)) + ring.length) % ring.length]!);
	}
}
