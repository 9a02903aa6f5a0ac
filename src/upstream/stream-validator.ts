/**
 * Checks that the messages of a stream are the caller's own, in order and without a gap.
 *
 * @module
 */
import {CarobquayError} from '../errors/errors.js';
import type {EngineMessage} from './engine.js';

/** Messages that were not passed on. */
export type DroppedMessages = {
	/** Of another request or attempt. */
	misrouted: number;
	/** Of an offset that was passed on already. */
	duplicate: number;
	/** Not in the form of a message. */
	malformed: number;
};

/** What a stream's messages must match. */
export type ExpectedStream = {
	/** Request and attempt; absent on resuming, where "accepted" tells them. */
	request?: {requestId: string; attempt: number};
	/** Stream, where it is known. */
	streamId?: string;
	/** Offset of the first token. */
	offset: number;
};

/** Checks the messages of one stream. */
export class StreamValidator {
	readonly #engineName: string;
	readonly #streamId: string | undefined;
	readonly #dropped: DroppedMessages;
	#request: {requestId: string; attempt: number} | undefined;
	#nextOffset: number;

	/**
	 * @param engine - Name for error messages.
	 * @param dropped - Counters to raise.
	 */
	constructor(engine: string, {request, streamId, offset}: ExpectedStream, dropped: DroppedMessages) {
		this.#engineName = engine;
		this.#request = request;
		this.#streamId = streamId;
		this.#nextOffset = offset;
		this.#dropped = dropped;
	}

	/**
	 * Whether a message is to be passed on; counts it where not.
	 *
	 * @throws {CarobquayError} 4003 where messages before it are missing.
	 */
	accepts(message: EngineMessage): boolean {
		if (!this.#belongsToStream(message)) {
			this.#dropped.misrouted++;
			return false;
		}

		if (message.kind === 'accepted' || message.kind === 'heartbeat') {
			return true;
		}

		if (message.offset < this.#nextOffset) {
			this.#dropped.duplicate++;
			return false;
		}

		if (message.offset > this.#nextOffset) {
			throw new CarobquayError('4003', {
				message: `engine "${this.#engineName}" sent ${message.kind} at offset ${message.offset} of request "${message.requestId}", expected ${this.#nextOffset}`,
			});
		}

		this.#nextOffset += message.kind === 'token' ? 1 : 0;
		return true;
	}

	#belongsToStream(message: EngineMessage): boolean {
		if (message.kind === 'accepted' && this.#streamId !== undefined && message.streamId !== this.#streamId) {
			return false;
		}

		if (message.kind === 'accepted') {
			this.#request ??= {requestId: message.requestId, attempt: message.attempt};
		}

		return message.requestId === this.#request?.requestId && message.attempt === this.#request.attempt;
	}
}
