/**
 * Holds the tails of other instances, and closes the chains of those that died.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {errorMessage} from '../errors/errors.js';
import type {ObjectStore} from '../platform/object-store.js';
import type {EventLog} from '../telemetry/log.js';
import type {NumberedRecord} from './pending-records.js';
import {
	openSegment, positionAfter, sealSegment, type ChainPosition, type Segment,
} from './segment.js';
import {SegmentStore} from './segment-store.js';
import type {
	RecoverTail, StoreTail, Tail, TailRecovered, TailStored,
} from './tail.js';

export type TailHolderOptions = {
	/** Name of the instance that holds. */
	instance: string;
	objects: ObjectStore;
	log: EventLog;
	/**
	 * Time in milliseconds without a message after which an owner counts as dead.
	 * @default 15_000
	 */
	silence?: number;
};

/** Time in milliseconds without a message after which an owner counts as dead. */
const defaultSilence = 15_000;

type HeldTail = {
	position: ChainPosition;
	records: NumberedRecord[];
	through: number;
	/** Monotonic time in milliseconds of the last message. */
	heardAt: number;
};

/** Tails of other instances by incarnation. */
export class TailHolder {
	readonly #options: TailHolderOptions;
	readonly #segments: SegmentStore;
	readonly #silence: number;
	readonly #tails = new Map<string, HeldTail>();

	constructor(options: TailHolderOptions) {
		this.#options = options;
		this.#segments = new SegmentStore(options.objects);
		this.#silence = options.silence ?? defaultSilence;
	}

	/** Takes what is new of a tail. */
	store({incarnation, position, writtenThrough, after, records, closed}: StoreTail): TailStored {
		if (closed) {
			this.#tails.delete(incarnation);
			return {kind: 'ledger.tail-stored', through: writtenThrough};
		}

		const held = this.#tails.get(incarnation);
		const through = Math.max(held?.through ?? 0, writtenThrough);
		// A message that begins later than what is held leaves a hole: the owner has to go back.
		const fresh = after <= through ? records.filter(({number}) => number > through) : [];
		const tail: HeldTail = {
			position,
			records: [...(held?.records ?? []).filter(({number}) => number > writtenThrough), ...fresh],
			through: fresh.at(-1)?.number ?? through,
			heardAt: performance.now(),
		};
		this.#tails.set(incarnation, tail);
		return {kind: 'ledger.tail-stored', through: tail.through};
	}

	/** Gives the tail of an incarnation to an instance that will close its chain. */
	recover({incarnation}: RecoverTail): TailRecovered {
		const held = this.#tails.get(incarnation);
		return {kind: 'ledger.tail-recovered', tail: held && tailOf(held)};
	}

	/** Closes the chains of owners that fell silent; called from time to time. */
	async closeSilent(): Promise<void> {
		const now = performance.now();
		for (const [incarnation, held] of this.#tails) {
			if (now - held.heardAt >= this.#silence) {
				// eslint-disable-next-line no-await-in-loop -- one put at a time keeps within the store's limits
				await this.#close(incarnation, held);
			}
		}
	}

	async #close(incarnation: string, held: HeldTail): Promise<void> {
		const {instance, log} = this.#options;
		try {
			const segment = await closeChain(this.#segments, tailOf(held), instance);
			// A message that came meanwhile shows that the owner lives; it will find its chain closed.
			if (this.#tails.get(incarnation) === held) {
				this.#tails.delete(incarnation);
			}

			log.info('ledger.chain-closed', {
				incarnation, key: segment.key, records: segment.records.length, closed_by: segment.closedBy,
			});
		} catch (error) {
			log.warn('ledger.chain-not-closed', {incarnation, reason: errorMessage(error)});
		}
	}
}

function tailOf({position, records}: HeldTail): Tail {
	return {position, records: records.map(({record}) => record)};
}

/**
 * Writes a tail as the last segment of its chain. Whoever comes second finds the chain closed and adds nothing.
 *
 * @returns the segment that closes the chain.
 * @throws {CarobquayError} 5004, {SegmentFault} where a present segment is damaged.
 */
export async function closeChain(segments: SegmentStore, {position, records}: Tail, closedBy: string): Promise<Segment> {
	let next = position;
	let left = records;
	for (;;) {
		const segment = sealSegment(next, left, closedBy);
		const put = await segments.put(segment); // eslint-disable-line no-await-in-loop
		if (put.state === 'written') {
			return segment;
		}

		const present = openSegment(segment.key, put.bytes);
		if (present.closedBy !== undefined) {
			return present;
		}

		// The owner wrote this segment before it died: only what it lacks is left.
		const written = new Set(present.records.map(record => JSON.stringify(record)));
		left = left.filter(record => !written.has(JSON.stringify(record)));
		next = positionAfter(present);
	}
}
