/**
 * A connection to another instance: a task that owns its socket.
 *
 * Each end sends a nonce and then signed messages, `hello` first. A link on which nothing has arrived for the idle
 * bound is closed, since a connection can go silent for good while new ones work.
 *
 * A link that is closed on purpose loses nothing: a socket that is destroyed with unread bytes is reset, and what either
 * end has not read or sent by then is lost. A link that is closed because of a fault is destroyed at once.
 *
 * @module
 */
import {randomBytes} from 'node:crypto';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {Buffer} from 'node:buffer';
import {errorMessage} from '../errors/errors.js';
import {
	FrameReader, FrameWriter, nonceSize, type Role,
} from './frame.js';
import type {LoadDigest} from './load-digest.js';
import {
	maximumRecords, packMessage, parseMessage, type MemberClaim, type PeerMessage,
} from './messages.js';

/** Greatest number of bytes waiting in a socket; a link whose other end does not read is closed. */
const maximumBacklog = 16 * 1_048_576;

/** Longest time in milliseconds for which a link that is closed on purpose waits for the other end to close; some turns of a busy event loop. */
const endTimeout = 1000;

/** Hears from links. */
export interface LinkListener {
	opened(link: Link, peer: string): void;
	received(link: Link, message: PeerMessage): void;
	/** Called once; messages that the other end had sent by then still follow where the link was closed on purpose. */
	closed(link: Link, reason: string): void;
}

export type LinkOptions = {
	socket: Socket;
	role: Role;
	/** Shared keys: the first signs, all are accepted. */
	keys: readonly string[];
	/** Name of this instance. */
	name: string;
	incarnation: number;
	listener: LinkListener;
	/**
	 * Name of the instance that was dialed.
	 * @default any may answer
	 */
	dialed?: string;
};

/** A link that is ending sends nothing new, but reads until the other end closes. */
type LinkState = 'open' | 'ending' | 'closed';

/** One link and what waits to be sent on it. */
export class Link {
	readonly role: Role;
	/** Resolves when the connection is gone. */
	readonly ended: Promise<void>;
	readonly #options: LinkOptions;
	readonly #nonce = randomBytes(nonceSize);
	readonly #claims = new Map<string, MemberClaim>();
	readonly #loads = new Map<number, LoadDigest>();
	#head: Uint8Array = new Uint8Array();
	#reader: FrameReader | undefined;
	#writer: FrameWriter | undefined;
	#peer: string | undefined;
	#receivedAt = performance.now();
	#sentAt = performance.now();
	#state: LinkState = 'open';
	#endTimer: NodeJS.Timeout | undefined;

