/**
 * The faults of the matrix: what each does to a simulated fleet and which endings it excuses.
 *
 * @module
 */
import type {Asked} from '../../src/scenario/caller.js';
import type {SimulatedFleet} from '../../src/scenario/simulated-fleet.js';
import type {MemoryEngine} from '../../src/upstream/memory-engine.js';
import type {MemoryService} from '../../src/upstream/memory-service.js';

/** What a fault acts on. */
export type FaultTarget = {
	fleet: SimulatedFleet;
	/** The request under test. */
	asked: Asked;
	/** The upstream that works on the request, or the first of its kind. */
	upstream: MemoryEngine | MemoryService;
	/** Asks the same again at the other instance. */
	askAgain: () => void;
};

/** One row of the matrix. */
export type Fault = {
	name: string;
	inject: (target: FaultTarget) => void;
	/** Codes with which the request may end instead of with its answer, and why. */
	excuses: Readonly<Record<string, string>>;
};

/** Time in milliseconds for which a lasting fault is on. */
export const faultDuration = 12_000;

/** Time in milliseconds that the platform or an upstream takes when slow. */
const slowness = 1500;

/** Time in milliseconds of a pause, longer than the lease of a claim. */
const pauseLength = 13_000;

/** Lag in milliseconds of a list that lags. */
const longLag = 60_000;

const oneAttempt = 'its one attempt may have run';
const noTime = 'no time is left to run it elsewhere';
const keyTaken = 'another request holds the key';
const noTable = 'without the table nothing is sent';

/** Faults in the order of the table. */
export const faults: readonly Fault[] = [
	{
		name: 'upstream dies',
		inject({upstream}) {
			upstream.faults.apply({availability: 'refusing', cut: true, duration: faultDuration});
		},
		excuses: {4003: oneAttempt, 3004: noTime},
	},
	{
		name: 'entry dies',
		inject({asked}) {
			asked.entry.boundary.die();
		},
		excuses: {disconnected: 'the connection to its instance broke'},
	},
	{
		name: 'connection cut',
		inject({upstream}) {
			upstream.faults.apply({cut: true});
		},
		excuses: {4003: oneAttempt},
	},
	{
		name: 'connection silent',
		inject({upstream}) {
			upstream.faults.apply({silence: true});
		},
		excuses: {4004: oneAttempt},
	},
	{
		name: 'frozen, resumed',
		inject({asked}) {
			asked.entry.boundary.pause(pauseLength);
		},
		excuses: {},
	},
	{
		name: 'slow',
		inject({upstream}) {
			upstream.faults.apply({slow: slowness, duration: faultDuration});
		},
		excuses: {},
	},
	{
		name: 'table down',
		inject({fleet}) {
			fleet.outside.table.faults.set({down: true});
		},
		excuses: {5001: noTable},
	},
	{
		name: 'table slow',
		inject({fleet}) {
			fleet.outside.table.faults.set({slow: slowness});
		},
		excuses: {},
	},
	{
		name: 'answer lost',
		inject({fleet}) {
			fleet.outside.table.faults.set({loseAnswers: 1});
		},
		excuses: {},
	},
	{
		name: 'objects down',
		inject({fleet}) {
			fleet.outside.objects.faults.set({down: true});
		},
		excuses: {4008: 'its answer could not be kept', 5004: 'its kept answer cannot be read'},
	},
	{
		name: 'list lags',
		inject({fleet, upstream}) {
			fleet.outside.instances.lag = longLag;
			fleet.outside.instances.remove(upstream.name);
			upstream.faults.apply({availability: 'refusing', cut: true, duration: faultDuration});
		},
		excuses: {4003: oneAttempt, 3004: noTime},
	},
	{
		name: 'upstream leaves',
		inject({fleet, upstream}) {
			fleet.outside.declare(upstream.name, 'leaving');
		},
		excuses: {},
	},
	{
		name: 'entry shuts down',
		inject({asked}) {
			void asked.entry.gate.close();
		},
		excuses: {3006: 'its instance had closed to new requests'},
	},
	{
		name: 'caller leaves',
		inject({asked}) {
			asked.leave();
		},
		excuses: {left: 'its caller left'},
	},
	{
		name: 'asked again',
		inject({askAgain}) {
			askAgain();
		},
		excuses: {4007: keyTaken},
	},
];
