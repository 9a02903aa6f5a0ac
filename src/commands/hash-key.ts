/**
 * `carobquay hash-key`: prints the hash of a key.
 *
 * @module
 */
import {hashKey} from '../entry/authentication.js';
import {print} from './output.js';

/** Prints the SHA-256 of a key, as settings and configuration hold it. */
export function hashKeyCommand(key: string): void {
	print(hashKey(key));
}
