import net from 'node:net';
import {PassThrough} from 'node:stream';
import type {EngineRecord} from '../../serving/model.js';
import type {ConnectionListener, EngineConnector, FailureEvidence} from '../../upstream/engine-connector.js';

/** How connecting ends: at once, never, or not within the timeout. */
export type PathState = 'whole' | 'refusing' | 'hanging';

/** Time in milliseconds after which a connection over a hanging path is given up. */
export const hangingTimeout = 300;

/** Options of a `StandInPath`. */
export type StandInPathOptions = {
	/** @default the path is direct */
	relay?: string;
	/** What a failure says about the engine. */
	evidence?: FailureEvidence;
	/** Time in milliseconds until a connection over a whole path is established. */
	delay?: number;
};

/** A way to an engine whose state the test sets. */
export class StandInPath implements EngineConnector {
	state: PathState = 'whole';
	/** Streams that were handed out. */
	readonly streams: PassThrough[] = [];
	attemptCount = 0;
	abortCount = 0;

	readonly #options: StandInPathOptions;

	constructor(options: StandInPathOptions = {}) {
		this.#options = options;
	}

	connect({onConnected, onFailure}: ConnectionListener) {
		const {state} = this;
		const {relay, evidence = 'unchecked', delay = 1} = this.#options;
		this.attemptCount += 1;
		const timer = setTimeout(() => {
			if (state === 'whole') {
				const stream = new PassThrough();
				this.streams.push(stream);
				onConnected(stream, relay);
			} else {
				onFailure({reason: state, isRefused: state === 'refusing', evidence});
			}
		}, state === 'hanging' ? hangingTimeout : delay);
		return {
			abort: () => {
				this.abortCount += 1;
				clearTimeout(timer);
			},
		};
	}
}

export function createEngineRecord(id: string, port = 1): EngineRecord {
	return {
		id, service: 's', host: '127.0.0.1', port, address: `127.0.0.1:${port}`, failureDomain: 'a', slots: 1, state: 'ready', startedAt: undefined,
	};
}

export function portOf(server: net.Server): number {
	const address = server.address();
	return typeof address === 'object' && address !== null ? address.port : 0;
}

/** Listens on a free loopback port. */
export async function listen(server: net.Server): Promise<number> {
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return portOf(server);
}

/** A loopback port on which nothing listens. */
export async function unusedPort(): Promise<number> {
	const server = net.createServer();
	const port = await listen(server);
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}
