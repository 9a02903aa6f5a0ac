import {DomainLoads} from '../../placement/domain-loads.js';
import {EngineHealth} from '../../placement/engine-health.js';
import {EngineRateLimits} from '../../placement/engine-rate-limits.js';
import {EngineSpeed} from '../../placement/engine-speed.js';
import {LoadTracker} from '../../placement/load-tracker.js';
import type {RelayedStatement} from '../../placement/placement-listener.js';
import {createQuarantine} from '../../quarantine/__tests__/support.js';
import type {RequestQuarantine} from '../../quarantine/request-quarantine.js';
import {EventLog} from '../../telemetry/log.js';
import {QuarantineGossip} from '../quarantine-gossip.js';
import {PeerMessenger} from '../peer-messenger.js';

/** UDP port of all instances; each has its own loopback address. */
const port = 18_900;

/** @param recordReceived - Called with each datagram that states the tables of its sender. */
export function createInstance(subnet: number, number: number, recordReceived: () => void = () => undefined) {
	const loadTracker = new LoadTracker();
	const log = new EventLog({write: () => undefined});
	const rateLimits = new EngineRateLimits({
		ownIp: `127.${subnet}.0.${number}`, users: () => [], reachableShare: () => 1, log,
	});
	const ip = `127.${subnet}.0.${number}`;
	const quarantineGossip = new QuarantineGossip(parts => {
		messenger.broadcastQuarantine(parts);
	});
	const relayedStatements: RelayedStatement[] = [];
	const quarantine: RequestQuarantine = createQuarantine({listener: quarantineGossip});
	const messenger: PeerMessenger = new PeerMessenger({
		quarantine, quarantineGossip,
		subscribersOf: () => messenger.alivePeers.map(peer => peer.ip),
		ip, port, origin: `instance-${number}~1`, loadTracker, engineHealth: new EngineHealth(), engineSpeed: new EngineSpeed(), rateLimits, log,
		replicationStatus: () => ({
			isStoreWatcher: true, canReachStore: true, isRecoveringFromOutage: false, digests: [{era: 0, version: 0, checksum: 0}, {era: 0, version: 0, checksum: 0}],
		}),
		relayOffer: () => ({failureDomain: 'a', isAvailable: true}),
		domainLoads: new DomainLoads(), reportDomainLoads: () => undefined,
		recordAvailability(statement) {
			relayedStatements.push(statement);
		},
		onReplicationStatus: recordReceived,
	});
	return {
		ip, messenger, loadTracker, rateLimits, quarantine, relayedStatements,
	};
}
