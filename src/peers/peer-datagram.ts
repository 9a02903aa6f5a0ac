/**
 * Datagrams in which instances report their work to each other: a CBOR array that begins with a version number.
 *
 * @module
 */
import {Encoder} from 'cbor-x';
import type {DomainLoadReport} from '../placement/domain-loads.js';
import type {Placement} from '../placement/load-tracker.js';
import type {EngineCrash} from '../quarantine/crash-evidence.js';
import type {QuarantineEntry} from '../quarantine/quarantine-list.js';
import type {SoundReport} from '../quarantine/soundness-reports.js';
import type {RelayedStatement} from '../placement/placement-listener.js';
import type {RelayOffer} from '../relay/relay-peers.js';
import type {RowChange} from '../watch/row-source.js';
import type {TableDigest} from '../watch/table-replica.js';
import type {TableTimes} from '../watch/store-watcher-selection.js';
import type {ReplicationStatus} from '../watch/table-replication.js';
import {
	asCount, asList, asNumber, asText, DatagramError,
} from './datagram-fields.js';
import type {SilentPeer} from './peer-membership.js';

/** Version of the datagram format. */
const formatVersion = 2;

const codec = new Encoder({useRecords: false, tagUint8Array: false, mapsAsObjects: true});

/** Which reply the sender of a datagram requests. */
export type ReplyRequest = 'none' | 'reply' | 'peer-list';

/** Reply requests in the order of their numbers in datagrams. */
const replyRequests: readonly ReplyRequest[] = ['none', 'reply', 'peer-list'];

/** Report of one instance. Any datagram may be lost or arrive twice. */
export type PeerDatagram = {
	/** Instance name and process start of the sender; prefix of the keys of its placements. */
	origin: string;
	/** State of the sender's table replicas; undefined in datagrams that only report placements. */
	replication: ReplicationStatus | undefined;
	/** `reply` asks for any datagram, so that both instances know each other; `peer-list` for one with the addresses of all other instances. */
	replyRequest: ReplyRequest;
	placements: readonly Placement[];
	/** Keys of placements whose first event has arrived. */
	startedKeys: readonly string[];
	endedKeys: readonly string[];
	/** Engines to avoid after a failure or refusal, each for a duration in milliseconds. */
	avoidedEngines: ReadonlyArray<{engineId: string; duration: number}>;
	/** Observed factors on the published times of engines. */
	engineSlowdowns: ReadonlyArray<{engineId: string; slowdown: number; observedAt: number}>;
	/** Limits that engines have stated, in requests a second; undefined where one was lifted. */
	engineLimits: ReadonlyArray<{engineId: string; limit: number | undefined}>;
	/** Crashes of engines and what was in flight there. */
	crashes: readonly EngineCrash[];
	/** Fingerprints that engines have answered although others suspect them. */
	soundReports: readonly SoundReport[];
	quarantineEntries: readonly QuarantineEntry[];
	/** IP addresses of other instances. */
	peers: readonly string[];
	/** Number of instances; undefined where the sender may not know all of them, or does not state it. */
	fleetSize: number | undefined;
	/** Processes that the sender monitors and has not heard from. */
	silentPeers: readonly SilentPeer[];
	/** What the sender says about itself as a relay; undefined where it says nothing. */
	relayOffer: RelayOffer | undefined;
	/** What engines have stated in responses that the receiver relayed. */
	relayedStatements: readonly RelayedStatement[];
	/** Loads of the engines of the sender's failure domain; undefined where it reports none. */
	domainLoads: DomainLoadReport | undefined;
};

/** A datagram that tells nothing but who sends it. */
export function emptyDatagram(origin: string): PeerDatagram {
	return {
		origin, replication: undefined, replyRequest: 'none', placements: [], startedKeys: [], endedKeys: [], avoidedEngines: [], engineSlowdowns: [], engineLimits: [],
		crashes: [], soundReports: [], quarantineEntries: [], peers: [], fleetSize: undefined, silentPeers: [], relayOffer: undefined, relayedStatements: [], domainLoads: undefined,
	};
}

