/**
 * The claim of a customer's idempotency key: who may send the request, and how it ended.
 *
 * Every rule here is pure. The table makes each transition a conditional write, so that of two instances that decide
 * on the same version only one succeeds. docs/design/at-most-once.md gives the reasons.
 *
 * @module
 */
import {match} from 'ts-pattern';
import {z} from 'zod';

const answerShape = z.discriminatedUnion('place', [
	z.object({place: z.literal('inline'), text: z.string()}),
	z.object({place: z.literal('objects'), key: z.string()}),
	/** The object store did not take the answer. */
	z.object({place: z.literal('lost')}),
]);

const endingShape = z.discriminatedUnion('outcome', [
	z.object({outcome: z.literal('answered'), answer: answerShape}),
	z.object({
		outcome: z.literal('failed'), code: z.string(), ran: z.enum(['yes', 'unknown']), message: z.string(),
	}),
	z.object({outcome: z.literal('not-run')}),
]);

const recordShape = z.object({
	bodyHash: z.string(),
	/** Instance and incarnation of the claimer. */
	owner: z.string(),
	/** Request that holds the claim, for operators. */
	requestId: z.string(),
	/** Rises with each claimer; only the claimer of a number may send under it. */
	attempt: z.int().positive(),
	state: z.enum(['claimed', 'sent', 'ended']),
	/** Wall-clock time in milliseconds at which the state's bound in time is over. */
	until: z.number(),
	/** Wall-clock time in milliseconds after which the item may be deleted. */
	expiresAt: z.number(),
	ending: endingShape.optional(),
});

/** Where a kept answer is. */
export type AnswerPlace = z.infer<typeof answerShape>;

/** How the request of a claim ended. */
export type ClaimEnding = z.infer<typeof endingShape>;

/** A claim as the table keeps it. */
export type ClaimRecord = z.infer<typeof recordShape>;

/** What an asker wants to claim. */
export type ClaimRequest = {
	bodyHash: string;
	owner: string;
	requestId: string;
	/** Wall-clock time in milliseconds at which the request's deadline is over. */
	deadline: number;
};

/** What an asker finds. */
export type ClaimVerdict
	= | {kind: 'claim'; record: ClaimRecord}
		| {kind: 'key-reused'}
		| {kind: 'under-way'}
		| {kind: 'outcome-unknown'}
		| {kind: 'answered'; answer: AnswerPlace}
		| {kind: 'failed'; ending: Extract<ClaimEnding, {outcome: 'failed'}>};

/** Bounds in time of the states, in milliseconds. */
export type ClaimTimes = {
	/** Time for which nobody else may take over a claim that was not sent. */
	lease: number;
	/** Time beyond the deadline after which the ending of a sent claim counts as lost. */
	endingGrace: number;
	/** Time for which an ending is kept. */
	retention: number;
};

/** Key of a claim in the table. */
export function claimKey(customer: string, idempotencyKey: string): string {
	return `claim/${encodeURIComponent(customer)}/${encodeURIComponent(idempotencyKey)}`;
}

/** Reads a claim from the table; throws z.ZodError for a value of another form. */
export function parseClaim(value: unknown): ClaimRecord {
	return recordShape.parse(value);
}

/**
 * Decides what an asker may do.
 *
 * @param existing - The claim in the table; undefined where there is none.
 * @param now - Wall-clock time in milliseconds. Clocks that differ make an asker wait longer or shorter, never send twice.
 * @param isOwnerDead - Whether the claimer surely sends nothing more.
 */
export function decideClaim(
	existing: ClaimRecord | undefined,
	request: ClaimRequest,
	{now, times, isOwnerDead}: {now: number; times: ClaimTimes; isOwnerDead: (owner: string) => boolean},
): ClaimVerdict {
	if (existing === undefined) {
		return {kind: 'claim', record: newClaim(request, {attempt: 1, now, times})};
	}

	if (existing.bodyHash !== request.bodyHash) {
		return {kind: 'key-reused'};
	}

	const isOver = now >= existing.until || isOwnerDead(existing.owner);
	return match(existing.state)
		.with('claimed', () => isOver ? takeOver(existing, request, {now, times}) : {kind: 'under-way'} as const)
		.with('sent', () => ({kind: isOver ? 'outcome-unknown' : 'under-way'} as const))
		.with('ended', () => verdictOfEnding(existing, request, {now, times}))
		.exhaustive();
}

/** The claim once its claimer is about to send. */
export function markSent(record: ClaimRecord, deadline: number, {endingGrace, retention}: ClaimTimes): ClaimRecord {
	const until = deadline + endingGrace;
	return {
		...record, state: 'sent', until, expiresAt: until + retention,
	};
}

/** The claim once its request has ended. */
export function markEnded(record: ClaimRecord, ending: ClaimEnding, {now, times}: {now: number; times: ClaimTimes}): ClaimRecord {
	return {
		...record, state: 'ended', ending, until: now, expiresAt: now + times.retention,
	};
}

/** Whether a claim in the table is still the one that its claimer made. */
export function isSameAttempt(left: ClaimRecord, right: ClaimRecord): boolean {
	return left.owner === right.owner && left.requestId === right.requestId && left.attempt === right.attempt;
}

function verdictOfEnding(existing: ClaimRecord, request: ClaimRequest, moment: {now: number; times: ClaimTimes}): ClaimVerdict {
	return match(existing.ending)
		.with({outcome: 'answered'}, ({answer}): ClaimVerdict => ({kind: 'answered', answer}))
		.with({outcome: 'failed'}, (ending): ClaimVerdict => ({kind: 'failed', ending}))
		.with({outcome: 'not-run'}, () => takeOver(existing, request, moment))
		.with(undefined, (): ClaimVerdict => ({kind: 'outcome-unknown'}))
		.exhaustive();
}

function takeOver(existing: ClaimRecord, request: ClaimRequest, {now, times}: {now: number; times: ClaimTimes}): ClaimVerdict {
	return {kind: 'claim', record: newClaim(request, {attempt: existing.attempt + 1, now, times})};
}

function newClaim({bodyHash, owner, requestId, deadline}: ClaimRequest, {attempt, now, times}: {attempt: number; now: number; times: ClaimTimes}): ClaimRecord {
	const until = Math.min(deadline, now + times.lease);
	return {
		bodyHash, owner, requestId, attempt, state: 'claimed', until, expiresAt: until + times.retention,
	};
}
