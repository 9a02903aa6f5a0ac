/**
 * Stream to an engine through a relay.
 *
 * @module
 */
import type net from 'node:net';
import {Duplex} from 'node:stream';
import {FrameReader} from './relay-protocol.js';

/** Bytes to and from an engine. Ends only when the engine has ended its side; any other end of the connection is an error. */
export class RelayedStream extends Duplex {
	readonly #socket: net.Socket;
	readonly #reader = new FrameReader();

	/** @param socket - Connection to the relay, which has answered that it is connected. */
	constructor(socket: net.Socket) {
		super();
		this.#socket = socket;
		socket.on('data', (bytes: Uint8Array) => {
			this.#receive(bytes);
		});
		socket.on('error', error => {
			this.destroy(error);
		});
		socket.on('close', () => {
			// What was received up to a marked end may still be read.
			if (!this.#reader.isEnded) {
				this.destroy(new Error('relay closed the connection before the end of the response'));
			}
		});
	}

	override _read(): void {
		this.#socket.resume();
	}

	override _write(chunk: Uint8Array, _encoding: string, done: (error?: Error | null) => void): void { // eslint-disable-line @typescript-eslint/no-restricted-types
		this.#socket.write(chunk, done);
	}

	override _final(done: () => void): void {
		this.#socket.end(done);
	}

	override _destroy(error: Error | null, done: (error: Error | null) => void): void { // eslint-disable-line @typescript-eslint/no-restricted-types
		this.#socket.destroy();
		done(error);
	}

	#receive(bytes: Uint8Array): void {
		try {
			for (const piece of this.#reader.read(bytes)) {
				if (!this.push(piece)) {
					this.#socket.pause();
				}
			}
		} catch (error) {
			this.destroy(error instanceof Error ? error : new Error(String(error)));
			return;
		}

		if (this.#reader.isEnded) {
			this.push(null);
		}
	}
}
