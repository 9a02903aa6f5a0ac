/**
 * Splits a stream of server-sent events into events without changing their bytes.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {ByteCollector} from '../memory/byte-collector.js';
import {parseEventId} from './event-order.js';

const lineFeed = 10;
const carriageReturn = 13;

/** Maximum size of one event; streams with a larger one are rejected. */
export const maximumEventBytes = 1_048_576;

/** One complete event. */
export type StreamEvent = {
	/** The event as received, with the empty line that ends it. */
	bytes: Uint8Array;
	/** Value of the `id` field; undefined if the event has none by which a stream can be resumed. */
	id: string | undefined;
	/** Whether it has comments alone, which say nothing to the caller. */
	isComment: boolean;
};

/** What the bytes since the last line feed are: none, one carriage return, or others. */
type LineStart = 'empty' | 'carriage-return' | 'other';

/** Buffers received bytes and returns complete events. Each byte is looked at once, however small the pieces are. */
export class EventSplitter {
	readonly #pending = new ByteCollector();
	#lineStart: LineStart = 'other';

	/** Number of bytes of the incomplete event at the end of the stream. */
	get pendingLength(): number {
		return this.#pending.length;
	}

	/** Appends bytes. @returns the events that they complete. @throws {RangeError} An event exceeds the maximum size. */
	push(bytes: Uint8Array): StreamEvent[] {
		const events: StreamEvent[] = [];
		let start = 0;
		for (let end = this.#findEventEnd(bytes, start); end > 0; end = this.#findEventEnd(bytes, start)) {
			events.push(parseEvent(this.#complete(bytes.subarray(start, end))));
			start = end;
		}

		const rest = bytes.subarray(start);
		if (this.#pending.length + rest.length > maximumEventBytes) {
			throw new RangeError(`event exceeds ${maximumEventBytes} bytes`);
		}

		this.#pending.append(rest);
		return events;
	}

	/** Returns the bytes of the incomplete event, which is not completed any more. */
	takePending(): Uint8Array {
		return this.#pending.take();
	}

	#complete(end: Uint8Array): Uint8Array {
		if (this.#pending.length === 0) {
			return end;
		}

		this.#pending.append(end);
		return this.#pending.take();
	}

	/** Position after the empty line that ends an event; 0 if the event is incomplete. */
	#findEventEnd(bytes: Uint8Array, start: number): number {
		let position = start;
		while (position < bytes.length) {
			if (this.#lineStart === 'other') {
				position = bytes.indexOf(lineFeed, position) + 1;
				if (position === 0) {
					return 0;
				}

				this.#lineStart = 'empty';
			} else {
				const byte = bytes[position];
				position += 1;
				if (byte === lineFeed) {
					this.#lineStart = 'other';
					return position;
				}

				this.#lineStart = byte === carriageReturn && this.#lineStart === 'empty' ? 'carriage-return' : 'other';
			}
		}

		return 0;
	}
}

function parseEvent(bytes: Uint8Array): StreamEvent {
	const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString('latin1');
	return {bytes, id: parseIdField(text), isComment: isComment(text)};
}

const idLinePattern = /^id: ?(.*)$/gmv;

/** The last of several `id` fields counts. */
function parseIdField(event: string): string | undefined {
	return parseEventId([...event.matchAll(idLinePattern)].at(-1)?.[1]);
}

/** Whether every line of an event begins with a colon. */
function isComment(event: string): boolean {
	return event.startsWith(':') && !/^[^:\r\n]/mv.test(event);
}
