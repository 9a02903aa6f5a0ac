/**
 * In-memory twin of the platform's rate-limited weight store.
 *
 * @module
 */
import {
	type CallKind, PlatformFailure, toWeightsError, unknownWeights,
} from '../failure.js';
import {TokenBucket} from '../token-bucket.js';
import {type WeightEntry, type WeightStore} from '../weight-store.js';
import {CallCounts} from './call-counts.js';
import {type FaultOptions, PlatformFaults} from './faults.js';

/** Admissions per second where no rate is set. */
const defaultAdmissionsPerSecond = 2;

export type MemoryWeightStoreOptions = FaultOptions & {
	/**
	 * Admissions per second.
	 * @default 2
	 */
	admissionsPerSecond?: number;
	/**
	 * Entries held from the start.
	 * @default []
	 */
	entries?: readonly WeightEntry[];
};

/** A weight store of names and sizes; it throws 1004 for an entry that it does not hold. */
export class MemoryWeightStore implements WeightStore {
	readonly faults: PlatformFaults;
	readonly counts = new CallCounts();
	readonly #entries = new Map<string, WeightEntry>();
	readonly #admissions: TokenBucket;

	constructor({admissionsPerSecond = defaultAdmissionsPerSecond, entries = [], ...faults}: MemoryWeightStoreOptions = {}) {
		this.faults = new PlatformFaults(faults);
		this.#admissions = new TokenBucket({rate: admissionsPerSecond, burst: Math.max(1, admissionsPerSecond)});
		for (const entry of entries) {
			this.declare(entry);
		}
	}

	/** Adds or replaces an entry. */
	declare(entry: WeightEntry): void {
		this.#entries.set(entryKey(entry.name, entry.version), {...entry});
	}

	async list(signal?: AbortSignal): Promise<WeightEntry[]> {
		this.counts.add('list', 'weights');
		return this.#call('read', () => [...this.#entries.values()].map(entry => ({...entry})), signal);
	}

	async admit(name: string, version: string, signal?: AbortSignal): Promise<WeightEntry> {
		this.counts.add('admit', 'weights');
		return this.#call('write', () => {
			const entry = this.#entries.get(entryKey(name, version));
			if (!entry) {
				throw unknownWeights(name, version);
			}

			if (!this.#admissions.tryTake()) {
				throw new PlatformFailure('rate-limited', `over the rate of ${this.#admissions.rate} admissions per second`);
			}

			return {...entry};
		}, signal);
	}

	async #call<Result>(kind: CallKind, effect: () => Result, signal: AbortSignal | undefined): Promise<Result> {
		try {
			return await this.faults.call({kind, effect, signal});
		} catch (error) {
			throw toWeightsError(error, kind);
		}
	}
}

function entryKey(name: string, version: string): string {
	return JSON.stringify([name, version]);
}
