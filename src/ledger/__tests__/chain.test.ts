import {Buffer} from 'node:buffer';
import test from 'ava';
import type {FindingKind} from '../chain-check.js';
import {openSegment, sealSegment} from '../segment.js';
import {
	answered, LedgerBench, pauseClock, terms,
} from './support.js';

/** Bytes of a segment with one letter of a customer's name changed. */
function withChangedByte(bytes: Uint8Array): Uint8Array {
	return Buffer.from(Buffer.from(bytes).toString('utf8').replace('advokaat', 'advokaad'));
}

type Tampering = (bench: LedgerBench, keys: readonly string[]) => Promise<void>;

/** The chain has the segments 0 to 4 of two requests each; the last one is closing. */
const tamperings: Array<{name: string; tamper: Tampering; findings: FindingKind[]; kept: number}> = [
	{
		name: 'nothing', tamper: async () => undefined, findings: [], kept: 10,
	},
	{
		name: 'a byte changed', findings: ['changed'], kept: 8,
		async tamper({objects}, keys) {
			await objects.put(keys[2]!, withChangedByte((await objects.get(keys[2]!))!));
		},
	},
	{
		name: 'a byte of the last segment changed', findings: ['changed'], kept: 8,
		async tamper({objects}, keys) {
			await objects.put(keys[4]!, withChangedByte((await objects.get(keys[4]!))!));
		},
	},
	{
		name: 'a segment rewritten with a digest that fits', findings: ['unlinked'], kept: 6,
		async tamper({objects}, keys) {
			const {position, records} = openSegment(keys[2]!, (await objects.get(keys[2]!))!);
			await objects.put(keys[2]!, sealSegment(position, records.toReversed()).bytes);
		},
	},
	{
		name: 'a segment removed', findings: ['missing'], kept: 8,
		async tamper({objects}, keys) {
			await objects.delete(keys[2]!);
		},
	},
	{
		name: 'the first segment removed', findings: ['missing'], kept: 8,
		async tamper({objects}, keys) {
			await objects.delete(keys[0]!);
		},
	},
	{
		name: 'the last segment removed', findings: ['open'], kept: 8,
		async tamper({objects}, keys) {
			await objects.delete(keys[4]!);
		},
	},
	{
		name: 'two segments exchanged', findings: ['moved', 'moved'], kept: 6,
		async tamper({objects}, keys) {
			const [first, other] = await Promise.all([objects.get(keys[1]!), objects.get(keys[2]!)]);
			await objects.put(keys[1]!, other!);
			await objects.put(keys[2]!, first!);
		},
	},
	{
		name: 'records reordered', findings: ['changed'], kept: 8,
		async tamper({objects}, keys) {
			const [header, first, second, ...rest] = Buffer.from((await objects.get(keys[1]!))!).toString('utf8').split('\n');
			await objects.put(keys[1]!, Buffer.from([header, second, first, ...rest].join('\n')));
		},
	},
];

for (const {name, tamper, findings, kept} of tamperings) {
	test.serial(`tampering with a chain, ${name}: ${findings.join(', ') || 'no finding'}`, async t => {
		const clock = pauseClock(t);
		const bench = new LedgerBench();
		const ledger = bench.start();
		for (let index = 0; index < 10; index++) {
			const request = terms(`request-${index}`);
			ledger.admitted(request, false);
			ledger.ended(request, answered);
			if (index % 2 === 1 && index < 9) {
				await clock.tickAsync(1000); // eslint-disable-line no-await-in-loop
			}
		}

		t.true(await ledger.close(1000));
		const keys = await bench.keys();
		t.is(keys.length, 5);
		await tamper(bench, keys);
		const report = await bench.audit();
		t.deepEqual(report.findings.map(({kind}) => kind), findings);
		t.is(report.kept, kept);
	});
}
