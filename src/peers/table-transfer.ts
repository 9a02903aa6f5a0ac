/**
 * Transfers table snapshots between instances over TCP, one connection for each snapshot. The answer is a length of
 * 4 bytes followed by deflated CBOR.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Encoder} from 'cbor-x';
import {openServer} from '../startup/ports.js';
import type {EventLog} from '../telemetry/log.js';
import type {RowChange} from '../watch/row-source.js';
import type {TableDigest} from '../watch/table-replica.js';

/** Index of a table in messages between instances. */
export type TableIndex = 0 | 1;

/** Time limit in milliseconds for a whole transfer; half of the shortest time limit for a change to take effect. */
const transferTimeout = 1000;

/** Greatest size in bytes of a snapshot, compressed and decompressed. */
const maximumCompressedSize = 4 * 1_048_576;
const maximumDecompressedSize = 32 * 1_048_576;

/** Size in bytes of the length before the compressed snapshot. */
const lengthSize = 4;

const codec = new Encoder({useRecords: false, mapsAsObjects: true});

/** All rows of a table with their digest. */
export type TableSnapshot = {digest: TableDigest; rows: readonly RowChange[]};

/** The transfer of a table failed. */
export class TableTransferError extends Error {
	constructor(peer: string, reason: string) {
		super(`fetching a table from instance ${peer} failed: ${reason}`);
		this.name = 'TableTransferError';
	}
}

/** Serves table snapshots to other instances. */
export class TableServer {
	readonly #server: net.Server;

	/** @param getSnapshot - Returns the current snapshot of a table, or undefined if there is none. */
	constructor(getSnapshot: (table: TableIndex) => TableSnapshot | undefined) {
		this.#server = net.createServer(socket => {
			socket.setTimeout(transferTimeout, () => {
				socket.destroy();
			});
			// The fetching instance sees the same failure and reports it.
			socket.on('error', () => undefined);
			socket.once('data', request => {
				const snapshot = request[0] === 0 || request[0] === 1 ? getSnapshot(request[0]) : undefined;
				socket.end(snapshot === undefined ? new Uint8Array(0) : encodeSnapshot(snapshot));
			});
		});
	}

	/** @throws the error of the socket; it may be opened again then. */
	async listen(host: string, port: number, log: EventLog): Promise<void> {
		await openServer(this.#server, {host, port}, log);
	}

	close(): void {
		this.#server.close();
	}
}

/** Fetches the snapshot of a table from another instance. @throws {TableTransferError} */
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
			fail(`transfer not complete after ${transferTimeout} ms`);
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
				fail(`compressed table is larger than ${maximumCompressedSize} bytes`);
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

function encodeSnapshot({digest, rows}: TableSnapshot): Uint8Array {
	const body = deflateRawSync(codec.encode([digest.version, digest.checksum, rows.map(({key, value, version}) => [key, value ?? '', version]), digest.era]));
	const length = Buffer.alloc(lengthSize);
	length.writeUInt32BE(body.length);
	return Buffer.concat([length, body]);
}

function decodeSnapshot(bytes: Buffer): TableSnapshot { // eslint-disable-line @typescript-eslint/no-restricted-types
	if (bytes.length < lengthSize || bytes.readUInt32BE() !== bytes.length - lengthSize) {
		throw new RangeError(`length prefix does not match the ${bytes.length} bytes received`);
	}

	const decoded: unknown = codec.decode(inflateRawSync(bytes.subarray(lengthSize), {maxOutputLength: maximumDecompressedSize}));
	if (!Array.isArray(decoded) || typeof decoded[0] !== 'number' || typeof decoded[1] !== 'number' || !Array.isArray(decoded[2])) {
		throw new TypeError('message does not contain a version, a checksum and a list of rows');
	}

	return {
		// The era and the versions of rows are missing in snapshots of earlier builds.
		digest: {version: decoded[0], checksum: decoded[1], era: typeof decoded[3] === 'number' ? decoded[3] : 0},
		rows: decoded[2].filter((row: unknown): row is [string, string, unknown] => Array.isArray(row) && typeof row[0] === 'string' && typeof row[1] === 'string')
			.map(([key, value, version]) => ({
				key, value, removed: false, ...(typeof version === 'number' ? {version} : {}),
			})),
	};
}
