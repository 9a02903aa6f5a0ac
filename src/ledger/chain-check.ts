/**
 * Checks the chains of the ledger and reports what was changed, moved, removed or lost.
 *
 * @module
 */
import type {ObjectStore} from '../platform/object-store.js';
import {groupBy} from './group-by.js';
import {openSegment, SegmentFault, type Segment} from './segment.js';

/**
 * What is wrong with a chain.
 *
 * - `changed`: the content does not fit its digest, or cannot be read.
 * - `moved`: the content belongs under another key.
 * - `missing`: a segment is not there though a later one is.
 * - `unlinked`: the segment does not follow from the one before it; one of the two was rewritten.
 * - `lost`: the instance counted records that its full buffer did not take.
 * - `open`: the chain has no closing segment: its instance runs, died, or its last segments were removed.
 */
export type FindingKind = 'changed' | 'moved' | 'missing' | 'unlinked' | 'lost' | 'open';

export type Finding = {
	kind: FindingKind;
	/** Key of the segment, or of the one before a missing segment. */
	key: string;
	detail: string;
};

/** Segments that could be read, and what is wrong. */
export type CheckedChains = {
	segments: Segment[];
	findings: Finding[];
	/** Keys of segments that can be read but not trusted. */
	distrusted: ReadonlySet<string>;
};

/** Checks chains over a range of keys. */
export class ChainCheck {
	readonly #objects: ObjectStore;
	readonly #segments: Segment[] = [];
	readonly #findings: Finding[] = [];
	readonly #distrusted = new Set<string>();

	constructor(objects: ObjectStore) {
		this.#objects = objects;
	}

	/**
	 * Reads and checks the segments under some keys.
	 *
	 * @param keys - In the order of the object store.
	 * @throws {CarobquayError} 5004.
	 */
	async check(keys: readonly string[]): Promise<CheckedChains> {
		const chains = groupBy(keys, key => chainOf(key));
		for (const [chain, chainKeys] of chains) {
			await this.#checkChain(chain, chainKeys); // eslint-disable-line no-await-in-loop
		}

		return {segments: this.#segments, findings: this.#findings, distrusted: this.#distrusted};
	}

	async #checkChain(chain: string, keys: readonly string[]): Promise<void> {
		const ordered = keys.toSorted((first, other) => sequenceOf(first) - sequenceOf(other));
		let previous: {key: string; segment: Segment | undefined} | undefined;
		for (const key of ordered) {
			const segment = await this.#read(key); // eslint-disable-line no-await-in-loop
			if (previous === undefined) {
				await this.#checkFirst(key, segment); // eslint-disable-line no-await-in-loop
			} else {
				this.#checkNext(previous, {key, segment});
			}

			previous = {key, segment};
			if (segment !== undefined) {
				this.#take(segment);
			}
		}

		if (previous?.segment !== undefined && previous.segment.closedBy === undefined) {
			this.#report('open', previous.key, `chain ${chain} has no closing segment`);
		}
	}

	async #read(key: string): Promise<Segment | undefined> {
		const bytes = await this.#objects.get(key);
		if (bytes === undefined) {
			this.#report('missing', key, 'it was removed while the ledger was read');
			return undefined;
		}

		try {
			return openSegment(key, bytes);
		} catch (error) {
			if (!(error instanceof SegmentFault)) {
				throw error;
			}

			this.#report(error.kind, key, error.message);
			return undefined;
		}
	}

	/** The first segment in the range follows from one that may lie before the range. */
	async #checkFirst(key: string, segment: Segment | undefined): Promise<void> {
		const sequence = sequenceOf(key);
		if (segment === undefined || sequence === 0) {
			return;
		}

		const {previousKey} = segment.position;
		const bytes = await this.#objects.get(previousKey);
		if (bytes === undefined) {
			this.#report('missing', previousKey, `segment ${key} follows it`);
			return;
		}

		this.#checkLink({key: previousKey, digest: digestOf(previousKey, bytes)}, segment);
	}

	#checkNext(previous: {key: string; segment: Segment | undefined}, {key, segment}: {key: string; segment: Segment | undefined}): void {
		const missing = sequenceOf(key) - sequenceOf(previous.key) - 1;
		if (missing > 0) {
			this.#report('missing', previous.key, `${missing} segments are missing between it and ${key}`);
			return;
		}

		// What was changed itself is reported as such, and says nothing about its neighbour.
		if (segment !== undefined && previous.segment !== undefined) {
			this.#checkLink(previous.segment, segment);
		}
	}

	#checkLink(previous: {key: string; digest: string | undefined}, segment: Segment): void {
		const {previousKey, previousDigest} = segment.position;
		if (previous.digest !== undefined && (previousKey !== previous.key || previousDigest !== previous.digest)) {
			this.#report('unlinked', segment.key, `it does not follow from ${previous.key}: one of the two was rewritten`);
			this.#distrusted.add(segment.key).add(previous.key);
		}
	}

	#take(segment: Segment): void {
		this.#segments.push(segment);
		for (const record of segment.records) {
			if (record.kind === 'gap') {
				this.#report('lost', segment.key, `${record.lost} records from ${iso(record.from)} to ${iso(record.to)} found the buffer full`);
			}
		}
	}

	#report(kind: FindingKind, key: string, detail: string): void {
		this.#findings.push({kind, key, detail});
	}
}

/** Instance and incarnation of a key "ledger/DAY/INSTANCE/INCARNATION/SEQUENCE". */
function chainOf(key: string): string {
	return key.split('/').slice(2, 4).join('/');
}

function sequenceOf(key: string): number {
	return Number(key.slice(key.lastIndexOf('/') + 1));
}

function digestOf(key: string, bytes: Uint8Array): string | undefined {
	try {
		return openSegment(key, bytes).digest;
	} catch {
		return undefined;
	}
}

function iso(time: number): string {
	return new Date(time).toISOString();
}
