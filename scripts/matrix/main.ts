/**
 * `npm run matrix -- [--json] [--seed N] [--write]`: runs the fault matrix.
 *
 * @module
 */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {Command} from 'commander';
import {
	documentedSeed, matrixPage, runMatrix, totalsOf,
} from './matrix.js';

type MatrixOptions = {json?: boolean; seed: string; write?: boolean};

const command = new Command('matrix')
	.option('--json', 'print one JSON line for each cell and one with the totals')
	.option('--seed <number>', 'seed of all random choices', `${documentedSeed}`)
	.option('--write', 'write docs/matrix.md');
command.parse();
const options = command.opts<MatrixOptions>();
const seed = Number.parseInt(options.seed, 10);
const cells = await runMatrix(seed);
const totals = totalsOf(cells, seed);
const lines = options.json
	? [...cells.map(cell => JSON.stringify(cell)), JSON.stringify(totals)]
	: [matrixPage(cells, seed)];
process.stdout.write(`${lines.join('\n')}\n`);
if (options.write) {
	writeFileSync('docs/matrix.md', matrixPage(cells, seed));
}

process.exitCode = totals.missing === 0 ? 0 : 1;