	constructor(options: LinkOptions) {
		this.#options = options;
		this.role = options.role;
		const {socket} = options;
		socket.setNoDelay(true);
		socket.on('data', bytes => {
			this.#take(bytes);
		});
		socket.on('error', error => {
			this.close(error.message);
		});
		this.ended = new Promise(resolve => {
			socket.on('close', () => {
				this.close('closed by the other end');
				resolve();
			});
		});
		socket.write(this.#nonce);
	}

	/** Name of the other instance, once it has said so with an accepted key. */
	get peer(): string | undefined {
		return this.#peer;
	}

	/** Name of the instance that was dialed; undefined where the other end dialed. */
	get dialed(): string | undefined {
		return this.#options.dialed;
	}

	/** Whether messages can be sent. */
	get isOpen(): boolean {
		return this.#state === 'open';
	}

	/** Time in milliseconds since something arrived. */
	get silence(): number {
		return performance.now() - this.#receivedAt;
	}

	/** Time in milliseconds since something was sent. */
	get quiet(): number {
		return performance.now() - this.#sentAt;
	}

	/** Bytes sent and received. */
	get bytes(): number {
		return this.#options.socket.bytesWritten + this.#options.socket.bytesRead;
	}

	/** Counts the silence from now on; used after this instance was paused. */
	forgive(): void {
		this.#receivedAt = performance.now();
	}

	send(message: PeerMessage): void {
		if (!this.isOpen || !this.#writer) {
			return;
		}

		this.#sentAt = performance.now();
		this.#options.socket.write(this.#writer.write(packMessage(message)));
		if (this.#options.socket.writableLength > maximumBacklog) {
			this.close('the other end does not read');
		}
	}

	/** Has a claim sent at the next flush; replaces an older claim about the same member. */
	enqueueClaim(claim: MemberClaim): void {
		this.#claims.set(claim.name, claim);
	}

	/** Has a load sent at the next flush; replaces an older one of the same upstream. */
	enqueueLoad(load: LoadDigest): void {
		this.#loads.set(load.upstream, load);
	}

	/** Sends the claims that wait. */
	flushClaims(): void {
		for (const claims of batches([...this.#claims.values()])) {
			this.send({kind: 'members', claims});
		}

		this.#claims.clear();
	}

	/** Sends the loads that wait. */
	flushLoads(): void {
		for (const loads of batches([...this.#loads.values()])) {
			this.send({kind: 'loads', loads});
		}

		this.#loads.clear();
	}

	/** Closes the link because of a fault, at once. */
	close(reason: string): void {
		const isNews = this.#state === 'open';
		this.#state = 'closed';
		clearTimeout(this.#endTimer);
		this.#options.socket.destroy();
		if (isNews) {
			this.#options.listener.closed(this, reason);
		}
	}

	/**
	 * Closes the link on purpose: sends what waits, and reads until the other end closes or a time limit has passed. A link whose
	 * other end has not said its name has nothing to lose and is destroyed at once.
	 */
	end(reason: string): void {
		this.flushClaims();
		this.flushLoads();
		if (this.#peer === undefined) {
			this.close(reason);
		} else if (this.isOpen) {
			this.#state = 'ending';
			this.#options.socket.end();
			this.#endTimer = setTimeout(() => {
				this.close(reason);
			}, endTimeout);
			this.#options.listener.closed(this, reason);
		}
	}

	#take(bytes: Uint8Array): void {
		this.#receivedAt = performance.now();
		try {
			for (const decoded of this.#decode(bytes)) {
				this.#receive(parseMessage(decoded));
			}
		} catch (error) {
			this.close(errorMessage(error));
		}
	}

	#decode(bytes: Uint8Array): unknown[] {
		if (this.#reader) {
			return this.#reader.read(bytes);
		}

		this.#head = Buffer.concat([this.#head, bytes]);
		if (this.#head.length < nonceSize) {
			return [];
		}

		const rest = this.#head.subarray(nonceSize);
		this.#begin(this.#head.subarray(0, nonceSize));
		return rest.length > 0 ? this.#reader!.read(rest) : [];
	}

	#begin(peerNonce: Uint8Array): void {
		const {role, keys, name, incarnation} = this.#options;
		const nonces = Buffer.concat(role === 'dialer' ? [this.#nonce, peerNonce] : [peerNonce, this.#nonce]);
		this.#reader = new FrameReader(keys, {role: role === 'dialer' ? 'listener' : 'dialer', nonces});
		this.#writer = new FrameWriter(keys[0]!, {role, nonces});
		this.send({kind: 'hello', name, incarnation});
	}

	#receive(message: PeerMessage): void {
		if (this.#state === 'closed') {
			return;
		}

		if (this.#peer !== undefined) {
			this.#forgetOlder(message);
			this.#options.listener.received(this, message);
			return;
		}

		if (message.kind !== 'hello') {
			this.close('the first message was not a hello');
			return;
		}

		if (this.dialed !== undefined && this.dialed !== message.name) {
			this.close(`"${message.name}" answered in place of "${this.dialed}"`);
			return;
		}

		this.#peer = message.name;
		this.#options.listener.opened(this, message.name);
	}

	/** Drops what waits here where the other end already has it. */
	#forgetOlder(message: PeerMessage): void {
		if (message.kind !== 'loads') {
			return;
		}

		for (const {upstream, version} of message.loads) {
			if ((this.#loads.get(upstream)?.version ?? Infinity) <= version) {
				this.#loads.delete(upstream);
			}
		}
	}
}

function batches<Item>(items: Item[]): Item[][] {
	return Array.from({length: Math.ceil(items.length / maximumRecords)}, (_, index) => items.slice(index * maximumRecords, (index + 1) * maximumRecords));
}
