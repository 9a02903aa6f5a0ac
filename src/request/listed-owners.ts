/**
 * Which owners of streams are gone, by the lagging instance list alone.
 *
 * @module
 */
import type {InstanceSnapshot} from '../platform/instance-list.js';

/** Time in milliseconds for which an instance must be missing from the list; above the list's greatest lag. */
const defaultGrace = 30_000;

/** Follows the entry instances of the list. Only an instance that was listed before and is missing counts as gone. */
export class ListedOwners {
	readonly #grace: number;
	readonly #live = new Set<string>();
	/** Monotonic time in milliseconds since which an instance is missing. */
	readonly #missing = new Map<string, number>();

	/** @param grace - Time in milliseconds for which an instance must be missing. */
	constructor(grace = defaultGrace) {
		this.#grace = grace;
	}

	/** Takes a reading of the list in. */
	observe({instances}: InstanceSnapshot, now: number): void {
		const listed = new Set(instances.filter(({kind}) => kind === 'entry').map(({name}) => name));
		for (const name of this.#live) {
			if (!listed.has(name)) {
				this.#live.delete(name);
				this.#missing.set(name, now);
			}
		}

		for (const name of listed) {
			this.#live.add(name);
			this.#missing.delete(name);
		}
	}

	/** @param owner - Name and incarnation, as "name/incarnation". */
	isDead(owner: string, now: number): boolean {
		const since = this.#missing.get(owner.split('/', 1)[0]!);
		return since !== undefined && now - since >= this.#grace;
	}
}
