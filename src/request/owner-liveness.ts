/**
 * Which owners of streams are gone, by the lagging instance list alone.
 *
 * @module
 */
import type {InstanceSnapshot} from '../platform/instance-list.js';

/** Time in milliseconds for which an instance must be missing from the list; above the list's greatest lag. */
const defaultGracePeriod = 30_000;

/** Follows the entry instances of the list. Only an instance that was listed before and is missing counts as gone. */
export class OwnerLiveness {
	readonly #gracePeriod: number;
	readonly #listed = new Set<string>();
	/** Monotonic time in milliseconds since which an instance is missing. */
	readonly #missingSince = new Map<string, number>();

	/** @param grace - Time in milliseconds for which an instance must be missing. */
	constructor(grace = defaultGracePeriod) {
		this.#gracePeriod = grace;
	}

	/** Takes a reading of the list in. */
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

	/** @param owner - Name and incarnation, as "name/incarnation". */
	isDead(owner: string, now: number): boolean {
		const since = this.#missingSince.get(owner.split('/', 1)[0]!);
		return since !== undefined && now - since >= this.#gracePeriod;
	}
}
