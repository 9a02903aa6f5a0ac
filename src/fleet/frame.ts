/**
 * Frames on a link between instances: length, version, authentication code and a CBOR payload.
 *
 * A frame is a length of 4 bytes (of what follows), a version byte, a code of 16 bytes and the payload. The code covers
 * the nonces of both ends, the sender's role and the frame's number, so that a frame can be neither replayed on
 * another connection nor sent back to its sender.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Encoder} from 'cbor-x';

/** Version of the frames and of the messages in them. */
export const protocolVersion = 1;

/** Greatest size in bytes of one frame. */
export const maximumFrame = 8 * 1_048_576;

/** Greatest size in bytes of a frame from an end that has not been authenticated. */
export const maximumUnauthenticatedFrame = 1024;

/** Sizes in bytes. */
const lengthSize = 4;
const versionSize = 1;
const codeSize = 16;

/** Size in bytes of the random number that each end begins with. */
export const nonceSize = 16;

const codec = new Encoder({useRecords: false, tagUint8Array: false});

/** Which end of a connection sends. */
export type Role = 'dialer' | 'listener';

/** A frame was malformed, too large, of another version or not signed by an accepted key. */
export class FrameError extends Error {
	constructor(message: string) {
		super(message);
		this.name = 'FrameError';
	}
}

/** What one direction of a connection is signed with. */
export type Signing = {
	role: Role;
	/** Nonces of the dialer and the listener, one after the other. */
	nonces: Uint8Array;
};

/** Signs frames with the first key. */
export class FrameWriter {
	readonly #key: string;
	readonly #signing: Signing;
	#number = 0;

	constructor(key: string, signing: Signing) {
		this.#key = key;
		this.#signing = signing;
	}

	/**
	 * Encodes one message.
	 *
	 * @throws {FrameError} Where the message is larger than a frame may be.
	 */
	write(message: unknown): Uint8Array {
		const payload = codec.encode(message);
		const length = versionSize + codeSize + payload.length;
		if (length > maximumFrame) {
			throw new FrameError(`message of ${payload.length} bytes is larger than a frame may be`);
		}

		const head = Buffer.alloc(lengthSize + versionSize);
		head.writeUInt32BE(length);
		head.writeUInt8(protocolVersion, lengthSize);
		return Buffer.concat([head, frameCode(this.#key, this.#signing, this.#number++, payload), payload]);
	}
}

/** Checks frames against all accepted keys, and keeps to the key that signed the first one. */
export class FrameReader {
	#keys: readonly string[];
	readonly #signing: Signing;
	#number = 0;
	#pending: Uint8Array[] = [];
	#pendingSize = 0;

	constructor(keys: readonly string[], signing: Signing) {
		this.#keys = keys;
		this.#signing = signing;
	}

	/**
	 * Takes in bytes.
	 *
	 * @returns the messages that are complete, not yet validated.
	 * @throws {FrameError} Where the other end cannot be trusted or understood; the connection must be closed.
	 */
	read(bytes: Uint8Array): unknown[] {
		this.#pending.push(bytes);
		this.#pendingSize += bytes.length;
		const messages: unknown[] = [];
		for (let frame = this.#nextFrame(); frame; frame = this.#nextFrame()) {
			messages.push(this.#open(frame));
		}

		return messages;
	}

	#nextFrame(): Uint8Array | undefined {
		if (this.#pendingSize < lengthSize) {
			return undefined;
		}

		if (this.#pending[0]!.length < lengthSize) {
			this.#pending = [Buffer.concat(this.#pending)];
		}

		const length = new DataView(this.#pending[0]!.buffer, this.#pending[0]!.byteOffset).getUint32(0);
		const limit = this.#number === 0 ? maximumUnauthenticatedFrame : maximumFrame;
		if (length < versionSize + codeSize || length > limit) {
			throw new FrameError(`frame of ${length} bytes is outside the limits`);
		}

		if (this.#pendingSize < lengthSize + length) {
			return undefined;
		}

		const bytes = Buffer.concat(this.#pending);
		this.#pending = [bytes.subarray(lengthSize + length)];
		this.#pendingSize = bytes.length - lengthSize - length;
		return bytes.subarray(lengthSize, lengthSize + length);
	}

	#open(frame: Uint8Array): unknown {
		if (frame[0] !== protocolVersion) {
			throw new FrameError(`frame of version ${frame[0]}; this instance understands ${protocolVersion}`);
		}

		const code = frame.subarray(versionSize, versionSize + codeSize);
		const payload = frame.subarray(versionSize + codeSize);
		const key = this.#keys.find(candidate => timingSafeEqual(code, frameCode(candidate, this.#signing, this.#number, payload)));
		if (key === undefined) {
			throw new FrameError('frame is not signed by an accepted key');
		}

		this.#keys = [key];
		this.#number++;
		return codec.decode(payload);
	}
}

function frameCode(key: string, {role, nonces}: Signing, number: number, payload: Uint8Array): Uint8Array {
	const numberBytes = Buffer.alloc(8);
	numberBytes.writeBigUInt64BE(BigInt(number));
	return createHmac('sha256', key).update(role).update(nonces).update(numberBytes).update(payload).digest().subarray(0, codeSize);
}
