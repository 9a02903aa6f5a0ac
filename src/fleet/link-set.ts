/**
 * The links of one instance.
 *
 * @module
 */
import type {Link} from './link.js';

/** Silence in milliseconds of a link that is given up for a new one. */
const silenceBound = 2000;

/** Links that are open or opening. */
export class LinkSet {
	readonly #links = new Set<Link>();
	/** Links that were closed on purpose and whose connections are not gone yet. */
	readonly #ending = new Set<Link>();
	#closedBytes = 0;

	/** All links, also those whose other end has not said its name. */
	get all(): Link[] {
		return [...this.#links];
	}

	/** Links whose other end is known. */
	get open(): Link[] {
		return this.all.filter(({peer}) => peer !== undefined);
	}

	/** Bytes sent and received on all links so far, without the headers of TCP. */
	get bytes(): number {
		return [...this.#links, ...this.#ending].reduce((sum, link) => sum + link.bytes, this.#closedBytes);
	}

	add(link: Link): void {
		this.#links.add(link);
	}

	remove(link: Link): void {
		if (this.#links.delete(link)) {
			this.#ending.add(link);
			void link.ended.then(() => {
				this.#ending.delete(link);
				this.#closedBytes += link.bytes;
			});
		}
	}

	/** Closes all links and waits until their connections are gone. A silent other end does not read, so that nothing is waited for there. */
	async endAll(reason: string): Promise<void> {
		for (const link of this.all) {
			if (link.silence < silenceBound) {
				link.end(reason);
			} else {
				link.close(reason);
			}
		}

		await Promise.all([...this.#ending].map(async ({ended}) => ended));
	}

	/** The link to an instance. */
	to(name: string): Link | undefined {
		return this.all.find(({peer}) => peer === name);
	}

	/**
	 * Of two links to one instance, the one to close: the one dialed by the smaller name stays, unless it is silent.
	 *
	 * @param own - Name of this instance.
	 */
	surplus(link: Link, own: string): Link | undefined {
		const other = this.all.find(candidate => candidate !== link && candidate.peer === link.peer);
		if (!other) {
			return undefined;
		}

		const kept = own < link.peer! ? 'dialer' : 'listener';
		const isOtherKept = other.role !== link.role && other.role === kept && other.silence < silenceBound;
		return isOtherKept ? link : other;
	}

	/** Open links besides one. */
	others(excluded: Link | undefined): Link[] {
		return this.open.filter(link => link !== excluded);
	}
}
