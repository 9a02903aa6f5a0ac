/**
 * A stream of a hosted engine and its reader.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {
	EndReason, EngineMessage, StreamSummary, Usage,
} from '../../upstream/engine.js';
import {answerToken} from './answer.js';

/** What identifies a stream and bounds its life. */
export type StreamIdentity = {
	streamId: string;
	requestId: string;
	attempt: number;
	owner: string;
	/** Time in milliseconds that the stream lives on without a reader. */
	orphanLifetime: number;
	/** Hash that each token repeats. */
	answerHash: string;
};

/** How a stream ended. */
export type StreamEnd = {reason: EndReason; usage: Usage};

/** A stream's answer so far; any offset of it can be read again until the stream is forgotten. */
export class HostedStream {
	readonly identity: StreamIdentity;
	#produced = 0;
	#end: StreamEnd | undefined;
	#reader: StreamReader | undefined;
	#readerLeftAt = performance.now();

	constructor(identity: StreamIdentity) {
		this.identity = identity;
	}

	/** Answer tokens that can be read. */
	get produced(): number {
		return this.#produced;
	}

	get end(): StreamEnd | undefined {
		return this.#end;
	}

	/** Time in milliseconds since a reader was last attached; 0 while one is. */
	get orphanedFor(): number {
		return this.#reader ? 0 : performance.now() - this.#readerLeftAt;
	}

	summary(blocks: number): StreamSummary {
		const {streamId, requestId, attempt, owner} = this.identity;
		return {
			streamId, requestId, attempt, owner, orphanedFor: this.orphanedFor, blocks,
		};
	}

	/** Makes tokens readable. */
	publish(produced: number): void {
		this.#produced = produced;
		this.#reader?.wake();
	}

	/** Ends the stream; only the first end counts. */
	finish(end: StreamEnd): void {
		this.#end ??= end;
		this.#reader?.wake();
	}

	/** Attaches a reader in place of the one before, which is closed. */
	attach(reader: StreamReader): void {
		const previous = this.#reader;
		this.#reader = reader;
		previous?.close();
	}

	/** Ends the attached reader without an end message. */
	closeReader(): void {
		this.#reader?.close();
	}

	/** Forgets a reader that was closed; true where it was the attached one. */
	detach(reader: StreamReader): boolean {
		if (this.#reader !== reader) {
			return false;
		}

		this.#reader = undefined;
		this.#readerLeftAt = performance.now();
		return true;
	}
}

/** Reads a stream from an offset: "accepted", tokens, heartbeats while waiting, and the end. */
export class StreamReader implements AsyncIterableIterator<EngineMessage> {
	readonly #stream: HostedStream;
	readonly #heartbeatInterval: number;
	readonly #onClose: (reader: StreamReader) => void;
	#offset: number;
	#announced = false;
	#closed = false;
	#resolveWait: (() => void) | undefined;

	/** @param heartbeatInterval - Time in milliseconds without another message after which a heartbeat is sent. */
	constructor(stream: HostedStream, options: {offset: number; heartbeatInterval: number; onClose: (reader: StreamReader) => void}) {
		this.#stream = stream;
		this.#offset = options.offset;
		this.#heartbeatInterval = options.heartbeatInterval;
		this.#onClose = options.onClose;
	}

	[Symbol.asyncIterator](): this {
		return this;
	}

	async next(): Promise<IteratorResult<EngineMessage, undefined>> {
		if (!this.#closed && !this.#available) {
			await this.#wait();
		}

		if (this.#closed) {
			return {done: true, value: undefined};
		}

		return {done: false, value: this.#take()};
	}

	async return(): Promise<IteratorResult<EngineMessage, undefined>> {
		this.close();
		return {done: true, value: undefined};
	}

	/** Ends reading; the stream goes on. */
	close(): void {
		if (!this.#closed) {
			this.#closed = true;
			this.#onClose(this);
			this.wake();
		}
	}

	/** Looks again for something to read. */
	wake(): void {
		this.#resolveWait?.();
	}

	get #available(): boolean {
		return !this.#announced || this.#offset < this.#stream.produced || this.#stream.end !== undefined;
	}

	#take(): EngineMessage {
		const {requestId, attempt, streamId, answerHash} = this.#stream.identity;
		if (!this.#announced) {
			this.#announced = true;
			return {
				kind: 'accepted', requestId, attempt, streamId,
			};
		}

		if (this.#offset < this.#stream.produced) {
			const offset = this.#offset++;
			return {
				kind: 'token', requestId, attempt, offset, text: answerToken(answerHash, offset),
			};
		}

		if (this.#stream.end) {
			this.close();
			return {
				kind: 'end', requestId, attempt, offset: this.#offset, ...this.#stream.end,
			};
		}

		return {kind: 'heartbeat', requestId, attempt};
	}

	async #wait(): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, this.#heartbeatInterval);
			this.#resolveWait = () => {
				clearTimeout(timer);
				resolve();
			};
		});
		this.#resolveWait = undefined;
	}
}
