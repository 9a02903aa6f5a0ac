/**
 * Splits the bytes of an event stream at the ends of events, without changing them.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

const lineFeed = 10;
const carriageReturn = 13;

/** Greatest size in bytes of one event; a stream with a longer one is broken off. */
export const maximumEventBytes = 1_048_576;

/** One whole event as it came. */
export type StreamEvent = {
	bytes: Uint8Array;
	/** Number of the event; undefined where it has none. */
	id: number | undefined;
};

/** Takes bytes in and gives whole events out. */
export class EventSplitter {
	#pending: Uint8Array = new Uint8Array(0);

	/** Bytes of an event that has not ended. */
	get pending(): Uint8Array {
		return this.#pending;
	}

	/** Events that the bytes complete. @throws {RangeError} Where an event is too long. */
	push(bytes: Uint8Array): StreamEvent[] {
		const all: Uint8Array = this.#pending.length === 0 ? bytes : Buffer.concat([this.#pending, bytes]);
		const events: StreamEvent[] = [];
		let start = 0;
		for (let end = findEventEnd(all, start); end > 0; end = findEventEnd(all, start)) {
			const event = all.subarray(start, end);
			events.push({bytes: event, id: parseEventId(event)});
			start = end;
		}

		this.#pending = all.slice(start);
		if (this.#pending.length > maximumEventBytes) {
			throw new RangeError(`event of over ${maximumEventBytes} bytes`);
		}

		return events;
	}
}

/** Position after the empty line that ends an event; 0 where there is none yet. */
function findEventEnd(bytes: Uint8Array, start: number): number {
	for (let position = bytes.indexOf(lineFeed, start); position >= 0; position = bytes.indexOf(lineFeed, position + 1)) {
		const next = bytes[position + 1] === carriageReturn ? position + 2 : position + 1;
		if (bytes[next] === lineFeed) {
			return next + 1;
		}
	}

	return 0;
}

const idLinePattern = /^id: ?(\d{1,15})\r?$/mv;

function parseEventId(event: Uint8Array): number | undefined {
	const found = idLinePattern.exec(Buffer.from(event).toString('latin1'));
	return found ? Number(found[1]) : undefined;
}
