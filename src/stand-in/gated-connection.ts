/**
 * A server's connection whose bytes can be withheld.
 *
 * @module
 */
import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import type {Faults} from './faults.js';

/** Passes bytes between a socket and a server unless a fault withholds them. */
export class GatedConnection extends Duplex {
	readonly #socket: Socket;
	readonly #faults: Faults;
	#silent = false;
	#exempt = false;

	constructor(socket: Socket, faults: Faults) {
		super();
		this.#socket = socket;
		this.#faults = faults;
		socket.on('data', (chunk: Uint8Array) => {
			void this.#receive(chunk);
		});
		socket.on('end', () => {
			this.push(null);
		});
		socket.on('error', error => {
			this.destroy(error);
		});
		socket.on('close', () => {
			this.destroy();
		});
	}

	/** Whether the connection shows no faults, since it carries orders about them. */
	get exempt(): boolean {
		return this.#exempt;
	}

	/** Shows no faults on this connection from now on. */
	setExempt(): void {
		this.#exempt = true;
	}

	/** Lets nothing through any more, in either direction, and keeps the socket open. */
	silence(): void {
		this.#silent = true;
		this.#socket.resume();
	}

	override _read(): void {
		this.#socket.resume();
	}

	override _write(chunk: Uint8Array, _encoding: BufferEncoding, done: (error?: Error) => void): void {
		void this.#send(chunk, done);
	}

	override _final(done: (error?: Error) => void): void {
		if (!this.#silent) {
			this.#socket.end();
		}

		done();
	}

	override _destroy(...[error, done]: Parameters<Duplex['_destroy']>): void {
		// A silent connection looks open to its other end, whatever becomes of the server's side.
		if (!this.#silent) {
			this.#socket.destroy();
		}

		done(error);
	}

	get #withheld(): boolean {
		return !this.#exempt && this.#faults.frozenFor > 0;
	}

	async #receive(chunk: Uint8Array): Promise<void> {
		if (this.#withheld) {
			this.#socket.pause();
			await this.#faults.thawed();
			this.#socket.resume();
		}

		if (!this.#silent && !this.destroyed && !this.push(chunk)) {
			this.#socket.pause();
		}
	}

	async #send(chunk: Uint8Array, done: (error?: Error) => void): Promise<void> {
		if (this.#withheld) {
			await this.#faults.thawed();
		}

		if (this.#silent || this.#socket.destroyed) {
			done();
			return;
		}

		this.#socket.write(chunk, error => {
			done(error ?? undefined);
		});
	}
}
