/**
 * Properties of the quarantine in simulated fleets: what crashes engines is soon kept from them, and sound requests are served.
 * `FUZZ_RUNS` sets the number of seeds of each case, `FUZZ_SEED` the first one.
 *
 * @module
 */
import process from 'node:process';
import test from 'ava';
import {SimulatedFleet, type SimulatedFleetOptions, type SimulatedRequest} from './simulated-fleet.js';

const firstSeed = Number(process.env.FUZZ_SEED ?? 1);
const seeds = Array.from({length: Number(process.env.FUZZ_RUNS ?? 4)}, (_, index) => firstSeed + index);

/** The platform's rule: from so many milliseconds after the fifth crash, no more than three requests with the part reach engines. */
const stabilityWindow = 3000;
const decidingCrash = 5;
const toleratedArrivals = 3;

const poison = 'part:poison';
const testDuration = 40_000;
const stepDuration = 20;

/** Time in milliseconds in which all requests are sound. */
const poisonStart = 2000;

const drawLimit = 1_000_000;

type Load = {
	/** Requests a second. */
	sound: number;
	poisonous: number;
	/** Shared parts of sound prompts beside the first one, and how many of these there are. */
	documents: number;
	/** Further parts that each poisonous prompt names, no two alike. */
	strangerParts?: number;
};

type Case = {
	name: string;
	/** Further seeds that failed once. */
	rememberedSeeds?: readonly number[];
	fleet: Omit<SimulatedFleetOptions, 'seed'>;
	load: Load;
	/** Called before each step. @param now - Time in milliseconds since the start. */
	disturb?: (fleet: SimulatedFleet, now: number) => void;
};

const small = {
	instances: 8, engines: 18, lossPercentage: 0, restartTime: 4000, maximumAttempts: 2, eventCount: 12, hedgeDelay: undefined,
};
const usual: Load = {sound: 30, poisonous: 2, documents: 20};

const cases: Case[] = [
	{name: 'eight instances', fleet: small, load: usual},
	{name: 'datagrams that get lost', fleet: {...small, lossPercentage: 20}, load: usual},
	{name: 'many poisonous requests at once', fleet: small, load: {...usual, poisonous: 10}},
	// The load of deploy/days/deadly.toml.
	{name: 'three in a hundred of the requests', fleet: small, load: {...usual, sound: 25, poisonous: 0.8}},
	{name: 'few poisonous requests', fleet: small, load: {...usual, poisonous: 0.4}},
	{
		name: 'three engines', fleet: {...small, engines: 3}, load: {...usual, sound: 8}, rememberedSeeds: [1129, 2069],
	},
	{name: 'a large fleet', fleet: {...small, instances: 60, engines: 112}, load: {sound: 100, poisonous: 3, documents: 60}},
	{
		name: 'an instance that starts and one that was cut off', fleet: small, load: usual,
		disturb(fleet, now) {
			if (now === 1000) {
				fleet.cutOff(3, 3000);
			}

			if (now === 9000) {
				fleet.startInstance();
			}
		},
	},
	{
		name: 'failure domains that die again and again', fleet: small, load: usual,
		disturb(fleet, now) {
			if (now % 7000 === 3000) {
				fleet.crashDomain(1 / 3);
			}
		},
	},
	{name: 'prompts that name parts without end', fleet: small, load: {...usual, strangerParts: 200}},
];

/** Whether something that happens so often a second happens in a step. */
function occurs(fleet: SimulatedFleet, perSecond: number): boolean {
	return fleet.draw(drawLimit) < perSecond * stepDuration / 1000 * drawLimit;
}

async function play(fleet: SimulatedFleet, {sound, poisonous, documents, strangerParts = 0}: Load, disturb: Case['disturb']): Promise<void> {
	for (let now = 0; now < testDuration; now += stepDuration) {
		disturb?.(fleet, now);
		const shared = () => ['part:first', `part:document${fleet.draw(documents)}`];
		if (occurs(fleet, sound)) {
			fleet.send(shared());
		}

		if (now > poisonStart && occurs(fleet, poisonous)) {
			const strangers = Array.from({length: strangerParts}, (_, index) => `part:stranger${now}-${index}`);
			const parts = [...shared(), ...strangers];
			parts.splice(fleet.draw(parts.length) + 1, 0, poison);
			fleet.send(parts);
		}

		await fleet.clock.tickAsync(stepDuration); // eslint-disable-line no-await-in-loop
	}
}

