import {readFileSync} from 'node:fs';
import test from 'ava';
import {runCell} from '../cell.js';
import {faults} from '../faults.js';
import {flows} from '../flows.js';
import {
	documentedSeed, matrixPage, runMatrix, totalsOf,
} from '../matrix.js';

test.serial('every fault is tried at every step, no promise is broken, and docs/matrix.md is current', async t => {
	t.timeout(600_000);
	const cells = await runMatrix(documentedSeed);
	const totals = totalsOf(cells, documentedSeed);

	t.is(totals.cells, faults.length * flows.reduce((sum, {steps}) => sum + steps.length, 0));
	t.is(totals.missing, 0);
	t.deepEqual(cells.filter(({verdict}) => verdict.kind === 'known-red'), []);
	t.is(readFileSync('docs/matrix.md', 'utf8'), matrixPage(cells, documentedSeed));
});

const repeated = [
	{
		flow: 'call with a key', step: 'state sent', fault: 'connection cut', seed: 12_345,
	},
	{
		flow: 'prompt, streamed', step: 'state streaming', fault: 'connection silent', seed: 7,
	},
	{
		flow: 'claim read back', step: 'settle-read before', fault: 'frozen, resumed', seed: 0,
	},
] as const;

for (const {flow, step, fault, seed} of repeated) {
	test.serial(`cell ${flow}, ${step}, ${fault} comes out the same twice with seed ${seed}`, async t => {
		const course = flows.find(({name}) => name === flow)!;
		const disturbance = faults.find(({name}) => name === fault)!;

		t.deepEqual(await runCell(course, step, disturbance, seed), await runCell(course, step, disturbance, seed));
	});
}
