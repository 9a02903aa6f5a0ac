/**
 * Properties of datagrams for any content: what is encoded is decoded, and bytes of any other kind give a `DatagramError`
 * and nothing else. `FUZZ_RUNS` sets the number of runs, `FUZZ_SEED` the seed.
 *
 * @module
 */
import process from 'node:process';
import test from 'ava';
import {Encoder} from 'cbor-x';
import fc from 'fast-check';
import {DatagramError} from '../datagram-fields.js';
import {decodeDatagram, encodeDatagram} from '../peer-datagram.js';

const parameters = {numRuns: Number(process.env.FUZZ_RUNS ?? 200), seed: Number(process.env.FUZZ_SEED ?? 20_261_204)};

const id = fc.string({minLength: 1, maxLength: 20});
const count = fc.nat({max: 1_000_000});
const digest = fc.record({era: count, version: count, checksum: fc.nat({max: 4_294_967_295})});
const row = fc.oneof(
	fc.record({
		key: fc.string(), value: fc.string(), removed: fc.constant(false), version: count,
	}),
	fc.record({key: fc.string(), value: fc.constant(undefined), removed: fc.constant(true)}),
);
const datagram = fc.record({
	origin: fc.constant('front-1~k3'),
	replication: fc.option(fc.record({
		isStoreWatcher: fc.boolean(), canReachStore: fc.boolean(), isRecoveringFromOutage: fc.boolean(), digests: fc.tuple(digest, digest), confirmationAges: fc.tuple(count, count),
		deltas: fc.array(fc.record({
			table: fc.constantFrom(0 as const, 1 as const), baseChecksum: count, digest, rows: fc.array(row, {maxLength: 5}),
		}), {maxLength: 2}),
	}), {nil: undefined}),
	replyRequest: fc.constantFrom('none' as const, 'reply' as const, 'peer-list' as const),
	placements: fc.array(fc.record({
		key: count.map(sequence => `front-1~k3/${sequence}`), eventGapTarget: fc.oneof(count, fc.constant(Number.POSITIVE_INFINITY)), weight: count, startsAt: count, expiresAt: count,
		assignments: fc.array(fc.record({
			engineId: id, prefillTime: count, kvCacheTokens: count, runsDecode: fc.boolean(),
		}), {maxLength: 17}),
	}), {maxLength: 4}),
	startedKeys: fc.array(count.map(sequence => `front-1~k3/${sequence}`), {maxLength: 4}),
	endedKeys: fc.array(count.map(sequence => `front-1~k3/${sequence}`), {maxLength: 4}),
	avoidedEngines: fc.array(fc.record({engineId: id, duration: count}), {maxLength: 4}),
	engineSlowdowns: fc.array(fc.record({engineId: id, slowdown: count, observedAt: count}), {maxLength: 4}),
	engineLimits: fc.array(fc.record({engineId: id, limit: fc.option(count, {nil: undefined})}), {maxLength: 4}),
	crashes: fc.array(fc.record({
		run: fc.record({engineId: id, startedAt: count, failureDomain: id}), at: count, suspects: fc.array(fc.record({fingerprint: id, sentAt: count, position: count}), {maxLength: 4}),
	}), {maxLength: 4}),
	soundReports: fc.array(fc.record({fingerprint: id, answeredAt: count}), {maxLength: 4}),
	quarantineEntries: fc.array(fc.record({fingerprint: id, revision: count, probeCount: count}), {maxLength: 4}),
	peers: fc.array(id, {maxLength: 4}),
	fleetSize: fc.option(fc.integer({min: 1, max: 1000}), {nil: undefined}),
	silentPeers: fc.array(fc.record({ip: id, origin: id}), {maxLength: 4}),
	relayOffer: fc.option(fc.record({failureDomain: id, isAvailable: fc.boolean()}), {nil: undefined}),
	relayedStatements: fc.array(fc.record({
		engineId: id, status: count, isLeaving: fc.boolean(), retryAfter: fc.option(count.filter(time => time > 0), {nil: undefined}),
	}), {maxLength: 4}),
	domainLoads: fc.option(fc.record({
		failureDomain: id, engines: fc.array(fc.record({
			idHash: count, prefillBacklog: count, longestPrefill: count, running: count, kvCacheTokens: count.map(units => units * 100),
			eventGapTarget: fc.oneof(count, fc.constant(Number.POSITIVE_INFINITY)), weight: count,
		}), {maxLength: 4}),
	}), {nil: undefined}),
});

test('any datagram is decoded as it was encoded', t => {
	fc.assert(fc.property(datagram, original => {
		t.deepEqual(decodeDatagram(encodeDatagram(original, 0), 0), original);
	}), parameters);
});

function assertRejectedOrDecoded(bytes: Uint8Array): void {
	try {
		decodeDatagram(bytes, 0);
	} catch (error) {
		if (!(error instanceof DatagramError)) {
			throw error;
		}
	}
}

test('any bytes and any CBOR value are decoded or rejected with a DatagramError', t => {
	const encoder = new Encoder({useRecords: false});
	t.notThrows(() => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 300}), assertRejectedOrDecoded), parameters);
		fc.assert(fc.property(fc.array(fc.anything(), {maxLength: 17}), fields => {
			assertRejectedOrDecoded(encoder.encode([2, 'front-1', ...fields]));
		}), parameters);
	});
});

test('a datagram with flipped bytes is decoded or rejected with a DatagramError', t => {
	const flips = fc.array(fc.tuple(fc.nat(), fc.integer({min: 0, max: 255})), {minLength: 1, maxLength: 5});
	t.notThrows(() => {
		fc.assert(fc.property(datagram, flips, (original, changes) => {
			const bytes = Uint8Array.from(encodeDatagram(original, 0));
			for (const [position, value] of changes) {
				bytes[position % bytes.length] = value;
			}

			assertRejectedOrDecoded(bytes);
		}), parameters);
	});
});