for (const testCase of cases) {
	test.serial(`a part that crashes engines is kept from them and sound requests are served: ${testCase.name}`, async t => {
		for (const seed of [...seeds, ...testCase.rememberedSeeds ?? []]) {
			const fleet = new SimulatedFleet({...testCase.fleet, seed}, ({fingerprints}) => fingerprints.includes(poison));
			try {
				await play(fleet, testCase.load, testCase.disturb); // eslint-disable-line no-await-in-loop
				const decidedAt = fleet.crashes[decidingCrash - 1] ?? fleet.crashes.at(-1)!;
				const isPoisonous = ({fingerprints}: SimulatedRequest) => fingerprints.includes(poison);
				const late = fleet.requests.filter(request => isPoisonous(request) && request.sentAt > decidedAt + stabilityWindow);
				const reached = late.reduce((sum, {arrivals}) => sum + arrivals.length, 0);
				t.true(reached <= toleratedArrivals, `seed ${seed}: ${reached} arrivals of ${late.length} requests after ${fleet.crashes.length} crashes`);
				const settled = fleet.requests.filter(request => !isPoisonous(request) && request.sentAt > decidedAt + (2 * stabilityWindow) && request.sentAt < testDuration - 2000);
				const refused = settled.filter(({isQuarantined}) => isQuarantined).length;
				t.true(refused <= settled.length * 0.02, `seed ${seed}: ${refused} of ${settled.length} sound requests refused; quarantined: ${fleet.quarantined.join(', ')}`);
			} finally {
				fleet.close();
			}
		}
	});
}

/** The same rule for a request that comes again: from so many milliseconds after the third crash. */
const decidingRepeatCrash = 3;

const repeatedRequest = 'request:repeated';

/** A service of plain requests with three engines, of which a slow one is hedged. */
const service = {
	...small, engines: 3, eventCount: 1, hedgeDelay: 90,
};

const repeats: Array<{name: string; fleet: Omit<SimulatedFleetOptions, 'seed'>; repeatsPerSecond: number; soundPerSecond: number; rememberedSeeds?: readonly number[]}> = [
	{
		name: 'a service of three engines', fleet: service, repeatsPerSecond: 1, soundPerSecond: 5,
	},
	{
		name: 'many repeats', fleet: service, repeatsPerSecond: 5, soundPerSecond: 5, rememberedSeeds: [20_028],
	},
	{
		name: 'few repeats', fleet: service, repeatsPerSecond: 0.4, soundPerSecond: 5,
	},
	{
		name: 'datagrams that get lost', fleet: {...service, lossPercentage: 20}, repeatsPerSecond: 1, soundPerSecond: 5,
	},
	{
		name: 'streams', fleet: small, repeatsPerSecond: 1, soundPerSecond: 30,
	},
];

for (const {
	name, fleet: options, repeatsPerSecond, soundPerSecond, rememberedSeeds = [],
} of repeats) {
	test.serial(`a request that crashes engines is kept from them when it comes again: ${name}`, async t => {
		for (const seed of [...seeds, ...rememberedSeeds]) {
			const fleet = new SimulatedFleet({...options, seed}, ({wholeRequest}) => wholeRequest === repeatedRequest);
			try {
				for (let now = 0; now < testDuration; now += stepDuration) {
					if (occurs(fleet, soundPerSecond)) {
						fleet.send([]);
					}

					if (now > poisonStart && occurs(fleet, repeatsPerSecond)) {
						fleet.send([], repeatedRequest);
					}

					await fleet.clock.tickAsync(stepDuration); // eslint-disable-line no-await-in-loop
				}

				const decidedAt = fleet.crashes[decidingRepeatCrash - 1] ?? fleet.crashes.at(-1)!;
				const late = fleet.requests.filter(({wholeRequest, sentAt}) => wholeRequest === repeatedRequest && sentAt > decidedAt + stabilityWindow);
				const reached = late.reduce((sum, {arrivals}) => sum + arrivals.length, 0);
				t.true(reached <= toleratedArrivals, `seed ${seed}: ${reached} arrivals of ${late.length} repeats after ${fleet.crashes.length} crashes`);
				t.deepEqual(fleet.quarantined.filter(fingerprint => fingerprint !== repeatedRequest), [], `seed ${seed}`);
			} finally {
				fleet.close();
			}
		}
	});
}

/** A part that comes up all at once: its first requests are in flight when engines die. */
const hotPart = 'part:hot';
const hotRequestsPerSecond = 40;
const hotDuration = 5000;

const losses: Array<{name: string; share: number; moments: readonly number[]}> = [
	{name: 'a failure domain that dies', share: 1 / 3, moments: [100]},
	{name: 'most engines at once', share: 0.9, moments: [100]},
	{name: 'a failure domain that dies twice within a second', share: 1 / 3, moments: [100, 900]},
	{name: 'one engine after the other', share: 1 / 18, moments: [100, 300, 500, 700, 900, 1100, 1300, 1500]},
];

// Guards against blaming a request that is sound and in wide use for engines that end for reasons of their own.
for (const {name, share, moments} of losses) {
	test.serial(`a sound part that comes up during the loss of ${name} is served`, async t => {
		for (const seed of seeds) {
			const fleet = new SimulatedFleet({...small, restartTime: 600, seed}, () => false);
			try {
				for (let now = 0; now < hotDuration; now += stepDuration) {
					if (occurs(fleet, hotRequestsPerSecond)) {
						fleet.send(['part:first', hotPart], 'request:hot');
					}

					if (moments.includes(now)) {
						fleet.crashDomain(share, moments.indexOf(now));
					}

					await fleet.clock.tickAsync(stepDuration); // eslint-disable-line no-await-in-loop
				}

				t.deepEqual(fleet.quarantined, [], `seed ${seed}`);
				t.is(fleet.requests.filter(({isQuarantined}) => isQuarantined).length, 0, `seed ${seed}`);
			} finally {
				fleet.close();
			}
		}
	});
}
