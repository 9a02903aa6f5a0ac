/**
 * Signals to processes that start or stop, settings that are torn and ports that are taken at a start.
 *
 * @module
 */
import {createSocket} from 'node:dgram';
import {writeFile} from 'node:fs/promises';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from './callers.js';
import type {Recovery} from './flood-checks.js';
import type {FloodFault, LaterSignal, PortName} from './flood-faults.js';
import type {Instance} from './instances.js';
import {portOf} from './ports.js';

/** Longest time in milliseconds in which an instance is asked whether it serves. */
const longestRecovery = 12_000;

/** Interval in milliseconds between two such requests. */
const askInterval = 100;

type Struck<Kind extends FloodFault['kind']> = Extract<FloodFault, {kind: Kind}>;

/** Sends signals, each so many milliseconds from now. */
export async function sendSignals(instance: Instance, signals: readonly LaterSignal[]): Promise<void> {
	const begunAt = performance.now();
	for (const {signal, after} of signals) {
		await sleep(Math.max(0, begunAt + after - performance.now())); // eslint-disable-line no-await-in-loop
		instance.signal(signal);
	}
}

/** Ends the process and sends signals to the next one. */
export async function signalAtStart(instance: Instance, {first, signals}: Struck<'start-signals'>): Promise<void> {
	const spawned = instance.nextSpawn();
	instance.signal(first);
	await spawned;
	await sendSignals(instance, signals);
}

/** Cuts the settings short for a while. @returns undefined if a running process was told to read them again. */
export async function tearSettings(instance: Instance, {first, tornTime, keptShare}: Struck<'torn-settings'>): Promise<Recovery | undefined> {
	const {settingsPath, settingsText} = instance;
	await writeFile(settingsPath, settingsText.slice(0, Math.floor(settingsText.length * keptShare)));
	if (first === 'SIGHUP') {
		instance.signal(first);
		await sleep(tornTime);
		await writeFile(settingsPath, settingsText);
		instance.signal(first);
		return undefined;
	}

	const spawned = instance.nextSpawn();
	instance.signal(first);
	await spawned;
	await sleep(tornTime);
	await writeFile(settingsPath, settingsText);
	return untilServed(instance, 'its settings were whole again');
}

/** Takes a port before the next start, and gives it back a while after it. */
export async function takePort(instance: Instance, {first, port, takenTime}: Struck<'taken-port'>): Promise<Recovery> {
	let release: (() => void) | undefined;
	const spawned = instance.nextSpawn(async () => {
		release = await occupy(instance.ip, port);
	});
	instance.signal(first);
	await spawned;
	await sleep(takenTime);
	release?.();
	return untilServed(instance, `its port for ${port} was free`);
}

/** @returns what gives the port back; undefined if another one has it. */
async function occupy(ip: string, port: PortName): Promise<(() => void) | undefined> {
	return new Promise(resolve => {
		if (port === 'peers') {
			const socket = createSocket('udp4');
			socket.once('error', () => {
				resolve(undefined);
			});
			socket.bind(portOf(port), ip, () => {
				resolve(() => {
					socket.close();
				});
			});
			return;
		}

		const server = net.createServer(connection => {
			connection.resetAndDestroy();
		});
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(portOf(port), ip, () => {
			resolve(() => {
				server.close();
			});
		});
	});
}

let recoveryCount = 0;

/** Asks until a request is served. @param since - What has happened just now. */
export async function untilServed(instance: Instance, since: string): Promise<Recovery> {
	const from = performance.now();
	recoveryCount += 1;
	for (let tries = 0; performance.now() < from + longestRecovery; tries++) {
		const {status} = await call('idempotent', `recovery-${recoveryCount}-${tries}`, instance, {deadline: 1000}); // eslint-disable-line no-await-in-loop
		if (status === 200) {
			return {
				instance: instance.name, since, from, servedAt: performance.now(),
			};
		}

		await sleep(askInterval); // eslint-disable-line no-await-in-loop
	}

	return {
		instance: instance.name, since, from, servedAt: undefined,
	};
}
