/**
 * Simulates heartbeats between whole fleets without a network. A dead instance has to be noticed by all within a few
 * seconds in a fleet of any size: until then what it had placed counts as load. Lost datagrams and an instance that hears
 * nobody must not make live instances count as dead.
 *
 * @module
 */
import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {heartbeatInterval, PeerMembership, type SilentPeer} from '../peer-membership.js';

type SimulatedInstance = {ip: string; membership: PeerMembership; isDead: boolean; hearsNobody: boolean};

class SimulatedFleet {
	readonly members: SimulatedInstance[];
	/** Live instances that were taken to be silent, by all instances together. */
	falseAlarms = 0;
	#now = 0;
	readonly #random = xoroshiro128plus(7);
	readonly #lossShare: number;
	readonly #byIp: ReadonlyMap<string, SimulatedInstance>;

	constructor(count: number, lossShare = 0) {
		this.#lossShare = lossShare;
		this.members = Array.from({length: count}, (_, index) => {
			const ip = `10.0.${Math.floor(index / 200)}.${index % 200}`;
			return {
				ip, membership: new PeerMembership(ip), isDead: false, hearsNobody: false,
			};
		});
		this.#byIp = new Map(this.members.map(member => [member.ip, member]));
		for (const sender of this.members) {
			this.#send(sender.ip, this.members.map(({ip}) => ip), []);
		}
	}

	/** Lets all instances run for some milliseconds. */
	run(duration: number): void {
		for (let elapsed = 0; elapsed < duration; elapsed += heartbeatInterval) {
			this.#now += heartbeatInterval;
			for (const {ip, membership, isDead} of this.members) {
				if (isDead) {
					continue;
				}

				const {silent, reported, suspects, isIsolated} = membership.checkSilence(this.#now);
				this.#probe(ip, suspects);
				this.#countFalseAlarms([...silent, ...reported]);
				if (silent.length > 0 && !isIsolated) {
					this.#send(ip, membership.addresses, silent.map(peer => ({ip: peer.ip, origin: peer.origin})));
				}

				this.#send(ip, membership.nextHeartbeatTargets(), []);
			}
		}
	}

	/** Share of the pairs of live and dead instances in which the live one takes the dead one to be alive. */
	get unnoticedShare(): number {
		const dead = new Set(this.members.filter(({isDead}) => isDead).map(({ip}) => ip));
		const live = this.members.filter(({isDead}) => !isDead);
		const unnoticed = live.reduce((sum, {membership}) => sum + membership.alive.filter(({ip}) => dead.has(ip)).length, 0);
		return unnoticed / (live.length * dead.size);
	}

	/** Asks suspects for a reply; both messages may be lost. */
	#probe(sender: string, suspects: readonly string[]): void {
		this.#send(sender, suspects, []);
		for (const suspect of suspects) {
			if (!this.#byIp.get(suspect)!.isDead) {
				this.#send(suspect, [sender], []);
			}
		}
	}

