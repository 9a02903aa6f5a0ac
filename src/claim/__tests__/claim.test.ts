import test from 'ava';
import {
	type ClaimRecord, type ClaimTimes, type ClaimVerdict, decideClaim, markEnded, markSent,
} from '../claim.js';

const times: ClaimTimes = {lease: 10_000, endingGrace: 2000, retention: 60_000};
const request = {
	bodyHash: 'a', owner: 'entry-2/1', requestId: 'r2', deadline: 30_000,
};
const claimed: ClaimRecord = {
	bodyHash: 'a', owner: 'entry-1/1', requestId: 'r1', attempt: 1, state: 'claimed', until: 10_000, expiresAt: 70_000,
};
const sent = markSent(claimed, 20_000, times);
const moment = {now: 15_000, times};

const cases: Array<{name: string; existing: ClaimRecord | undefined; now: number; dead?: boolean; verdict: ClaimVerdict['kind']; attempt?: number}> = [
	{
		name: 'no claim', existing: undefined, now: 0, verdict: 'claim', attempt: 1,
	},
	{
		name: 'another body', existing: {...claimed, bodyHash: 'b'}, now: 0, verdict: 'key-reused',
	},
	{
		name: 'claimed and not lapsed', existing: claimed, now: 9999, verdict: 'under-way',
	},
	{
		name: 'claimed and lapsed', existing: claimed, now: 10_000, verdict: 'claim', attempt: 2,
	},
	{
		name: 'claimed by a dead owner', existing: claimed, now: 0, dead: true, verdict: 'claim', attempt: 2,
	},
	{
		name: 'sent and under way', existing: sent, now: 21_999, verdict: 'under-way',
	},
	{
		name: 'sent and its ending lost', existing: sent, now: 22_000, verdict: 'outcome-unknown',
	},
	{
		name: 'sent by a dead owner', existing: sent, now: 0, dead: true, verdict: 'outcome-unknown',
	},
	{
		name: 'answered', existing: markEnded(sent, {outcome: 'answered', answer: {place: 'inline', text: '{}'}}, moment), now: 15_000, verdict: 'answered',
	},
	{
		name: 'failed after it may have run', now: 15_000, verdict: 'failed',
		existing: markEnded(sent, {
			outcome: 'failed', code: '4004', ran: 'unknown', message: 'silent',
		}, moment),
	},
	{
		name: 'ended as not run', existing: markEnded(sent, {outcome: 'not-run'}, moment), now: 15_000, verdict: 'claim', attempt: 2,
	},
];

for (const {name, existing, now, dead = false, verdict, attempt} of cases) {
	test(`claim ${name}: ${verdict}`, t => {
		const decided = decideClaim(existing, request, {now, times, isOwnerDead: () => dead});

		t.is(decided.kind, verdict);
		t.is(decided.kind === 'claim' ? decided.record.attempt : undefined, attempt);
		t.is(decided.kind === 'claim' ? decided.record.state : 'claimed', 'claimed');
	});
}