/** Encoding of an infinite gap target. */
const noGapTarget = -1;

/** Encoding of a lifted limit. */
const noLimit = -1;

/** Encoding of a number of instances that is not stated. */
const unknownFleetSize = 0;

/** @param now - Monotonic time in milliseconds; times in the datagram are relative to it. */
export function encodeDatagram(datagram: PeerDatagram, now: number): Uint8Array {
	const keyPrefixLength = datagram.origin.length + 1;
	return codec.encode([
		formatVersion,
		datagram.origin,
		datagram.replication ? encodeReplication(datagram.replication) : null,
		replyRequests.indexOf(datagram.replyRequest),
		datagram.placements.map(({key, assignments, eventGapTarget, weight, startsAt, expiresAt}) => [
			Number(key.slice(keyPrefixLength)),
			Number.isFinite(eventGapTarget) ? eventGapTarget : noGapTarget,
			Math.round(weight * 10) / 10,
			Math.round(expiresAt - now),
			Math.max(0, Math.round(startsAt - now)),
			assignments.map(({engineId, prefillTime, kvCacheTokens, runsDecode}) => [engineId, Math.round(prefillTime), Math.round(kvCacheTokens), runsDecode]),
		]),
		datagram.startedKeys.map(key => Number(key.slice(keyPrefixLength))),
		datagram.endedKeys.map(key => Number(key.slice(keyPrefixLength))),
		datagram.avoidedEngines.map(({engineId, duration}) => [engineId, Math.round(duration)]),
		datagram.engineSlowdowns.map(({engineId, slowdown, observedAt}) => [engineId, Math.round(slowdown * 10) / 10, Math.round(now - observedAt)]),
		datagram.peers,
		datagram.silentPeers.map(({ip, origin}) => [ip, origin]),
		datagram.engineLimits.map(({engineId, limit}) => [engineId, limit ?? noLimit]),
		datagram.crashes.map(({run, at, suspects}) => [
			run.engineId, run.startedAt, run.failureDomain, Math.round(now - at), suspects.map(({fingerprint, sentAt, position}) => [fingerprint, Math.round(now - sentAt), position]),
		]),
		datagram.soundReports.map(({fingerprint, answeredAt}) => [fingerprint, Math.round(now - answeredAt)]),
		datagram.quarantineEntries.map(({fingerprint, revision, probeCount}) => [fingerprint, revision, probeCount]),
		datagram.fleetSize ?? unknownFleetSize,
		datagram.relayOffer ? [datagram.relayOffer.failureDomain, datagram.relayOffer.isAvailable] : null,
		datagram.relayedStatements.map(({engineId, status, isLeaving, retryAfter, coldRemaining}) => [
			engineId, status, isLeaving, Math.round(retryAfter ?? 0), ...(coldRemaining === undefined ? [] : [coldRemaining]),
		]),
		...(datagram.domainLoads ? [encodeDomainLoads(datagram.domainLoads)] : []),
	]);
}

