/**
 * Bytes that stand for exported KV memory; damage to them is found on import.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

/** Bytes that stand for one prefix. */
const bytesPerHash = 1024;

/** The bytes of an export. */
export function exportBytes(hashes: readonly string[]): Uint8Array {
	return Buffer.concat(hashes.map(hash => Buffer.alloc(bytesPerHash, hash)));
}

/** Whether bytes are those of an export of the hashes. */
export function isWholeExport(hashes: readonly string[], bytes: Uint8Array): boolean {
	return Buffer.compare(exportBytes(hashes), bytes) === 0;
}
