/**
 * The unwritten tail of a ledger, held by a peer in another failure domain.
 *
 * Two pairs of messages: store and stored, recover and recovered. The links between instances carry them.
 *
 * @module
 */
import {z} from 'zod';
import {requestRecordShape} from './record.js';
import {chainPositionShape} from './segment.js';

const numberedShape = z.strictObject({number: z.number(), record: requestRecordShape});

/** Tells the holder where a chain stands and which records are new since the last message. */
export const storeTailShape = z.strictObject({
	kind: z.literal('ledger.store-tail'),
	/** Incarnation of the owner; its chain may have another name after it was closed by a peer. */
	incarnation: z.string(),
	/** Position of the first segment that is not surely in the object store. */
	position: chainPositionShape,
	/** Records up to this number are in the object store or were never sent. */
	writtenThrough: z.number(),
	/** The message holds every unwritten record above this number, up to a limit. */
	after: z.number(),
	records: z.array(numberedShape),
	/** Whether the owner has closed its chain and needs no holder any more. */
	closed: z.boolean(),
});

/** Says what is held; the owner goes on from there. */
export const tailStoredShape = z.strictObject({
	kind: z.literal('ledger.tail-stored'),
	/** All unwritten records up to this number are held. */
	through: z.number(),
});

/** Asks for the tail of a dead incarnation. */
export const recoverTailShape = z.strictObject({kind: z.literal('ledger.recover-tail'), incarnation: z.string()});

/** What is left of a dead incarnation. */
export const tailShape = z.strictObject({position: chainPositionShape, records: z.array(requestRecordShape)});

/** A tail; absent where none is held. */
export const tailRecoveredShape = z.strictObject({kind: z.literal('ledger.tail-recovered'), tail: tailShape.optional()});

export type StoreTail = z.infer<typeof storeTailShape>;
export type TailStored = z.infer<typeof tailStoredShape>;
export type RecoverTail = z.infer<typeof recoverTailShape>;
export type Tail = z.infer<typeof tailShape>;
export type TailRecovered = z.infer<typeof tailRecoveredShape>;

/** Keeps the tail of an instance where the instance's death does not reach it. */
export interface TailKeeper {
	/**
	 * Stores what is new of a tail.
	 *
	 * @returns the number up to which records are held.
	 * @throws where no peer holds it now.
	 */
	store(message: StoreTail): Promise<number>;
	/** Tail of a dead incarnation, as the peer holds it. */
	recover(incarnation: string): Promise<Tail | undefined>;
}

/** Asks a peer in another failure domain and resolves with its reply; rejects where no peer answers. */
export type AskPeer = (message: StoreTail | RecoverTail) => Promise<unknown>;

/** A keeper that asks a peer. */
export class PeerTailKeeper implements TailKeeper {
	readonly #ask: AskPeer;

	constructor(ask: AskPeer) {
		this.#ask = ask;
	}

	async store(message: StoreTail): Promise<number> {
		return tailStoredShape.parse(await this.#ask(message)).through;
	}

	async recover(incarnation: string): Promise<Tail | undefined> {
		return tailRecoveredShape.parse(await this.#ask({kind: 'ledger.recover-tail', incarnation})).tail;
	}
}