/** @throws {DatagramError} If the bytes are malformed or of another version. */
export function decodeDatagram(bytes: Uint8Array, now: number): PeerDatagram {
	try {
		const [
			receivedVersion,
			origin,
			replication,
			replyRequest,
			placements,
			startedKeys,
			endedKeys,
			avoidedEngines,
			engineSlowdowns,
			peers,
			silentPeers,
			// Missing in datagrams of earlier builds.
			engineLimits = [],
			crashes = [],
			soundReports = [],
			quarantineEntries = [],
			fleetSize = unknownFleetSize,
			relayOffer = null,
			relayedStatements = [],
			domainLoads = null,
		] = asList(codec.decode(bytes), 'datagram');
		if (receivedVersion !== formatVersion) {
			throw new DatagramError(`unsupported version ${String(receivedVersion)}, expected ${formatVersion}`);
		}

		const sender = asText(origin, 'origin');
		return {
			origin: sender,
			replication: replication === null ? undefined : decodeReplication(asList(replication, 'replication')),
			replyRequest: replyRequests[asNumber(replyRequest, 'replyRequest')] ?? 'none',
			placements: asList(placements, 'placements').map(entry => decodePlacement(sender, asList(entry, 'placement'), now)),
			startedKeys: asList(startedKeys, 'startedKeys').map(sequence => `${sender}/${asNumber(sequence, 'started sequence')}`),
			endedKeys: asList(endedKeys, 'endedKeys').map(sequence => `${sender}/${asNumber(sequence, 'ended sequence')}`),
			avoidedEngines: asList(avoidedEngines, 'avoidedEngines').map(entry => {
				const [engineId, duration] = asList(entry, 'avoided engine');
				return {engineId: asText(engineId, 'avoided engine id'), duration: asNumber(duration, 'duration to avoid an engine')};
			}),
			engineSlowdowns: asList(engineSlowdowns, 'engineSlowdowns').map(entry => {
				// Earlier builds send no age.
				const [engineId, slowdown, age = 0] = asList(entry, 'engine slowdown');
				return {engineId: asText(engineId, 'slow engine id'), slowdown: asNumber(slowdown, 'slowdown'), observedAt: now - asNumber(age, 'age of a slowdown')};
			}),
			engineLimits: asList(engineLimits, 'engineLimits').map(entry => {
				const [engineId, limit] = asList(entry, 'engine limit');
				const requestsPerSecond = asNumber(limit, 'limit of an engine');
				return {engineId: asText(engineId, 'limited engine id'), limit: requestsPerSecond < 0 ? undefined : requestsPerSecond};
			}),
			crashes: asList(crashes, 'crashes').map(entry => decodeCrash(asList(entry, 'crash'), now)),
			soundReports: asList(soundReports, 'soundReports').map(entry => {
				const [fingerprint, age] = asList(entry, 'sound report');
				return {fingerprint: asText(fingerprint, 'sound fingerprint'), answeredAt: now - asNumber(age, 'age of an answer')};
			}),
			quarantineEntries: asList(quarantineEntries, 'quarantineEntries').map(entry => {
				const [fingerprint, revision, probeCount] = asList(entry, 'quarantine entry');
				return {
					fingerprint: asText(fingerprint, 'quarantined fingerprint'), revision: asCount(revision, 'revision of a quarantine entry'),
					probeCount: asCount(probeCount, 'probes of a quarantine entry'),
				};
			}),
			fleetSize: fleetSize === unknownFleetSize ? undefined : asNumber(fleetSize, 'fleetSize'),
			peers: asList(peers, 'peers').map(peer => asText(peer, 'peer address')),
			silentPeers: asList(silentPeers, 'silentPeers').map(entry => {
				const [ip, silentOrigin] = asList(entry, 'silent peer');
				return {ip: asText(ip, 'address of a silent peer'), origin: asText(silentOrigin, 'origin of a silent peer')};
			}),
			relayOffer: relayOffer === null ? undefined : decodeRelayOffer(asList(relayOffer, 'relayOffer')),
			relayedStatements: asList(relayedStatements, 'relayedStatements').map(entry => decodeRelayedStatement(asList(entry, 'relayed statement'))),
			domainLoads: domainLoads === null ? undefined : decodeDomainLoads(asList(domainLoads, 'domainLoads')),
		};
	} catch (error) {
		throw error instanceof DatagramError ? error : new DatagramError(String(error));
	}
}

function encodeReplication({isStoreWatcher, canReachStore, isRecoveringFromOutage, digests, confirmationAges, deltas}: ReplicationStatus): unknown[] {
	return [
		isStoreWatcher,
		canReachStore,
		isRecoveringFromOutage,
		digests.map(digest => encodeDigest(digest)),
		deltas.map(({table, baseChecksum, digest, rows}) => [
			table, baseChecksum, encodeDigest(digest), rows.map(row => encodeRow(row)),
		]),
		...(confirmationAges ? [confirmationAges.map(age => Math.round(age))] : []),
	];
}

