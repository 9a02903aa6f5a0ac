import test from 'ava';
import {recordShape, type RequestEnding, type RequestPromise} from '../record.js';
import {judge, type VerdictReason, type Verdict} from '../verdict.js';

const promise: RequestPromise = {
	requestId: 'r', customer: 'c', requestClass: 'q', deadline: 10_000, nonIdempotent: true, deferred: false, admittedAt: 0,
};
const ending: RequestEnding = {
	outcome: 'answered', ran: 'yes', endedAt: 9000, attempts: 1,
};

const cases: Array<{endings: Array<Partial<RequestEnding>>; damaged?: boolean; now?: number; verdict: Verdict; reason: VerdictReason}> = [
	{endings: [{}], verdict: 'kept', reason: 'answered-in-time'},
	{endings: [{}, {}], verdict: 'kept', reason: 'answered-in-time'},
	{endings: [{endedAt: 11_000}], verdict: 'kept', reason: 'answered-in-time'},
	{endings: [{endedAt: 11_001}], verdict: 'broken', reason: 'ended-late'},
	{endings: [{outcome: 'failed', code: '4002', ran: 'no'}], verdict: 'kept', reason: 'failed-in-time'},
	{
		endings: [{
			outcome: 'failed', code: '4001', ran: 'unknown', endedAt: 10_005,
		}], verdict: 'kept', reason: 'failed-in-time',
	},
	{endings: [{outcome: 'failed', code: '5900'}], verdict: 'broken', reason: 'internal-failure'},
	{endings: [{outcome: 'caller-left', code: '4009', ran: 'unknown'}], verdict: 'kept', reason: 'caller-left'},
	{endings: [{ran: 'no'}], verdict: 'broken', reason: 'contradictory-record'},
	{endings: [{}, {endedAt: 9500}], verdict: 'broken', reason: 'ran-twice'},
	{endings: [{}, {outcome: 'failed', code: '4002', ran: 'no'}], verdict: 'unknown', reason: 'endings-differ'},
	{
		endings: [], now: 11_000, verdict: 'unknown', reason: 'still-open',
	},
	{
		endings: [], now: 11_001, verdict: 'unknown', reason: 'no-ending-recorded',
	},
	{
		endings: [{}], damaged: true, verdict: 'unknown', reason: 'evidence-damaged',
	},
];

for (const {endings, damaged, now = 60_000, verdict, reason} of cases) {
	test(`promise with endings ${JSON.stringify(endings)}${damaged ? ' in a damaged segment' : ''} at ${now}: ${verdict}, ${reason}`, t => {
		const evidence = [
			{record: {kind: 'admitted' as const, promise}, key: 'a', trusted: true},
			...endings.map(change => ({record: {kind: 'ended' as const, promise, ending: {...ending, ...change}}, key: 'b', trusted: !damaged})),
		];
		t.deepEqual(judge(evidence, now), {verdict, reason});
	});
}

test('a record has no place for a prompt or an answer', t => {
	t.true(recordShape.safeParse({kind: 'admitted', promise}).success);
	for (const record of [
		{kind: 'admitted', promise: {...promise, prompt: 'text'}},
		{kind: 'ended', promise, ending: {...ending, answer: 'text'}},
		{kind: 'ended', promise, ending: {...ending, code: 'text'}},
		{kind: 'admitted', promise, text: 'text'},
	]) {
		t.false(recordShape.safeParse(record).success);
	}
});
