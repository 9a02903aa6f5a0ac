/**
 * A loopback proxy for connections, which delays, resets, silences or cuts them one way.
 *
 * @module
 */
import net from 'node:net';

/** What the proxy does to connections. `silent` keeps open ones without passing anything on and serves new ones. */
export type LinkFault = 'none' | 'delay' | 'reset' | 'silent' | 'cutForward' | 'cutBack' | 'dark';

/**
 * How the proxy cuts off the connections that come from an address: all `hang`, all are `reset`, or only new ones are
 * `refuse`d while open ones go on.
 */
export type SourceCut = 'hang' | 'reset' | 'refuse';

/** Delay in milliseconds of each piece on a delayed link. */
const delay = 120;

type Pair = {near: net.Socket; far: net.Socket; isSilenced: boolean; source: string | undefined};

/** One link. */
export class Proxy {
	readonly #pairs = new Set<Pair>();
	readonly #server: net.Server;
	readonly #cutSources = new Map<string, SourceCut>();
	#fault: LinkFault = 'none';
	readonly #target: () => number;

	/** @param target - Port behind the proxy, asked for each connection. */
	constructor(target: () => number) {
		this.#target = target;
		this.#server = net.createServer({allowHalfOpen: true}, near => {
			this.#connect(near);
		});
	}

	async listen(): Promise<number> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		const address = this.#server.address();
		return typeof address === 'object' && address !== null ? address.port : 0;
	}

	/** Puts a fault in force, for open connections as well. */
	strike(fault: LinkFault): void {
		this.#fault = fault;
		for (const pair of this.#pairs) {
			if (fault === 'reset') {
				pair.near.resetAndDestroy();
				pair.far.resetAndDestroy();
			}

			pair.isSilenced ||= fault === 'silent';
		}
	}

	/** Resets the connections that are open, whatever fault is in force. */
	resetOpen(): void {
		for (const {near, far} of this.#pairs) {
			near.resetAndDestroy();
			far.resetAndDestroy();
		}
	}

	/** Cuts off the connections from an address. Those that hang stay silent for good, as their bytes are lost. */
	cutSource(address: string, cut: SourceCut): void {
		this.#cutSources.set(address, cut);
		for (const pair of this.#pairs) {
			if (pair.source === address && cut === 'reset') {
				pair.near.resetAndDestroy();
				pair.far.resetAndDestroy();
			}

			pair.isSilenced ||= pair.source === address && cut === 'hang';
		}
	}

	healSource(address: string): void {
		this.#cutSources.delete(address);
	}

	/** Refuses connections, as the port of a process that has ended does, until `resume`. */
	suspend(): void {
		if (this.#server.listening) {
			this.close();
		}
	}

	async resume(port: number): Promise<void> {
		if (!this.#server.listening) {
			await new Promise<void>(resolve => {
				this.#server.listen(port, '127.0.0.1', resolve);
			});
		}
	}

	close(): void {
		this.#server.close();
		for (const {near, far} of this.#pairs) {
			near.destroy();
			far.destroy();
		}
	}

	#connect(near: net.Socket): void {
		const source = near.remoteAddress;
		const cut = this.#cutSources.get(source ?? '');
		if (this.#fault === 'reset' || cut === 'reset' || cut === 'refuse') {
			near.resetAndDestroy();
			return;
		}

		const far = net.connect({host: '127.0.0.1', port: this.#target(), allowHalfOpen: true});
		const pair: Pair = {
			near, far, source, isSilenced: cut === 'hang',
		};
		this.#pairs.add(pair);
		this.#pipe(pair, near, far, 'cutForward');
		this.#pipe(pair, far, near, 'cutBack');
	}

	#pipe(pair: Pair, from: net.Socket, to: net.Socket, cut: LinkFault): void {
		const pass = (action: () => void) => {
			if (pair.isSilenced || this.#fault === cut || this.#fault === 'dark') {
				return;
			}

			if (this.#fault === 'delay') {
				setTimeout(action, delay);
			} else {
				action();
			}
		};

		const resume = () => {
			from.resume();
		};

		// The end of a connection that is not read shows only when reading goes on.
		to.once('close', resume);
		to.on('drain', resume);
		from.on('data', bytes => {
			pass(() => {
				if (!to.write(bytes)) {
					from.pause();
				}
			});
		});
		from.on('end', () => {
			// The runtime shows a reset that comes with data as an end; only a reset loses the address.
			const isReset = from.remoteAddress === undefined;
			pass(() => {
				if (isReset) {
					to.resetAndDestroy();
				} else {
					to.end();
				}
			});
		});
		from.on('error', () => {
			to.resetAndDestroy();
		});
		from.on('close', () => {
			this.#pairs.delete(pair);
			// A reset shows as a close without an end.
			if (!from.readableEnded) {
				to.resetAndDestroy();
			}
		});
	}
}
