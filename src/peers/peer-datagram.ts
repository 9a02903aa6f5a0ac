/**
 * Datagrams in which instances report their work to each other: a CBOR array that begins with a version number.
 *
 * @module
 */
import {Encoder} from 'cbor-x';
import type {Placement} from '../placement/load-tracker.js';
import type {RowChange} from '../watch/row-source.js';
import type {TableDigest} from '../watch/table-replica.js';
import type {ReplicationStatus} from '../watch/table-replication.js';

/** Version of the datagram format. */
const formatVersion = 1;

/** Greatest number of entries in any list of a datagram; a datagram with a longer list is rejected. */
const maximumEntries = 500;

const codec = new Encoder({useRecords: false, tagUint8Array: false, mapsAsObjects: true});

/** Which reply the sender of a datagram requests. */
export type ReplyRequest = 'none' | 'reply' | 'peer-list';

/** Reply requests in the order of their numbers in datagrams. */
const replyRequests: readonly ReplyRequest[] = ['none', 'reply', 'peer-list'];

/** Report of one instance. Any datagram may be lost or arrive twice. */
export type PeerDatagram = {
	/** Instance name and process start of the sender; prefix of the keys of its placements. */
	origin: string;
	/** State of the sender's table replicas. */
	replication: ReplicationStatus;
	/** `reply` asks for any datagram, so that both instances know each other; `peer-list` for one with the addresses of all other instances. */
	replyRequest: ReplyRequest;
	placements: readonly Placement[];
	/** Keys of placements whose first event has arrived. */
	startedKeys: readonly string[];
	endedKeys: readonly string[];
	/** Engines to avoid after a failure or refusal, each for a duration in milliseconds. */
	avoidedEngines: ReadonlyArray<{engineId: string; duration: number}>;
	/** Observed factors on the published times of engines. */
	engineSlowdowns: ReadonlyArray<{engineId: string; slowdown: number}>;
	/** IP addresses of other instances. */
	peers: readonly string[];
};

/** Encoding of an infinite gap target. */
const noGapTarget = -1;

/** @param now - Monotonic time in milliseconds; times in the datagram are relative to it. */
export function encodeDatagram(datagram: PeerDatagram, now: number): Uint8Array {
	const keyPrefixLength = datagram.origin.length + 1;
	return codec.encode([
		formatVersion,
		datagram.origin,
		encodeReplication(datagram.replication),
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
		datagram.engineSlowdowns.map(({engineId, slowdown}) => [engineId, Math.round(slowdown * 10) / 10]),
		datagram.peers,
	]);
}

/** A datagram is malformed or of another version. */
export class DatagramError extends Error {
	constructor(reason: string) {
		super(`cannot decode datagram of a peer: ${reason}`);
		this.name = 'DatagramError';
	}
}

/** @throws {DatagramError} If the bytes are malformed or of another version. */
export function decodeDatagram(bytes: Uint8Array, now: number): PeerDatagram {
	try {
		const [receivedVersion, origin, replication, replyRequest, placements, startedKeys, endedKeys, avoidedEngines, engineSlowdowns, peers] = asList(codec.decode(bytes));
		if (receivedVersion !== formatVersion) {
			throw new DatagramError(`unsupported version ${String(receivedVersion)}, expected ${formatVersion}`);
		}

		const sender = asText(origin);
		return {
			origin: sender,
			replication: decodeReplication(asList(replication)),
			replyRequest: replyRequests[asNumber(replyRequest)] ?? 'none',
			placements: asList(placements).map(entry => decodePlacement(sender, asList(entry), now)),
			startedKeys: asList(startedKeys).map(sequence => `${sender}/${asNumber(sequence)}`),
			endedKeys: asList(endedKeys).map(sequence => `${sender}/${asNumber(sequence)}`),
			avoidedEngines: asList(avoidedEngines).map(entry => ({engineId: asText(asList(entry)[0]), duration: asNumber(asList(entry)[1])})),
			engineSlowdowns: asList(engineSlowdowns).map(entry => ({engineId: asText(asList(entry)[0]), slowdown: asNumber(asList(entry)[1])})),
			peers: asList(peers).map(peer => asText(peer)),
		};
	} catch (error) {
		throw error instanceof DatagramError ? error : new DatagramError(String(error));
	}
}

function encodeReplication({isStoreWatcher, canReachStore, isRecoveringFromOutage, digests, deltas}: ReplicationStatus): unknown[] {
	return [
		isStoreWatcher,
		canReachStore,
		isRecoveringFromOutage,
		digests.map(({version, checksum}) => [version, checksum]),
		deltas.map(({table, baseChecksum, digest, rows}) => [
			table, baseChecksum, [digest.version, digest.checksum], rows.map(({key, value, removed}) => [key, removed ? false : value ?? '']),
		]),
	];
}

function decodeReplication([isStoreWatcher, canReachStore, isRecoveringFromOutage, digests, deltas]: readonly unknown[]): ReplicationStatus {
	const [first, second] = asList(digests).map(digest => decodeDigest(digest));
	if (!first || !second) {
		throw new DatagramError('the digest of a table is missing');
	}

	return {
		isStoreWatcher: isStoreWatcher === true,
		canReachStore: canReachStore === true,
		isRecoveringFromOutage: isRecoveringFromOutage === true,
		digests: [first, second],
		deltas: asList(deltas).map(delta => {
			const [table, baseChecksum, digest, rows] = asList(delta);
			return {
				table: table === 0 ? 0 : 1, baseChecksum: asNumber(baseChecksum), digest: decodeDigest(digest), rows: asList(rows).map(row => decodeRow(asList(row))),
			};
		}),
	};
}

function decodeDigest(digest: unknown): TableDigest {
	const [version, checksum] = asList(digest);
	return {version: asNumber(version), checksum: asNumber(checksum)};
}

function decodeRow([key, value]: readonly unknown[]): RowChange {
	return value === false ? {key: asText(key), value: undefined, removed: true} : {key: asText(key), value: asText(value), removed: false};
}

function decodePlacement(origin: string, [sequence, eventGapTarget, weight, lifetime, startDelay, assignments]: readonly unknown[], now: number): Placement {
	return {
		key: `${origin}/${asNumber(sequence)}`,
		eventGapTarget: asNumber(eventGapTarget) === noGapTarget ? Number.POSITIVE_INFINITY : asNumber(eventGapTarget),
		weight: asNumber(weight),
		startsAt: now + asNumber(startDelay),
		expiresAt: now + asNumber(lifetime),
		assignments: asList(assignments).map(assignment => {
			const [engineId, prefillTime, kvCacheTokens, runsDecode] = asList(assignment);
			return {
				engineId: asText(engineId), prefillTime: asNumber(prefillTime), kvCacheTokens: asNumber(kvCacheTokens), runsDecode: runsDecode === true,
			};
		}),
	};
}

function asList(value: unknown): readonly unknown[] {
	if (!Array.isArray(value) || value.length > maximumEntries) {
		throw new DatagramError(`expected a list of at most ${maximumEntries} entries`);
	}

	return value;
}

function asText(value: unknown): string {
	if (typeof value !== 'string' || value === '') {
		throw new DatagramError('expected a non-empty string');
	}

	return value;
}

function asNumber(value: unknown): number {
	if (typeof value !== 'number' || !Number.isFinite(value)) {
		throw new DatagramError('expected a finite number');
	}

	return value;
}
