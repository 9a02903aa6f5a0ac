/**
 * A caller's connection, on which requests may be sent behind one another.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {signatureHeader} from '../platform/stand-in/deployment.js';
import type {Call} from './callers.js';

/** What comes next of the answer that arrives: its head, so many bytes, chunks, or all until the connection ends. */
type Expected = {kind: 'head' | 'chunk-head' | 'trailer' | 'until-end'} | {kind: 'bytes' | 'chunk'; left: number};

const lineEnd = '\r\n';

/** Bytes that are read at once. */
const readSize = 16_384;

export type ConnectionOptions = {
	/** Time in milliseconds between two reads; 0 to read all at once. */
	readDelay: number;
	/** Receives bytes that answer no request. */
	onStray: (text: string) => void;
};

/** One connection. */
export class CallerConnection {
	/** @returns undefined if the connection is refused. */
	static async open(host: string, port: number, options: ConnectionOptions): Promise<CallerConnection | undefined> {
		const connection = new CallerConnection(host, port, options);
		return new Promise(resolve => {
			connection.#socket.once('error', () => {
				resolve(undefined);
			});
			connection.#socket.once('connect', () => {
				resolve(connection);
			});
		});
	}

	readonly #socket: net.Socket;
	readonly #pending: Call[] = [];
	readonly #waiting = new Set<() => void>();
	readonly #readDelay: number;
	readonly #onStray: (text: string) => void;
	#received = '';
	#expected: Expected = {kind: 'head'};
	#isReset = false;
	#isLast = false;

	constructor(host: string, port: number, {readDelay, onStray}: ConnectionOptions) {
		this.#readDelay = readDelay;
		this.#onStray = onStray;
		this.#socket = net.connect({
			host, port, noDelay: true,
			// With a buffer of its own, a socket that is paused leaves bytes to the kernel.
			onread: {
				buffer: new Uint8Array(readSize),
				callback: (length, bytes) => {
					this.#received += Buffer.from(bytes.subarray(0, length)).toString('latin1');
					this.#read();
					this.#rest();
					return true;
				},
			},
		});
		this.#socket.on('error', () => {
			this.#isReset = true;
		});
		this.#socket.on('close', () => {
			this.#isLast = true;
			this.#end();
		});
	}

	/** Whether no answer has said that it is the last, and the connection has not ended. */
	get isOpen(): boolean {
		return !this.#isLast;
	}

	/** Writes the first bytes of a request. Its answer is the next one after those of all requests before it. */
	begin(call: Call, text: string): void {
		this.#pending.push(call);
		this.#socket.write(text);
	}

	write(text: string): void {
		this.#socket.write(text);
	}

	/** Resolves when all requests are answered or the connection has ended. */
	async untilAnswered(): Promise<void> {
		while (this.#pending.length > 0) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				this.#waiting.add(resolve);
			});
		}
	}

	close(): void {
		this.#socket.destroy();
	}

	/** Reads nothing for a while. */
	#rest(): void {
		if (this.#readDelay > 0) {
			this.#socket.pause();
			setTimeout(() => {
				this.#socket.resume();
			}, this.#readDelay);
		}
	}

	#read(): void {
		while (this.#received !== '' && this.#readPart()) {
			// Goes on with what is left.
		}
	}

	/** @returns whether there may be more to read. */
	#readPart(): boolean {
		const call = this.#pending[0];
		if (!call) {
			this.#onStray(this.#received);
			this.#received = '';
			return false;
		}

		const expected = this.#expected;
		switch (expected.kind) {
			case 'head': {
				const head = this.#take(lineEnd + lineEnd);
				if (head !== undefined) {
					this.#readHead(call, head);
				}

				return head !== undefined;
			}

			case 'chunk-head': {
				const line = this.#take(lineEnd);
				if (line !== undefined) {
					const left = Number.parseInt(line, 16);
					this.#expected = left === 0 ? {kind: 'trailer'} : {kind: 'chunk', left};
				}

				return line !== undefined;
			}

			case 'trailer': {
				const line = this.#take(lineEnd);
				if (line === '') {
					this.#finish(call);
				}

				return line !== undefined;
			}

			case 'until-end': {
				call.body += this.#received;
				this.#received = '';
				return false;
			}

			case 'bytes':
			case 'chunk': {
				return this.#readBody(call, expected);
			}
		}
	}

	#readBody(call: Call, {kind, left}: {kind: 'bytes' | 'chunk'; left: number}): boolean {
		const part = this.#received.slice(0, left);
		if (kind === 'chunk' && part.length === left && this.#received.length < left + lineEnd.length) {
			return false;
		}

		call.body += part;
		const isWhole = part.length === left;
		this.#received = this.#received.slice(left + (isWhole && kind === 'chunk' ? lineEnd.length : 0));
		this.#expected = isWhole ? {kind: 'chunk-head'} : {kind, left: left - part.length};
		if (isWhole && kind === 'bytes') {
			this.#finish(call);
		}

		return true;
	}

	#readHead(call: Call, head: string): void {
		const [statusLine, ...fields] = head.split(lineEnd);
		const headers = new Map(fields.map(field => [field.slice(0, field.indexOf(':')).toLowerCase(), field.slice(field.indexOf(':') + 1).trim()]));
		call.status = Number(statusLine!.split(' ')[1]);
		call.signed = headers.has(signatureHeader);
		if (headers.get('connection')?.toLowerCase() === 'close') {
			this.#isLast = true;
			for (const later of this.#pending.slice(1)) {
				later.closeReadAt = performance.now();
			}
		}

		const length = headers.get('content-length');
		if (headers.has('transfer-encoding')) {
			this.#expected = {kind: 'chunk-head'};
		} else {
			this.#expected = length === undefined ? {kind: 'until-end'} : {kind: 'bytes', left: Number(length)};
		}

		if (length === '0') {
			this.#finish(call);
		}
	}

	/** Takes what stands before a separator, and the separator. @returns undefined if it has not arrived. */
	#take(separator: string): string | undefined {
		const end = this.#received.indexOf(separator);
		if (end === -1) {
			return undefined;
		}

		const text = this.#received.slice(0, end);
		this.#received = this.#received.slice(end + separator.length);
		return text;
	}

	#finish(call: Call): void {
		call.whole = true;
		call.endedAt = performance.now();
		this.#expected = {kind: 'head'};
		this.#pending.shift();
		const next = this.#pending[0];
		if (next) {
			next.turnAt = call.endedAt;
		}

		this.#wake();
	}

	#end(): void {
		const [first] = this.#pending;
		if (first && this.#expected.kind === 'until-end' && !this.#isReset) {
			this.#finish(first);
		}

		for (const [index, call] of this.#pending.entries()) {
			call.endedAt = performance.now();
			call.turnAt = index > 0 ? call.endedAt : call.turnAt;
			call.failure = this.#isReset ? 'connection reset' : 'connection closed';
		}

		this.#pending.length = 0;
		this.#wake();
	}

	#wake(): void {
		for (const resolve of this.#waiting) {
			resolve();
		}

		this.#waiting.clear();
	}
}
