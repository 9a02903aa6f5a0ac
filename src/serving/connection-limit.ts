/**
 * Bounds how many connections of callers are open, so that the others of the process find descriptors.
 *
 * @module
 */
import type {Socket} from 'node:net';

/** Share of the sockets that callers may take; the rest is for engines, relays, peers and the store. */
const callerShare = 0.6;

/** Share of the process's memory that connections of callers may take, and the bytes that one takes with a request. */
const memoryShare = 0.1;
const connectionBytes = 32_768;

/** What the platform allows the process. */
export type ProcessLimits = {
	/** Open sockets and pipes; undefined where no limit is known. */
	socketLimit: number | undefined;
	/** Memory in bytes; undefined where no limit is known. */
	memoryLimit: number | undefined;
};

/** Largest number of connections of callers; infinite where no limit is known. */
export function maximumCallerConnections({socketLimit = Number.POSITIVE_INFINITY, memoryLimit = Number.POSITIVE_INFINITY}: ProcessLimits): number {
	return Math.floor(Math.max(1, Math.min(socketLimit * callerShare, memoryLimit * memoryShare / connectionBytes)));
}

/** Open connections of callers, up to a limit. */
export class ConnectionLimit {
	readonly #maximum: number;
	readonly #isBusy: (socket: Socket) => boolean;
	/** Remote addresses by connection, the least recently used first. */
	readonly #connections = new Map<Socket, string>();
	#closedCount = 0;

	/**
	 * @param maximum - Number of connections.
	 * @param isBusy - Whether a connection has a request that was received and is not answered.
	 */
	constructor(maximum: number, isBusy: (socket: Socket) => boolean) {
		this.#maximum = maximum;
		this.#isBusy = isBusy;
	}

	/** Number of connections that were closed for others. */
	get closedCount(): number {
		return this.#closedCount;
	}

	/** Adds a new connection. Beyond the limit, one that is not busy is closed, or else the new one. */
	add(socket: Socket): void {
		this.#connections.set(socket, socket.remoteAddress ?? '');
		socket.once('close', () => {
			this.#connections.delete(socket);
		});
		if (this.#connections.size > this.#maximum) {
			const victim = this.#findVictim(socket) ?? socket;
			this.#connections.delete(victim);
			this.#closedCount += 1;
			victim.destroy();
		}
	}

	/** Records that a request has come on a connection. */
	recordUse(socket: Socket): void {
		const address = this.#connections.get(socket);
		if (address !== undefined) {
			this.#connections.delete(socket);
			this.#connections.set(socket, address);
		}
	}

	/** The least recently used connection that is not busy, of the address that has most of these; undefined if there is none. */
	#findVictim(newest: Socket): Socket | undefined {
		const idle = [...this.#connections].filter(([socket]) => socket !== newest && !this.#isBusy(socket));
		const counts = new Map<string, number>();
		for (const [, address] of idle) {
			counts.set(address, (counts.get(address) ?? 0) + 1);
		}

		const most = Math.max(...counts.values());
		return idle.find(([, address]) => counts.get(address) === most)?.[0];
	}
}
