/**
 * In-memory twin of the platform's object store.
 *
 * @module
 */
import {type CallKind, toObjectsError} from '../failure.js';
import {type ObjectStore, type PutOptions} from '../object-store.js';
import {CallCounts, purposeOfKey} from './call-counts.js';
import {type FaultOptions, PlatformFaults} from './faults.js';
import {SortedKeys} from './sorted-keys.js';

/** An object store that forgets with its process. */
export class MemoryObjects implements ObjectStore {
	readonly faults: PlatformFaults;
	readonly counts = new CallCounts();
	readonly #objects = new Map<string, Uint8Array>();
	readonly #keys = new SortedKeys();

	constructor(options: FaultOptions = {}) {
		this.faults = new PlatformFaults(options);
	}

	async put(key: string, bytes: Uint8Array, {onlyIfAbsent = false}: PutOptions = {}, signal?: AbortSignal): Promise<boolean> {
		this.counts.add('put', purposeOfKey(key));
		const copy = Uint8Array.from(bytes);
		return this.#call('write', () => {
			if (onlyIfAbsent && this.#objects.has(key)) {
				return false;
			}

			this.#objects.set(key, copy);
			this.#keys.add(key);
			return true;
		}, signal);
	}

	async get(key: string, signal?: AbortSignal): Promise<Uint8Array | undefined> {
		this.counts.add('get', purposeOfKey(key));
		return this.#call('read', () => {
			const bytes = this.#objects.get(key);
			return bytes && Uint8Array.from(bytes);
		}, signal);
	}

	async list(prefix: string, options: {after?: string; limit?: number} = {}, signal?: AbortSignal): Promise<string[]> {
		this.counts.add('list', purposeOfKey(prefix));
		return this.#call('read', () => this.#keys.list(prefix, options), signal);
	}

	async delete(key: string, signal?: AbortSignal): Promise<void> {
		this.counts.add('delete', purposeOfKey(key));
		await this.#call('write', () => {
			this.#objects.delete(key);
			this.#keys.delete(key);
		}, signal);
	}

	async #call<Result>(kind: CallKind, effect: () => Result, signal: AbortSignal | undefined): Promise<Result> {
		try {
			return await this.faults.call({kind, effect, signal});
		} catch (error) {
			throw toObjectsError(error, kind);
		}
	}
}
