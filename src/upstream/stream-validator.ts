/**
 * Checks that the messages of a stream belong to its request and attempt, in order and without gaps.
 *
 * @module
 */
import {CarobquayError} from '../errors/errors.js';
import type {EngineMessage} from './engine.js';

/** Counts of messages that were not passed on. */
export type DroppedMessages = {
	/** Messages of another request or attempt. */
	misrouted: number;
	/** Messages with an offset that was already passed on. */
	duplicate: number;
	/** Events that could not be parsed as a message. */
	malformed: number;
};

/** Values that the messages of a stream must match. */
export type ExpectedStream = {
	/** Request and attempt; absent when resuming, in which case they are taken from the "accepted" message. */
	request?: {requestId: string; attempt: number};
	/** Stream id; absent for a new stream, whose id is not known yet. */
	streamId?: string;
	/** Offset of the first token. */
	offset: number;
};

/** Validates the messages of one stream. */
export class StreamValidator {
	readonly #engineName: string;
	readonly #streamId: string | undefined;
	readonly #dropped: DroppedMessages;
	#request: {requestId: string; attempt: number} | undefined;
	#nextOffset: number;

	/**
	 * @param engineName - Name of the engine, for error messages.
	 * @param dropped - Counters to increment.
	 */
	constructor(engineName: string, {request, streamId, offset}: ExpectedStream, dropped: DroppedMessages) {
		this.#engineName = engineName;
		this.#request = request;
		this.#streamId = streamId;
		this.#nextOffset = offset;
		this.#dropped = dropped;
	}

	/**
	 * Returns whether a message is to be passed on; otherwise counts it as dropped.
	 *
	 * @throws {CarobquayError} 4003 if messages before it are missing.
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
