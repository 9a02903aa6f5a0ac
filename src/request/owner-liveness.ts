/**
 * Determines which owners of streams are dead, from the instance list alone, which lags behind.
 *
 * @module
 */
import type {InstanceSnapshot} from '../platform/instance-list.js';

/** Time in milliseconds for which an instance must be missing from the list to count as dead; longer than the maximum lag of the list. */
const defaultGracePeriod = 30_000;

/** Tracks the entry instances of the list. Only an instance that was listed before and is now missing can count as dead. */
export class OwnerLiveness {
	readonly #gracePeriod: number;
	readonly #listed = new Set<string>();
	/** Monotonic time in milliseconds since which each missing instance has not been listed. */
	readonly #missingSince = new Map<string, number>();

	/** @param gracePeriod - Time in milliseconds for which an instance must be missing to count as dead. */
	constructor(gracePeriod = defaultGracePeriod) {
		this.#gracePeriod = gracePeriod;
	}

	/** Updates the listed and missing instances from a snapshot of the list. */
	applySnapshot({instances}: InstanceSnapshot, now: number): void {
		const listed = new Set(instances.filter(({kind}) => kind === 'entry').map(({name}) => name));
		for (const name of this.#listed) {
			if (!listed.has(name)) {
				this.#listed.delete(name);
				this.#missingSince.set(name, now);
			}
		}

		for (const name of listed) {
			this.#listed.add(name);
			this.#missingSince.delete(name);
		}
	}

	/** @param owner - Name and incarnation of the owning instance, as "name/incarnation". */
	isDead(owner: string, now: number): boolean {
		const missingSince = this.#missingSince.get(owner.split('/', 1)[0]!);
		return missingSince !== undefined && now - missingSince >= this.#gracePeriod;
	}
}
