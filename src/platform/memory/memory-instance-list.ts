/**
 * In-memory twin of the platform's lagging instance list.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {toInstanceListError} from '../failure.js';
import {type InstanceList, type InstanceSnapshot, type ListedInstance} from '../instance-list.js';
import {CallCounts} from './call-counts.js';
import {type FaultOptions, PlatformFaults} from './faults.js';

/** Lag in milliseconds where none is set. */
const defaultLag = 1000;

export type MemoryInstanceListOptions = FaultOptions & {
	/**
	 * Time in milliseconds until a change is visible to readers.
	 * @default 1000
	 */
	lag?: number;
	/**
	 * Instances visible from the start.
	 * @default []
	 */
	instances?: readonly ListedInstance[];
};

type PendingSnapshot = InstanceSnapshot & {
	/** Monotonic time in milliseconds. */
	visibleAt: number;
};

/** A list whose changes readers see after a lag, in order. */
export class MemoryInstanceList implements InstanceList {
	readonly faults: PlatformFaults;
	readonly counts = new CallCounts();
	/** Time in milliseconds until a change is visible. */
	lag: number;
	readonly #instances = new Map<string, ListedInstance>();
	#visible: InstanceSnapshot;
	#pending: PendingSnapshot[] = [];
	#revision = 1;

	constructor({lag = defaultLag, instances = [], ...faults}: MemoryInstanceListOptions = {}) {
		this.faults = new PlatformFaults(faults);
		this.lag = lag;
		for (const instance of instances) {
			this.#instances.set(instance.name, structuredClone(instance));
		}

		this.#visible = this.#snapshot();
	}

	/** Adds or replaces an instance, for example to declare that it is leaving. */
	declare(instance: ListedInstance): void {
		this.#instances.set(instance.name, structuredClone(instance));
		this.#changed();
	}

	/** @returns false where no such instance is declared. */
	remove(name: string): boolean {
		const removed = this.#instances.delete(name);
		if (removed) {
			this.#changed();
		}

		return removed;
	}

	async read(signal?: AbortSignal): Promise<InstanceSnapshot> {
		this.counts.add('read', 'instances');
		try {
			return await this.faults.call({kind: 'read', effect: () => this.#current(), signal});
		} catch (error) {
			throw toInstanceListError(error);
		}
	}

	#changed(): void {
		this.#revision++;
		// A change made under a shorter lag does not overtake an earlier one.
		const visibleAt = Math.max(performance.now() + this.lag, this.#pending.at(-1)?.visibleAt ?? 0);
		this.#pending.push({...this.#snapshot(), visibleAt});
	}

	#snapshot(): InstanceSnapshot {
		return {revision: this.#revision, instances: structuredClone([...this.#instances.values()])};
	}

	#current(): InstanceSnapshot {
		const now = performance.now();
		const due = this.#pending.filter(snapshot => snapshot.visibleAt <= now);
		this.#pending = this.#pending.slice(due.length);
		const latest = due.at(-1);
		if (latest) {
			this.#visible = {revision: latest.revision, instances: latest.instances};
		}

		return structuredClone(this.#visible);
	}
}
