/**
 * Segments of the ledger: JSON lines of a header, the records and a digest of both.
 *
 * Each header holds the digest of the segment before it, so that a changed, missing or moved segment shows.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {type LedgerRecord, recordShape} from './record.js';

/** Prefix of the keys of all segments. */
export const ledgerPrefix = 'ledger/';

/** Digits of a sequence number in a key, so that keys sort by number. */
const sequenceDigits = 10;

/** Where a chain goes on: the next segment's number, its key's day and the segment before it. */
export const chainPositionShape = z.strictObject({
	instance: z.string(),
	incarnation: z.string(),
	/** Number of the next segment, from 0. */
	sequence: z.number(),
	/** Day of the next segment's key: the one on which the segment before it was sealed. */
	day: z.string(),
	/** Key of the segment before it; empty for the first. */
	previousKey: z.string(),
	/** Digest of the segment before it; empty for the first. */
	previousDigest: z.string(),
});

export type ChainPosition = z.infer<typeof chainPositionShape>;

const headerShape = z.strictObject({
	format: z.literal(1),
	position: chainPositionShape,
	/** Wall-clock time in milliseconds. */
	sealedAt: z.number(),
	/** Instance that closed the chain with this segment; absent while the chain goes on. */
	closedBy: z.string().optional(),
});

const digestShape = z.strictObject({sha256: z.string()});

/** A segment with its bytes. */
export type Segment = {
	key: string;
	bytes: Uint8Array;
	digest: string;
	position: ChainPosition;
	/** Wall-clock time in milliseconds. */
	sealedAt: number;
	closedBy: string | undefined;
	records: readonly LedgerRecord[];
};

/** Day of a wall-clock time, as YYYY-MM-DD in UTC. */
export function dayOf(time: number): string {
	return new Date(time).toISOString().slice(0, 10);
}

/** Start of a chain. */
export function firstPosition(instance: string, incarnation: string): ChainPosition {
	return {
		instance, incarnation, sequence: 0, day: dayOf(Date.now()), previousKey: '', previousDigest: '',
	};
}

/** Position behind a segment. */
export function positionAfter({key, digest, position, sealedAt}: Segment): ChainPosition {
	return {
		...position, sequence: position.sequence + 1, day: dayOf(sealedAt), previousKey: key, previousDigest: digest,
	};
}

/** Key of the segment at a position. Two writers of one position meet at the same key. */
export function keyOf({day, instance, incarnation, sequence}: ChainPosition): string {
	return `${ledgerPrefix}${day}/${instance}/${incarnation}/${String(sequence).padStart(sequenceDigits, '0')}`;
}

/** Seals records into the segment at a position. */
export function sealSegment(position: ChainPosition, records: readonly LedgerRecord[], closedBy?: string): Segment {
	const sealedAt = Date.now();
	const header: z.infer<typeof headerShape> = {
		format: 1, position, sealedAt, closedBy,
	};
	const content = [header, ...records].map(line => `${JSON.stringify(line)}\n`).join('');
	const digest = sha256(content);
	return {
		key: keyOf(position), bytes: Buffer.from(`${content}${JSON.stringify({sha256: digest})}\n`), digest, position, sealedAt, closedBy, records,
	};
}

/** A segment that cannot be trusted; the message says why. */
export class SegmentFault extends Error {
	readonly kind: 'changed' | 'moved';

	constructor(kind: 'changed' | 'moved', message: string) {
		super(message);
		this.name = new.target.name;
		this.kind = kind;
	}
}

/**
 * Reads a segment and checks its digest and that it belongs under its key.
 *
 * @throws {SegmentFault} where it was changed or moved.
 */
export function openSegment(key: string, bytes: Uint8Array): Segment {
	const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('utf8');
	const digestAt = text.lastIndexOf('\n', text.length - 2) + 1;
	const content = text.slice(0, digestAt);
	const digest = sha256(content);
	try {
		if (digestShape.parse(JSON.parse(text.slice(digestAt))).sha256 !== digest) {
			throw new SegmentFault('changed', 'its digest does not fit its content');
		}

		const [header, ...records] = content.trimEnd().split('\n').map((line): unknown => JSON.parse(line));
		const {position, sealedAt, closedBy} = headerShape.parse(header);
		if (keyOf(position) !== key) {
			throw new SegmentFault('moved', `its content belongs under ${keyOf(position)}`);
		}

		return {
			key, bytes, digest, position, sealedAt, closedBy, records: records.map(record => recordShape.parse(record)),
		};
	} catch (error) {
		throw error instanceof SegmentFault ? error : new SegmentFault('changed', 'it cannot be read as a segment');
	}
}

function sha256(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
