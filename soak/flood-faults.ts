/**
 * Floods, signals and failed starts of a run, drawn from its seed: each begins at a time, lasts a while and may overlap others.
 *
 * @module
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** What callers send to one instance. */
export type CallerFlood = 'pipelined' | 'unfinished-bodies' | 'chunked-bodies' | 'whole-bodies' | 'endless-heads' | 'idle-connections' | 'unread-answers';

/** What an engine sends without end. */
export type EngineFlood = 'status-line' | 'header' | 'headers' | 'provisional' | 'body' | 'chunks' | 'chunk-extension' | 'trailers' | 'event' | 'events' | 'after-answer';

/** What of an engine's answers has no end. */
export type FloodedCalls = 'requests' | 'reservations';

/** What the store sends without end. */
export type StoreFlood = 'header' | 'headers' | 'body' | 'chunks';

/** What is sent to a port that is meant for other instances. */
export type PeerFlood = 'datagrams' | 'relay-bytes' | 'relay-head';

/** Ports that a process opens at its start. */
export type PortName = 'callers' | 'readiness' | 'metrics' | 'peers' | 'relay';

/** Signal that ends a process before another one starts. */
export type EndSignal = 'SIGTERM' | 'SIGKILL';

/** A signal, and the time in milliseconds after the first one or after the spawn. */
export type LaterSignal = {signal: 'SIGTERM' | 'SIGHUP'; after: number};

/** One fault; times in milliseconds. */
export type FloodFault = {at: number; duration: number} & (
	| {kind: 'caller-flood'; instance: number; flood: CallerFlood; connections: number}
	| {kind: 'engine-flood'; engine: number; flood: EngineFlood; calls: FloodedCalls}
	| {kind: 'store-flood'; flood: StoreFlood}
	| {kind: 'peer-flood'; instance: number; flood: PeerFlood}
	/** SIGHUP in series to a process that runs. */
	| {kind: 'hangups'; instance: number; signals: readonly LaterSignal[]}
	/** The process is told to end, and gets more signals while it stops. */
	| {kind: 'stop-signals'; instance: number; signals: readonly LaterSignal[]}
	/** The process ends, and the next one gets signals from its spawn on. */
	| {kind: 'start-signals'; instance: number; first: EndSignal; signals: readonly LaterSignal[]}
	/** The settings are cut short after a share of their text when a process starts, or when a running one gets SIGHUP. */
	| {kind: 'torn-settings'; instance: number; first: EndSignal | 'SIGHUP'; tornTime: number; keptShare: number}
	| {kind: 'taken-port'; instance: number; first: EndSignal; port: PortName; takenTime: number}
);

/** Faults in which a process ends and another one starts. */
const restartKinds: ReadonlySet<string> = new Set(['stop-signals', 'start-signals', 'torn-settings', 'taken-port']);
const floodKinds: ReadonlySet<string> = new Set([...restartKinds, 'hangups', 'caller-flood', 'engine-flood', 'store-flood', 'peer-flood']);

const requestPrefix = 'flood-';

/** Id of a request of a flood. */
export function floodRequestId(flood: string, number: number): string {
	return `${requestPrefix}${flood}-${number}`;
}

export function isFloodRequest(id: string): boolean {
	return id.startsWith(requestPrefix);
}

export function isFloodFault<Other extends {kind: string}>(fault: Other | FloodFault): fault is FloodFault {
	return floodKinds.has(fault.kind);
}

/** Whether the name of a fault is that of a flood, a signal or a failed start. */
export function isFloodName(name: string): boolean {
	return floodKinds.has(name);
}

/** Whether a process ends and another one starts in a fault of this name. */
export function isRestartName(name: string): boolean {
	return restartKinds.has(name);
}

const callerFloods: readonly CallerFlood[] = ['pipelined', 'unfinished-bodies', 'chunked-bodies', 'whole-bodies', 'endless-heads', 'idle-connections', 'unread-answers'];
const engineFloods: readonly EngineFlood[] = ['status-line', 'header', 'headers', 'provisional', 'body', 'chunks', 'chunk-extension', 'trailers', 'event', 'events', 'after-answer'];
const storeFloods: readonly StoreFlood[] = ['header', 'headers', 'body', 'chunks'];
const peerFloods: readonly PeerFlood[] = ['datagrams', 'relay-bytes', 'relay-head'];
const portNames: readonly PortName[] = ['callers', 'readiness', 'metrics', 'peers', 'relay'];
const endSignals: readonly EndSignal[] = ['SIGTERM', 'SIGKILL'];

