/**
 * Opens connections to other instances, at most one at a time to each and not too often.
 *
 * @module
 */
import {connect, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';

/** Longest time in milliseconds for a connection to open. */
const dialTimeout = 1500;

/** Least time in milliseconds between two attempts to reach the same instance; up to as much again is added at random. */
const redialInterval = 2000;

const addressPattern = /^\[?([^\]]+)\]?:(\d+)$/v;

/** Hears how attempts end. */
export interface DialerListener {
	connected(socket: Socket, name: string): void;
	unreachable(name: string): void;
}

/** Attempts under way and when the next ones are due. */
export class Dialer {
	readonly #listener: DialerListener;
	readonly #attempts = new Map<string, Socket>();
	readonly #dueAt = new Map<string, number>();

	constructor(listener: DialerListener) {
		this.#listener = listener;
	}

	/** Whether an instance may be dialed again. */
	isDue(name: string): boolean {
		return performance.now() >= (this.#dueAt.get(name) ?? 0);
	}

	/** Forgets earlier attempts to reach an instance that has been reached. */
	reached(name: string): void {
		this.#dueAt.delete(name);
	}

	/** Dials unless an attempt is under way. */
	dial(name: string, address: string): void {
		const [, host, port] = addressPattern.exec(address) ?? [];
		if (this.#attempts.has(name) || host === undefined) {
			return;
		}

		const socket = connect({host, port: Number(port), timeout: dialTimeout});
		this.#attempts.set(name, socket);
		this.#dueAt.set(name, performance.now() + (redialInterval * (1 + Math.random())));
		socket.once('connect', () => {
			this.#attempts.delete(name);
			socket.setTimeout(0);
			socket.removeAllListeners();
			this.#listener.connected(socket, name);
		});
		socket.once('timeout', () => {
			socket.destroy(new Error('timeout'));
		});
		socket.on('error', () => {
			this.#attempts.delete(name);
			this.#listener.unreachable(name);
		});
	}

	stop(): void {
		for (const socket of this.#attempts.values()) {
			socket.removeAllListeners();
			socket.on('error', () => undefined);
			socket.destroy();
		}
	}
}
