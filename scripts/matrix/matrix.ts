/**
 * The fault matrix: every fault at every step of every course, under a paused clock.
 *
 * @module
 */
import {type Cell, runCell, type Verdict} from './cell.js';
import {faults} from './faults.js';
import {flows, type Step} from './flows.js';

/** Counts over all cells. */
export type MatrixTotals = {cells: number; held: number; allowed: number; known_red: number; missing: number; seed: number};

/** Seed of the table in docs/matrix.md. */
export const documentedSeed = 1;

/** Runs all cells, one after another. */
export async function runMatrix(seed: number): Promise<Cell[]> {
	const cells: Cell[] = [];
	for (const flow of flows) {
		for (const step of flow.steps) {
			for (const fault of faults) {
				cells.push(await runCell(flow, step, fault, seed)); // eslint-disable-line no-await-in-loop
			}
		}
	}

	return cells;
}

export function totalsOf(cells: readonly Cell[], seed: number): MatrixTotals {
	const count = (kind: Verdict['kind']) => cells.filter(({verdict}) => verdict.kind === kind).length;
	return {
		cells: cells.length, held: count('held'), allowed: count('allowed'), known_red: count('known-red'), missing: count('missing'), seed,
	};
}

/** The page docs/matrix.md. */
export function matrixPage(cells: readonly Cell[], seed: number): string {
	const {cells: total, held, allowed, known_red: red, missing} = totalsOf(cells, seed);
	const notes = new Map<string, number>();
	const tables = flows.map(flow => flowTable(flow.name, flow.steps, cells, notes));
	return [
		'# Fault matrix',
		'',
		`Printed by \`npm run matrix -- --write\` with seed ${seed}; a test checks that it is current. Each cell is one fault at one step`,
		'of one course of a request, run over the real request, claim, routing and upstream code with the outside systems in memory.',
		'After each, these are checked: the request ended in time, an answer was whole and its caller\'s own, "not run" was true, a',
		'non-idempotent request ran at most once, a caller who asked again with the key got the answer or learned that the outcome',
		'is unknown, and no engine holds memory any more.',
		'',
		`${total} cells: ${held} held (✓: all held and the request got its answer), ${allowed} allowed (a number: all held, and the request ended otherwise`,
		`for the reason below), ${red} known red (✗), ${missing} missing (?).`,
		'',
		...tables.flat(),
		'## Reasons',
		'',
		...[...notes].map(([note, number]) => `${number}. ${note}`),
		'',
	].join('\n');
}

function flowTable(name: string, steps: readonly Step[], cells: readonly Cell[], notes: Map<string, number>): string[] {
	const rows = faults.map(fault => {
		const marks = steps.map(step => markOf(cells.find(cell => cell.flow === name && cell.step === step && cell.fault === fault.name), notes));
		return `| ${[fault.name, ...marks].join(' | ')} |`;
	});
	return [
		`## ${name[0]!.toUpperCase()}${name.slice(1)}`,
		'',
		`| Fault | ${steps.map(step => step.replace('state ', '')).join(' | ')} |`,
		`| --- | ${steps.map(() => '---').join(' | ')} |`,
		...rows,
		'',
	];
}

function markOf(cell: Cell | undefined, notes: Map<string, number>): string {
	const verdict = cell?.verdict ?? {kind: 'missing'};
	if (verdict.kind === 'held') {
		return '✓';
	}

	if (verdict.kind === 'missing') {
		return '?';
	}

	const note = verdict.kind === 'allowed' ? verdict.reason : `Known red: ${verdict.seen}`;
	const number = notes.get(note) ?? notes.size + 1;
	notes.set(note, number);
	return verdict.kind === 'allowed' ? `${number}` : `✗ ${number}`;
}