function decodeReplication([isStoreWatcher, canReachStore, isRecoveringFromOutage, digests, deltas, confirmationAges]: readonly unknown[]): ReplicationStatus {
	const [first, second] = asList(digests, 'digests').map(digest => decodeDigest(digest));
	if (!first || !second) {
		throw new DatagramError('field digests: expected two digests');
	}

	return {
		isStoreWatcher: isStoreWatcher === true,
		canReachStore: canReachStore === true,
		isRecoveringFromOutage: isRecoveringFromOutage === true,
		digests: [first, second],
		...(confirmationAges === undefined ? {} : {confirmationAges: decodeConfirmationAges(asList(confirmationAges, 'confirmation ages'))}),
		deltas: asList(deltas, 'deltas').flatMap(delta => decodeDelta(asList(delta, 'delta'))),
	};
}

function decodeConfirmationAges([first, second]: readonly unknown[]): TableTimes {
	return [Math.max(0, asNumber(first, 'first confirmation age')), Math.max(0, asNumber(second, 'second confirmation age'))];
}

/** Decodes a delta, or leaves it out where a row cannot be read: the digest then tells the receiver to fetch the table. */
function decodeDelta([table, baseChecksum, digest, rows]: readonly unknown[]): ReplicationStatus['deltas'] {
	const decodedRows = asList(rows, 'rows').map(row => decodeRow(row));
	if (decodedRows.includes(undefined)) {
		return [];
	}

	return [{
		table: table === 0 ? 0 : 1,
		baseChecksum: asNumber(baseChecksum, 'baseChecksum'),
		digest: decodeDigest(digest),
		rows: decodedRows.filter(row => row !== undefined),
	}];
}

function encodeDigest({version, checksum, era}: TableDigest): number[] {
	return [version, checksum, era];
}

/** The era is missing in datagrams of earlier builds. */
function decodeDigest(digest: unknown): TableDigest {
	const [version, checksum, era = 0] = asList(digest, 'digest');
	return {version: asNumber(version, 'digest version'), checksum: asNumber(checksum, 'digest checksum'), era: asNumber(era, 'digest era')};
}

function encodeRow({key, value, removed, version}: RowChange): unknown[] {
	return [key, removed ? false : value ?? '', ...(version === undefined ? [] : [version])];
}

/** The version is missing in datagrams of earlier builds. */
function decodeRow(row: unknown): RowChange | undefined {
	const [key, value, version] = Array.isArray(row) ? row as unknown[] : [];
	if (typeof key !== 'string' || (value !== false && typeof value !== 'string')) {
		return undefined;
	}

	return {
		key, value: value === false ? undefined : value, removed: value === false, ...(typeof version === 'number' ? {version} : {}),
	};
}

function decodePlacement(origin: string, [sequence, eventGapTarget, weight, lifetime, startDelay, assignments]: readonly unknown[], now: number): Placement {
	const gapTarget = asNumber(eventGapTarget, 'event gap target');
	return {
		key: `${origin}/${asNumber(sequence, 'placement sequence')}`,
		eventGapTarget: gapTarget === noGapTarget ? Number.POSITIVE_INFINITY : gapTarget,
		weight: asNumber(weight, 'placement weight'),
		startsAt: now + asNumber(startDelay, 'start delay of a placement'),
		expiresAt: now + asNumber(lifetime, 'lifetime of a placement'),
		assignments: asList(assignments, 'assignments').map(assignment => {
			const [engineId, prefillTime, kvCacheTokens, runsDecode] = asList(assignment, 'assignment');
			return {
				engineId: asText(engineId, 'assigned engine id'),
				prefillTime: asNumber(prefillTime, 'prefill time'),
				kvCacheTokens: asNumber(kvCacheTokens, 'KV cache tokens'),
				runsDecode: runsDecode === true,
			};
		}),
	};
}