/** Least and greatest number of connections of a flood. */
const connectionCounts: Readonly<Record<CallerFlood, {least: number; greatest: number}>> = {
	pipelined: {least: 3, greatest: 10}, 'unfinished-bodies': {least: 20, greatest: 100}, 'chunked-bodies': {least: 5, greatest: 20}, 'whole-bodies': {least: 20, greatest: 100},
	'endless-heads': {least: 20, greatest: 100}, 'idle-connections': {least: 200, greatest: 600}, 'unread-answers': {least: 20, greatest: 100},
};

/** Time in milliseconds between the beginnings of two faults, and for which a flood lasts. */
const faultGap = {least: 200, greatest: 1500};
const floodTime = {least: 1500, greatest: 5000};

/** Greatest time in milliseconds from a spawn to a signal, and from the first signal of a stop or a series to a later one. */
const latestAfterSpawn = 100;
const latestAfterStop = 1500;

/** Time in milliseconds for which a file is torn or a port taken. */
const outage = {least: 100, greatest: 1000};

/** Share of a run that has floods alone; the usual faults come beside them after it. */
const floodsAloneShare = 0.6;

/** Time in milliseconds at the start and the end of a run without floods. */
const quietTime = {start: 2500, end: 5000};

/** Draws the faults of a run of so many milliseconds. */
export function drawFloods(generator: RandomGenerator, duration: number, {instances, engines}: {instances: number; engines: number}): FloodFault[] {
	const number = (least: number, greatest: number) => uniformInt(generator, least, greatest);
	const pick = <Value>(values: readonly Value[]): Value => values[number(0, values.length - 1)]!;
	const signals = (latest: number, kinds: ReadonlyArray<LaterSignal['signal']>): LaterSignal[] => Array.from({length: number(1, 4)}, () => ({signal: pick(kinds), after: number(0, latest)}))
		.toSorted((one, other) => one.after - other.after);
	const faults: FloodFault[] = [];
	for (let at = quietTime.start; at < duration - quietTime.end; at += number(faultGap.least, faultGap.greatest)) {
		const span = {at, duration: number(floodTime.least, floodTime.greatest)};
		const instance = number(0, instances - 1);
		const draws: Array<() => FloodFault> = [
			callerFlood,
			callerFlood,
			callerFlood,
			engineFlood,
			engineFlood,
			engineFlood,
			() => ({...span, kind: 'store-flood', flood: pick(storeFloods)}),
			() => ({
				...span, kind: 'peer-flood', instance, flood: pick(peerFloods),
			}),
			() => ({
				...span, kind: 'hangups', instance, signals: signals(latestAfterStop, ['SIGHUP']),
			}),
			() => ({
				...span, kind: 'stop-signals', instance, signals: signals(latestAfterStop, ['SIGTERM', 'SIGHUP']),
			}),
			() => ({
				...span, kind: 'start-signals', instance, first: pick(endSignals), signals: signals(latestAfterSpawn, ['SIGHUP', 'SIGHUP', 'SIGHUP', 'SIGTERM']),
			}),
			() => ({
				...span, kind: 'torn-settings', instance, first: pick(['SIGTERM', 'SIGKILL', 'SIGHUP'] as const), tornTime: number(outage.least, outage.greatest), keptShare: number(0, 99) / 100,
			}),
			() => ({
				...span, kind: 'taken-port', instance, first: pick(endSignals), port: pick(portNames), takenTime: number(outage.least, outage.greatest),
			}),
		];
		faults.push(pick(draws)());

		function callerFlood(): FloodFault {
			const flood = pick(callerFloods);
			const {least, greatest} = connectionCounts[flood];
			return {
				...span, kind: 'caller-flood', instance, flood, connections: number(least, greatest),
			};
		}

		function engineFlood(): FloodFault {
			return {
				...span, kind: 'engine-flood', engine: number(0, engines - 1), flood: pick(engineFloods), calls: pick(['requests', 'requests', 'requests', 'reservations'] as const),
			};
		}
	}

	return faults;
}

/** Whether a usual fault is played beside floods in a run of so many milliseconds. */
export function isPlayedBesideFloods({at}: {at: number}, duration: number): boolean {
	return at >= duration * floodsAloneShare;
}
