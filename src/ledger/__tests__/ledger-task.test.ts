import test from 'ava';
import type {FaultSettings} from '../../platform/memory/faults.js';
import {firstPosition, openSegment, sealSegment} from '../segment.js';
import {
	answered, LedgerBench, pauseClock, terms,
} from './support.js';

const faults: Array<{name: string; fault: Partial<FaultSettings>}> = [
	{name: 'no fault', fault: {}},
	{name: 'answers of puts lost', fault: {loseAnswers: 2}},
	{name: 'a put lost before its effect', fault: {loseRequests: 1}},
	{name: 'a put that takes effect after it was repeated', fault: {loseAnswers: 1, lateEffect: 1500}},
	{name: 'store down for 5 s', fault: {down: true}},
	{name: 'store frozen for 5 s', fault: {frozenUntil: 5000}},
];

for (const {name, fault} of faults) {
	test.serial(`each promise is written once, ${name}`, async t => {
		const clock = pauseClock(t);
		const bench = new LedgerBench();
		const ledger = bench.start();
		bench.objects.faults.set(fault);
		setTimeout(() => {
			bench.objects.faults.clear();
		}, 5000);
		for (let index = 0; index < 10; index++) {
			const request = terms(`request-${index}`);
			ledger.admitted(request, index === 3);
			await clock.tickAsync(300); // eslint-disable-line no-await-in-loop
			ledger.ended(request, answered);
		}

		const closed = ledger.close(60_000);
		await clock.tickAsync(60_000);
		t.true(await closed);
		const report = await bench.audit();
		t.like(report, {
			made: 10, kept: 10, broken: 0, unknown: 0, findings: [],
		});
	});
}

test.serial('a batch is written when it is full or old, and a waiting admission and its ending are one record', async t => {
	const clock = pauseClock(t);
	const bench = new LedgerBench();
	const ledger = bench.start();
	for (const index of [0, 1, 2, 3]) {
		ledger.admitted(terms(`request-${index}`), false);
	}

	await clock.tickAsync(1);
	t.deepEqual(await bench.keys(), ['ledger/2026-03-01/entry-1/first/0000000000']);
	const request = terms('request-4');
	ledger.admitted(request, false);
	ledger.ended(request, answered);
	await clock.tickAsync(990);
	t.is(await bench.count(), 1);
	await clock.tickAsync(10);
	const keys = await bench.keys();
	t.is(keys.length, 2);
	const {records} = openSegment(keys[1]!, (await bench.objects.get(keys[1]!))!);
	t.deepEqual(records.map(({kind}) => kind), ['ended']);
});

test.serial('with the store down, the first records are kept, the others are counted and the gap is chained', async t => {
	const clock = pauseClock(t);
	const bench = new LedgerBench();
	const ledger = bench.start();
	bench.objects.faults.set({down: true});
	for (let index = 0; index < 30; index++) {
		ledger.admitted(terms(`request-${index}`), false);
		await clock.tickAsync(100); // eslint-disable-line no-await-in-loop
	}

	t.true(bench.objects.counts.total('put') <= 5, 'a store that is down is asked once in each batch time');
	bench.objects.faults.clear();
	await clock.tickAsync(2000);
	t.true(await ledger.close(1000));
	const report = await bench.audit();
	t.is(report.made, 24, 'four records were under way and twenty waited');
	t.deepEqual(report.findings.map(({kind}) => kind), ['lost']);
	t.regex(report.findings[0]!.detail, /^6 records/v);
	t.is(bench.logged('ledger.overflow'), 1);
});

test.serial('a quiet chain moves to the new day, where its next segment is looked for', async t => {
	const clock = pauseClock(t);
	const bench = new LedgerBench();
	const ledger = bench.start();
	ledger.admitted(terms('request-1'), false);
	await clock.tickAsync(2 * 86_400_000);
	ledger.admitted(terms('request-2'), false);
	t.true(await ledger.close(1000));
	const keys = await bench.keys();
	t.deepEqual(keys.map(key => key.split('/')[1]), ['2026-03-01', '2026-03-01', '2026-03-02', '2026-03-03']);
	t.deepEqual(await bench.findings(), []);
});

test.serial('a close gives up when its time is over', async t => {
	const clock = pauseClock(t);
	const bench = new LedgerBench();
	const ledger = bench.start();
	bench.objects.faults.set({down: true});
	ledger.admitted(terms('request-1'), false);
	const closed = ledger.close(2000);
	await clock.tickAsync(2001);
	t.false(await closed);
});

test.serial('a request that is admitted again keeps its first promise', async t => {
	const clock = pauseClock(t);
	const bench = new LedgerBench();
	const ledger = bench.start();
	const request = terms('request-1');
	const admittedAt = Date.now();
	ledger.admitted(request, false);
	await clock.tickAsync(2000);
	ledger.admitted(request, false);
	ledger.ended(request, answered);
	t.true(await ledger.close(1000));
	const {promises} = await bench.audit();
	t.deepEqual(promises.map(promise => promise.admittedAt), [admittedAt]);
	const keys = await bench.keys();
	const records = await Promise.all(keys.map(async key => {
		const bytes = await bench.objects.get(key);
		return openSegment(key, bytes!).records;
	}));
	t.deepEqual(records.flat().map(record => record.kind === 'gap' ? 0 : record.promise.admittedAt), [admittedAt, admittedAt]);
});

test.serial('an instance that dies loses what came since the last batch, and leaves an open chain', async t => {
	const clock = pauseClock(t);
	const bench = new LedgerBench();
	const ledger = bench.start({batchSize: 100, buffer: 100});
	for (let time = 0; time < 1900; time += 100) {
		const request = terms(`request-${time}`);
		ledger.admitted(request, false);
		ledger.ended(request, answered);
		await clock.tickAsync(time === 1800 ? 20 : 100); // eslint-disable-line no-await-in-loop
	}

	ledger.stop();
	const report = await bench.audit();

	t.is(19 - report.kept, 9);
	t.deepEqual(report.findings.map(({kind}) => kind), ['open']);
});

test.serial('an instance whose place in the chain is taken goes on in a chain of its own, losing nothing', async t => {
	const clock = pauseClock(t);
	const bench = new LedgerBench();
	const ledger = bench.start({batchSize: 100});
	const request = terms('request-1');
	const taken = sealSegment(firstPosition('entry-1', 'first'), [], 'entry-2');
	t.true(await bench.objects.put(taken.key, taken.bytes, {onlyIfAbsent: true}));

	ledger.admitted(request, false);
	ledger.ended(request, answered);
	await clock.tickAsync(2000);
	t.true(await ledger.close(1000));

	t.like(await bench.audit(), {made: 1, kept: 1, findings: []});
	t.is(bench.logged('ledger.chain-superseded'), 1);
});
