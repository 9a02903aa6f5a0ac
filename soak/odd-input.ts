/**
 * Input that nobody should act on: entries of another writer among those of the engines, and requests with malformed heads.
 *
 * @module
 */
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callerHeaders, engineRowDocument, routePrefixes, storeLocations,
} from '../platform/stand-in/deployment.js';
import type {StandInStore} from '../platform/stand-in/store.js';
import type {Instance} from './instances.js';
import {ports} from './ports.js';

/** What is odd about an entry. Each has the address of a port that no engine listens on. */
export type OddEntry = 'key' | 'missing' | 'type' | 'number' | 'port' | 'nested';

/** What is malformed about a head. */
export type OddHead = 'blank' | 'no-name' | 'tab';

export const oddEntries: readonly OddEntry[] = ['key', 'missing', 'type', 'number', 'port', 'nested'];
export const oddHeads: readonly OddHead[] = ['blank', 'no-name', 'tab'];

const nestingDepth = 10_000;
const nestedText = `${'['.repeat(nestingDepth)}${']'.repeat(nestingDepth)}`;

const changes: Readonly<Record<OddEntry, Readonly<Record<string, unknown>>>> = {
	key: {}, missing: {sequence: undefined}, type: {version: 7, sequence: '1'}, number: {slots: 1e300}, port: {address: '127.0.0.1:99999'}, nested: {cold_remaining_ms: 'nested'},
};

/** Port of the discard service, on which nothing listens. */
const unusedPort = 9;

/** Leaves an entry among those of the engines for a while. */
export async function leaveEntry(store: StandInStore, entry: OddEntry, duration: number): Promise<void> {
	const key = entry === 'key' ? 'šabloon' : 'left-behind';
	const document = {
		...engineRowDocument({
			service: 'plain', port: unusedPort, state: 'ready', startedAt: 1,
		}), ...changes[entry],
	};
	store.putText(storeLocations.engines, key, JSON.stringify(document).replace('"nested"', nestedText));
	await sleep(duration);
	store.remove(storeLocations.engines, key);
}

const targets: Readonly<Record<OddHead, {name: string; field: string}>> = {
	blank: {name: 'x', field: 'Transfer Encoding: chunked\r\n'}, 'no-name': {name: 'x', field: ': chunked\r\n'}, tab: {name: 'a\tb', field: ''},
};

/** Interval in milliseconds between two requests with a malformed head. */
const headInterval = 300;

/** Sends requests with a malformed head, each on a connection of its own. */
export async function sendHeads(instance: Instance, head: OddHead, duration: number): Promise<void> {
	const {name, field} = targets[head];
	const headers = Object.entries(callerHeaders(`malformed-${head}`, 1000)).map(([key, value]) => `${key}: ${value}\r\n`).join('');
	for (let passed = 0; passed < duration; passed += headInterval) {
		const socket = net.connect(ports.callers, instance.ip);
		socket.on('error', () => undefined).resume();
		socket.end(`GET ${routePrefixes.idempotent}${name} HTTP/1.1\r\n${headers}${field}\r\n`, 'latin1');
		await sleep(headInterval); // eslint-disable-line no-await-in-loop
	}
}
