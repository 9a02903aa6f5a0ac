/**
 * Wire format between an instance that asks for a relay and the peer that relays.
 *
 * The request is a length of two bytes and CBOR. One byte answers it: a status. After `connected`, the bytes for the
 * engine follow as they are, and those from the engine in frames with a length of four bytes. A frame without bytes
 * marks the end of what the engine has sent, so that a relay that dies is not taken for the end of a response.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {Encoder} from 'cbor-x';

const formatVersion = 1;

/** Greatest size in bytes of an encoded request. */
const maximumRequestSize = 1024;

/** Longest part of a caller's request id that a request holds, in characters; callers choose their ids. */
const maximumRequestIdLength = 200;

/** Longest lifetime in milliseconds that is accepted. */
const maximumLifetime = 86_400_000;

const requestLengthSize = 2;
const frameLengthSize = 4;

const codec = new Encoder({useRecords: false, tagUint8Array: false, mapsAsObjects: true});

/**
 * Answer to a request for a relay.
 *
 * - `connected`: bytes are relayed from now on.
 * - `engine-unreachable`: the relay reaches other engines, but not this one.
 * - `engine-unknown`: the relay knows no such engine, or none that accepts new requests.
 * - `unavailable`: the relay is full or leaving, or cannot tell whether the engine or its own path is at fault.
 */
export type RelayStatus = 'connected' | 'engine-unreachable' | 'engine-unknown' | 'unavailable';

/** Statuses in the order of their numbers on the wire. */
const relayStatuses: readonly RelayStatus[] = ['connected', 'engine-unreachable', 'engine-unknown', 'unavailable'];

/** Request to relay one connection to an engine. */
export type RelayRequest = {
	engineId: string;
	/** Id of the caller's request, for the log. */
	requestId: string;
	/** Time in milliseconds after which the connection is closed in any case. */
	lifetime: number;
};

/** A message of the other side is malformed or of another version. */
export class RelayProtocolError extends Error {
	constructor(reason: string) {
		super(`cannot decode message of a relay: ${reason}`);
		this.name = 'RelayProtocolError';
	}
}

export function encodeRelayRequest({engineId, requestId, lifetime}: RelayRequest): Uint8Array {
	const body = codec.encode([formatVersion, engineId, requestId.slice(0, maximumRequestIdLength), Math.round(lifetime)]);
	const length = Buffer.alloc(requestLengthSize);
	length.writeUInt16BE(body.length);
	return Buffer.concat([length, body]);
}

/** Decodes a request from the bytes received so far; undefined if more are needed. @throws {RelayProtocolError} */
export function decodeRelayRequest(bytes: Uint8Array): {request: RelayRequest; rest: Uint8Array} | undefined {
	if (bytes.length < requestLengthSize) {
		return undefined;
	}

	const length = new DataView(bytes.buffer, bytes.byteOffset).getUint16(0);
	if (length > maximumRequestSize) {
		throw new RelayProtocolError(`request of ${length} bytes, expected at most ${maximumRequestSize}`);
	}

	const end = requestLengthSize + length;
	return bytes.length < end ? undefined : {request: decodeBody(bytes.subarray(requestLengthSize, end)), rest: bytes.subarray(end)};
}

function decodeBody(body: Uint8Array): RelayRequest {
	let fields: unknown;
	try {
		fields = codec.decode(body);
	} catch (error) {
		throw new RelayProtocolError(String(error));
	}

	const [version, engineId, requestId, lifetime] = Array.isArray(fields) ? fields as unknown[] : [];
	if (version !== formatVersion || typeof engineId !== 'string' || typeof requestId !== 'string' || typeof lifetime !== 'number' || !(lifetime > 0 && lifetime <= maximumLifetime)) {
		throw new RelayProtocolError(`expected version ${formatVersion}, an engine, a request and a lifetime, got ${String(JSON.stringify(fields)).slice(0, 100)}`);
	}

	return {engineId, requestId, lifetime};
}

export function encodeRelayStatus(status: RelayStatus): Uint8Array {
	return Uint8Array.of(relayStatuses.indexOf(status));
}

/** A status that this build does not know counts as `unavailable`. */
export function decodeRelayStatus(byte: number): RelayStatus {
	return relayStatuses[byte] ?? 'unavailable';
}

/** Header of a frame of so many bytes. */
export function encodeFrameHeader(length: number): Uint8Array {
	const header = Buffer.alloc(frameLengthSize);
	header.writeUInt32BE(length);
	return header;
}

/** Frame that marks the end. */
export const endFrame = encodeFrameHeader(0);

/** Reads frames, whose bytes are passed on as they arrive. */
export class FrameReader {
	readonly #header = Buffer.alloc(frameLengthSize);
	#headerBytes = 0;
	#bytesLeft = 0;
	#isEnded = false;

	/** Whether the end was marked. */
	get isEnded(): boolean {
		return this.#isEnded;
	}

	/** Returns the content of the frames. @throws {RelayProtocolError} if bytes follow the end. */
	read(bytes: Uint8Array): Uint8Array[] {
		const pieces: Uint8Array[] = [];
		let position = 0;
		while (position < bytes.length) {
			if (this.#isEnded) {
				throw new RelayProtocolError(`${bytes.length - position} bytes after the end`);
			}

			if (this.#bytesLeft > 0) {
				const piece = bytes.subarray(position, position + this.#bytesLeft);
				pieces.push(piece);
				position += piece.length;
				this.#bytesLeft -= piece.length;
			} else {
				position += this.#readHeader(bytes.subarray(position));
			}
		}

		return pieces;
	}

	/** @returns the number of bytes used. */
	#readHeader(bytes: Uint8Array): number {
		const part = bytes.subarray(0, frameLengthSize - this.#headerBytes);
		this.#header.set(part, this.#headerBytes);
		this.#headerBytes += part.length;
		if (this.#headerBytes === frameLengthSize) {
			this.#headerBytes = 0;
			this.#bytesLeft = this.#header.readUInt32BE();
			this.#isEnded = this.#bytesLeft === 0;
		}

		return part.length;
	}
}