	#countFalseAlarms(silent: readonly SilentPeer[]): void {
		this.falseAlarms += silent.filter(({ip}) => this.members.some(member => member.ip === ip && !member.isDead)).length;
	}

	#send(sender: string, targets: readonly string[], silentPeers: readonly SilentPeer[]): void {
		for (const target of targets) {
			const {membership, isDead, hearsNobody} = this.#byIp.get(target)!;
			if (target === sender || isDead || hearsNobody || uniformFloat64(this.#random) < this.#lossShare) {
				continue;
			}

			membership.recordMessage(sender, `${sender}~1`, undefined, this.#now);
			for (const reported of silentPeers) {
				membership.recordReport(reported, this.#now);
			}
		}
	}
}

/** Time in milliseconds in which the death of instances has to be known. */
const detectionTarget = 4000;

const deaths: Array<{name: string; count: number; dead: (index: number) => boolean; time: number}> = [
	{
		name: 'one of 9', count: 9, dead: index => index === 4, time: detectionTarget,
	},
	{
		name: 'one of 195', count: 195, dead: index => index === 100, time: detectionTarget,
	},
	{
		name: 'one of 350', count: 350, dead: index => index === 100, time: detectionTarget,
	},
	{
		// Monitors that died too are noticed first, then replaced.
		name: 'half of 195', count: 195, dead: index => index % 2 === 0, time: 2 * detectionTarget,
	},
];

for (const {name, count, dead, time} of deaths) {
	test(`the death of ${name} is known to all instances after ${time} ms`, t => {
		const fleet = new SimulatedFleet(count);
		fleet.run(5000);
		for (const [index, member] of fleet.members.entries()) {
			member.isDead = dead(index);
		}

		fleet.run(time);
		t.is(fleet.unnoticedShare, 0);
		t.is(fleet.falseAlarms, 0);
	});
}

test('with one datagram in forty lost, no live instance of 195 is taken to be silent in a minute', t => {
	const fleet = new SimulatedFleet(195, 0.025);
	fleet.run(60_000);
	t.is(fleet.falseAlarms, 0);
});

test('an instance that hears nobody does not convince the others that its peers are silent', t => {
	const fleet = new SimulatedFleet(40);
	fleet.run(5000);
	const [isolated, ...others] = fleet.members;
	isolated!.hearsNobody = true;
	fleet.run(10_000);
	t.deepEqual(others.map(({membership}) => membership.alive.length), others.map(() => 39));
});

/** Checks in the interval of heartbeats. @returns the peers that fell silent and those that were forgotten. */
function checkUntil(membership: PeerMembership, from: number, to: number): {silent: string[]; gone: string[]} {
	const [silent, gone]: [string[], string[]] = [[], []];
	for (let now = from; now <= to; now += heartbeatInterval) {
		const check = membership.checkSilence(now);
		silent.push(...check.silent.map(({ip}) => ip));
		gone.push(...check.gone.map(({ip}) => ip));
	}

	return {silent, gone};
}

test('an instance is forgotten some time after it fell silent and is new when it returns', t => {
	const membership = new PeerMembership('10.0.0.1');
	t.is(membership.recordMessage('10.0.0.2', 'b~1', undefined, 0).change, 'new');
	t.is(membership.recordMessage('10.0.0.2', 'b~2', undefined, 100).change, 'restarted');
	t.deepEqual(checkUntil(membership, 200, 3200).silent, ['10.0.0.2']);
	t.deepEqual(membership.ring, ['10.0.0.1']);
	t.is(membership.recordMessage('10.0.0.2', 'b~2', undefined, 3300).change, 'regained');
	t.deepEqual(checkUntil(membership, 3700, 20_200), {silent: ['10.0.0.2'], gone: ['10.0.0.2']});
	t.is(membership.recordMessage('10.0.0.2', 'b~2', undefined, 20_300).change, 'new');
});

// After a freeze the runtime calls timers before it reads the datagrams that arrived meanwhile.
test('an instance that stood still takes no peer to be silent before it has read what arrived', t => {
	const membership = new PeerMembership('10.0.0.1');
	const peers = ['10.0.0.2', '10.0.0.3', '10.0.0.4'];
	const receiveFromAll = (now: number) => {
		for (const ip of peers) {
			membership.recordMessage(ip, `${ip}~1`, undefined, now);
		}
	};

	for (let now = 0; now <= 3000; now += heartbeatInterval) {
		receiveFromAll(now);
		t.deepEqual(membership.checkSilence(now).silent, []);
	}

	const wokenAt = 10_000;
	t.deepEqual(membership.checkSilence(wokenAt).silent, []);
	receiveFromAll(wokenAt + 1);
	t.deepEqual(membership.checkSilence(wokenAt + heartbeatInterval).silent, []);
	t.is(membership.ring.length, 4);
});

test('after it stood still, an instance notices a peer that died meanwhile', t => {
	const membership = new PeerMembership('10.0.0.1');
	for (let now = 0; now <= 3000; now += heartbeatInterval) {
		membership.recordMessage('10.0.0.2', 'b~1', undefined, now);
		membership.checkSilence(now);
	}

	const wokenAt = 10_000;
	const silentAt = Array.from({length: 8}, (_, index) => wokenAt + (index * heartbeatInterval)).find(now => membership.checkSilence(now).silent.length > 0);
	t.true(silentAt !== undefined && silentAt > wokenAt && silentAt <= wokenAt + detectionTarget, `silent at ${silentAt}`);
});

// Guards against an answer of the store that counts as new for as long as the watcher's next poll takes.
const confirmationCases: Array<{name: string; role: Parameters<PeerMembership['recordMessage']>[2]; confirmedAt: readonly number[]}> = [
	{name: 'ages', role: {isStoreWatcher: true, canReachStore: true, confirmationAges: [400, 2500]}, confirmedAt: [9600, 7500]},
	{name: 'no ages, as earlier builds, and reaches the store', role: {isStoreWatcher: true, canReachStore: true}, confirmedAt: [10_000, 10_000]},
	{name: 'no ages and does not reach the store', role: {isStoreWatcher: true, canReachStore: false}, confirmedAt: [Number.NEGATIVE_INFINITY, Number.NEGATIVE_INFINITY]},
	{name: 'nothing of its tables', role: undefined, confirmedAt: [Number.NEGATIVE_INFINITY, Number.NEGATIVE_INFINITY]},
];

for (const {name, role, confirmedAt} of confirmationCases) {
	test(`when the store last answered a peer that states ${name}`, t => {
		const membership = new PeerMembership('10.0.0.1');
		membership.recordMessage('10.0.0.2', 'b~1', role, 10_000);
		t.deepEqual(membership.alive.map(peer => peer.confirmedAt), [confirmedAt]);
	});
}
