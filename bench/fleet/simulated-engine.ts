/**
 * Engines that only report loads, which change by the clock, without sockets.
 *
 * @module
 */
import type {ListedInstance} from '../../src/platform/instance-list.js';
import {hashText} from '../../src/routing/seeded-hash.js';
import type {ClosableEngineClient, ClosableServiceClient, UpstreamConnector} from '../../src/upstream/directory.js';
import type {LoadReport} from '../../src/upstream/engine.js';

/** Time in milliseconds between two changes of an engine's load. */
const changeInterval = 2000;

/** Greatest number of running streams. */
const maximumRunning = 64;

const totalBlocks = 4096;

function unsupported(): never {
	throw new Error('simulated engines only report loads');
}

/** Makes simulated engines and counts the readings of their loads. */
export class SimulatedConnector implements UpstreamConnector {
	/** Engines that say they are leaving. */
	readonly leaving = new Set<string>();
	polls = 0;

	createEngineClient({name}: ListedInstance): ClosableEngineClient {
		return {
			name,
			generate: unsupported,
			resume: unsupported,
			cancel: unsupported,
			cancelRequest: unsupported,
			listStreams: unsupported,
			reserve: unsupported,
			release: unsupported,
			sendCommand: unsupported,
			exportCache: unsupported,
			importCache: unsupported,
			fetchLoad: async () => {
				this.polls++;
				return this.#report(name);
			},
			cacheEvents: async () => ({incarnation: '1', events: [], last: 0}),
			cacheSnapshot: async () => ({incarnation: '1', last: 0, hashes: []}),
			close: async () => undefined,
		};
	}

	createServiceClient(): ClosableServiceClient {
		return unsupported();
	}

	#report(name: string): LoadReport {
		const sequence = Math.floor(Date.now() / changeInterval);
		const random = hashText(`${name} ${sequence}`);
		return {
			sequence: Date.now(),
			incarnation: '1',
			age: 0,
			running: random % maximumRunning,
			waiting: random % 7,
			pendingPromptTokens: random % 200_000,
			freeBlocks: random % totalBlocks,
			totalBlocks,
			blockTokens: 16,
			models: ['stand-in'],
			role: 'mixed',
			leaving: this.leaving.has(name),
		};
	}
}