function decodeRelayOffer([failureDomain, isAvailable]: readonly unknown[]): RelayOffer {
	return {failureDomain: asText(failureDomain, 'failure domain of a relay'), isAvailable: isAvailable === true};
}

function decodeRelayedStatement([engineId, status, isLeaving, retryAfter, coldRemaining]: readonly unknown[]): RelayedStatement {
	const pause = asNumber(retryAfter, 'pause of an engine');
	return {
		engineId: asText(engineId, 'engine of a statement'), status: asNumber(status, 'status of a response'), isLeaving: isLeaving === true,
		retryAfter: pause > 0 ? pause : undefined, ...(coldRemaining === undefined ? {} : {coldRemaining: asNumber(coldRemaining, 'cold time of an engine')}),
	};
}

/** Numbers of each engine in a report of loads. */
const numbersPerEngine = 7;

/** Unit of slowdowns in a report of loads, per 1. */
const slowdownUnits = 10;

/** The engines' numbers follow each other in one list, as a list for each engine would need more bytes. Slowdowns have a list of their own, which earlier builds do not read. */
function encodeDomainLoads({failureDomain, engines}: DomainLoadReport): unknown[] {
	const slowdowns = engines.map(({slowdown = 1}) => Math.round(slowdown * slowdownUnits));
	return [failureDomain, engines.flatMap(({idHash, prefillBacklog, longestPrefill, running, kvCacheTokens, eventGapTarget, weight}) => [
		idHash,
		Math.round(prefillBacklog),
		Math.round(longestPrefill),
		running,
		Math.round(kvCacheTokens / tokensPerUnit),
		Number.isFinite(eventGapTarget) ? eventGapTarget : noGapTarget,
		Math.round(weight),
	]), ...(slowdowns.some(slowdown => slowdown > slowdownUnits) ? [slowdowns] : [])];
}

/** Unit of KV cache tokens in a report of loads. */
const tokensPerUnit = 100;

/** The list of slowdowns is missing in datagrams of earlier builds, and where no engine is slow. */
function decodeDomainLoads([failureDomain, values, slowdowns = []]: readonly unknown[]): DomainLoadReport {
	const numbers = asList(values, 'loads of a domain').map(value => Math.max(noGapTarget, asNumber(value, 'load of an engine')));
	const slowdownList = asList(slowdowns, 'slowdowns of a domain').map(value => asNumber(value, 'slowdown of an engine'));
	const engines = Array.from({length: Math.floor(numbers.length / numbersPerEngine)}, (_, index) => {
		const [idHash = 0, prefillBacklog = 0, longestPrefill = 0, running = 0, kvCacheUnits = 0, gapTarget = 0, weight = 0] = numbers.slice(index * numbersPerEngine);
		return {
			idHash, prefillBacklog, longestPrefill, running, kvCacheTokens: kvCacheUnits * tokensPerUnit,
			eventGapTarget: gapTarget === noGapTarget ? Number.POSITIVE_INFINITY : gapTarget, weight: Math.max(0, weight),
			...(slowdownList[index] === undefined ? {} : {slowdown: Math.max(1, slowdownList[index] / slowdownUnits)}),
		};
	});
	return {failureDomain: asText(failureDomain, 'failure domain of a report of loads'), engines};
}

function decodeCrash([engineId, startedAt, failureDomain, age, suspects]: readonly unknown[], now: number): EngineCrash {
	return {
		run: {
			engineId: asText(engineId, 'crashed engine id'), startedAt: asNumber(startedAt, 'start of a crashed engine'),
			failureDomain: asText(failureDomain, 'failure domain of a crashed engine'),
		},
		at: now - asNumber(age, 'age of a crash'),
		suspects: asList(suspects, 'suspects').map(suspect => {
			const [fingerprint, timeInFlight, position] = asList(suspect, 'suspect');
			return {
				fingerprint: asText(fingerprint, 'suspected fingerprint'), sentAt: now - asNumber(timeInFlight, 'time in flight of a suspect'),
				position: asNumber(position, 'position of a suspect'),
			};
		}),
	};
}
