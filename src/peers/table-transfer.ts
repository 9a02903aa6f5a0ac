/**
 * Gives tables to other instances and takes theirs: one connection for each, length and deflated CBOR.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Encoder} from 'cbor-x';
import type {RowChange} from '../watch/row-source.js';
import type {TableDigest} from '../watch/table-replica.js';

/** Number of a table in messages between instances. */
export type TableIndex = 0 | 1;

/** Time in milliseconds for the whole exchange; half of the least bound on a change. */
const transferTimeout = 1000;

/** Greatest size in bytes of a table on the way, and of one unpacked. */
const maximumCompressedSize = 4 * 1_048_576;
const maximumDecompressedSize = 32 * 1_048_576;

/** Bytes of the length that goes ahead. */
const lengthSize = 4;

const codec = new Encoder({useRecords: false, mapsAsObjects: true});

/** All rows of a table with its state. */
export type TableSnapshot = {digest: TableDigest; rows: readonly RowChange[]};

/** An exchange failed. */
export class TableTransferError extends Error {
	constructor(peer: string, reason: string) {
		super(`table of instance ${peer} was not received: ${reason}`);
		this.name = 'TableExchangeError';
	}
}

/** Serves tables on the port for instances. */
export class TableServer {
	readonly #server: net.Server;

	/** @param getSnapshot - The table as known now; undefined where there is none. */
	constructor(getSnapshot: (table: TableIndex) => TableSnapshot | undefined) {
		this.#server = net.createServer(socket => {
			socket.setTimeout(transferTimeout, () => {
				socket.destroy();
			});
			// The other end sees the same failure and reports it.
			socket.on('error', () => undefined);
			socket.once('data', request => {
				const table = request[0] === 0 || request[0] === 1 ? getSnapshot(request[0]) : undefined;
				socket.end(table === undefined ? new Uint8Array(0) : encodeSnapshot(table));
			});
		});
	}

	async listen(host: string, port: number): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host, port}, resolve);
		});
	}

	close(): void {
		this.#server.close();
	}
}

/** Fetches a table from another instance. @throws {TableTransferError} */
export async function fetchTableSnapshot(host: string, port: number, table: TableIndex): Promise<TableSnapshot> {
	return new Promise((resolve, reject) => {
		const socket = net.connect({host, port, noDelay: true});
		const chunks: Uint8Array[] = [];
		let size = 0;
		const fail = (reason: string) => {
			clearTimeout(timer);
			socket.destroy();
			reject(new TableTransferError(host, reason));
		};

		const timer = setTimeout(() => {
			fail(`not whole within ${transferTimeout} ms`);
		}, transferTimeout);
		socket.on('error', error => {
			fail(error.message);
		});
		socket.once('connect', () => {
			socket.write(Uint8Array.of(table));
		});
		socket.on('data', chunk => {
			chunks.push(chunk);
			size += chunk.length;
			if (size > maximumCompressedSize) {
				fail(`over ${maximumCompressedSize} bytes`);
			}
		});
		socket.on('end', () => {
			clearTimeout(timer);
			try {
				resolve(decodeSnapshot(Buffer.concat(chunks)));
			} catch (error) {
				fail(String(error));
			}
		});
	});
}

function encodeSnapshot({digest: state, rows}: TableSnapshot): Uint8Array {
	const body = deflateRawSync(codec.encode([state.version, state.checksum, rows.map(({key, value}) => [key, value ?? ''])]));
	const length = Buffer.alloc(lengthSize);
	length.writeUInt32BE(body.length);
	return Buffer.concat([length, body]);
}

function decodeSnapshot(bytes: Buffer): TableSnapshot { // eslint-disable-line @typescript-eslint/no-restricted-types
	if (bytes.length < lengthSize || bytes.readUInt32BE() !== bytes.length - lengthSize) {
		throw new RangeError(`${bytes.length} bytes are not the whole table`);
	}

	const decoded: unknown = codec.decode(inflateRawSync(bytes.subarray(lengthSize), {maxOutputLength: maximumDecompressedSize}));
	if (!Array.isArray(decoded) || typeof decoded[0] !== 'number' || typeof decoded[1] !== 'number' || !Array.isArray(decoded[2])) {
		throw new TypeError('the message is no table');
	}

	return {
		digest: {version: decoded[0], checksum: decoded[1]},
		rows: decoded[2].filter((row: unknown): row is [string, string] => Array.isArray(row) && typeof row[0] === 'string' && typeof row[1] === 'string')
			.map(([key, value]) => ({key, value, removed: false})),
	};
}
