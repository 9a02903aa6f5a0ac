import test from 'ava';
import {SegmentStore} from '../segment-store.js';
import {closeChain} from '../tail-holder.js';
import {
	answered, LedgerBench, PeerLink, pauseClock, terms,
} from './support.js';

/** Time in milliseconds after which a silent owner counts as dead. */
const silence = 15_000;

const deaths: Array<{name: string; isHeld: boolean; cutFrom?: number; cutUntil?: number; downFrom?: number; replacedAt?: number; lost: number}> = [
	{name: 'nobody holds its tail: what came since the last batch is lost', isHeld: false, lost: 9},
	{name: 'a peer holds its tail: what came since the last message is lost', isHeld: true, lost: 1},
	{
		name: 'the link was cut for a while', isHeld: true, cutFrom: 300, cutUntil: 1500, lost: 1,
	},
	{
		name: 'its holder was replaced by one that knows nothing', isHeld: true, downFrom: 500, replacedAt: 1200, lost: 1,
	},
	{
		name: 'the store was down', isHeld: true, downFrom: 500, lost: 1,
	},
	{
		name: 'the link was cut and the store down, both until now', isHeld: true, cutFrom: 1200, downFrom: 500, lost: 7,
	},
];

for (const {name, isHeld, cutFrom = Infinity, cutUntil = Infinity, downFrom = Infinity, replacedAt, lost} of deaths) {
	test.serial(`an instance dies, ${name}`, async t => {
		const clock = pauseClock(t);
		const bench = new LedgerBench();
		const link = new PeerLink(bench.holder());
		const ledger = bench.start({batchSize: 100, buffer: 100, ...(isHeld && {tailKeeper: link.keeper})});
		for (let time = 0; time < 1900; time += 100) {
			link.isCut = time >= cutFrom && time < cutUntil;
			bench.objects.faults.set({down: time >= downFrom});
			link.holder = time === replacedAt ? bench.holder('entry-3') : link.holder;
			const request = terms(`request-${time}`);
			ledger.admitted(request, false);
			ledger.ended(request, answered);
			await clock.tickAsync(time === 1800 ? 20 : 100); // eslint-disable-line no-await-in-loop
		}

		ledger.stop();
		bench.objects.faults.clear();
		await clock.tickAsync(silence);
		await Promise.all([link.holder.closeSilent(), link.holder.closeSilent()]);
		const report = await bench.audit();
		t.is(19 - report.kept, lost);
		t.deepEqual(report.findings.map(({kind}) => kind), isHeld ? [] : ['open']);
	});
}

test.serial('a tail is written once, whoever closes the chain and however often', async t => {
	const clock = pauseClock(t);
	const bench = new LedgerBench();
	const holder = bench.holder();
	const peer = new PeerLink(holder);
	const ledger = bench.start({batchSize: 100, tailKeeper: peer.keeper});
	ledger.admitted(terms('request-1'), false);
	await clock.tickAsync(60);
	ledger.stop();
	const tail = await peer.keeper.recover('first');
	t.is(tail?.records.length, 1);
	const segments = new SegmentStore(bench.objects);
	const closed = await Promise.all(['entry-3', 'entry-4'].map(async instance => closeChain(segments, tail!, instance)));
	t.is(closed[0]!.closedBy, closed[1]!.closedBy);
	await clock.tickAsync(silence);
	await holder.closeSilent();
	t.is(await bench.count(), 1);
	t.is(await peer.keeper.recover('first'), undefined);
});

test.serial('an owner that was paused finds its chain closed and goes on in another, losing nothing', async t => {
	const clock = pauseClock(t);
	const bench = new LedgerBench();
	const holder = bench.holder();
	const link = new PeerLink(holder);
	const ledger = bench.start({batchSize: 100, tailKeeper: link.keeper});
	ledger.admitted(terms('request-1'), false);
	await clock.tickAsync(1500);
	const request = terms('request-2');
	ledger.admitted(request, false);
	await clock.tickAsync(60);
	ledger.stop();
	await clock.tickAsync(silence);
	await holder.closeSilent();

	ledger.start();
	ledger.ended(request, answered);
	await clock.tickAsync(2000);
	t.true(await ledger.close(1000));
	const report = await bench.audit();
	t.like(report, {
		made: 2, kept: 1, unknown: 1, findings: [],
	});
	t.is(bench.logged('ledger.chain-superseded'), 1);
});

test.serial('a chain that its owner closed is left alone', async t => {
	const clock = pauseClock(t);
	const bench = new LedgerBench();
	const holder = bench.holder();
	const ledger = bench.start({tailKeeper: new PeerLink(holder).keeper});
	ledger.admitted(terms('request-1'), false);
	await clock.tickAsync(60);
	t.true(await ledger.close(1000));
	await clock.tickAsync(silence);
	await holder.closeSilent();
	t.is(await bench.count(), 1);
	t.deepEqual(await bench.findings(), []);
});
