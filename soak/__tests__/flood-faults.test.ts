import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {until} from '../../platform/__tests__/support/deployment.js';
import {drawRun, type DrawOptions} from '../draws.js';
import {drawFaults} from '../faults.js';
import {drawFloods, isFloodFault} from '../flood-faults.js';
import {Instance} from '../instances.js';

const options: DrawOptions = {
	instances: 4, engines: 6, duration: 20_000, isPlanned: false, hasSilence: true, hasFloods: false, programBefore: undefined, hasEvacuations: false, hasColdEngines: false,
};

// Guards against seeds that draw other faults than before although floods are not asked for.
test('without floods a seed draws the usual faults alone', t => {
	t.deepEqual(drawRun(xoroshiro128plus(1), options), drawFaults(xoroshiro128plus(1), options.duration, options));
});

// Guards against floods that none of the sound requests meets alone, and usual faults that floods never meet.
test('a run with floods has floods alone at first and the usual faults beside them later', t => {
	const faults = drawRun(xoroshiro128plus(1), {...options, hasFloods: true});
	const usual = faults.filter(fault => !isFloodFault(fault));
	const floods = faults.filter(fault => isFloodFault(fault));
	t.true(floods.some(({at}) => at < 5000) && floods.some(({at}) => at > 12_000));
	t.true(usual.length > 0 && usual.every(({at}) => at >= 12_000));
});

// Guards against a flood, a signal or a port that no run has.
test('all kinds of floods, signals, ports and torn files are drawn', t => {
	const kinds = new Set(drawFloods(xoroshiro128plus(1), 2_000_000, options).map(fault => {
		const {kind, flood, port, first} = {
			flood: '', port: '', first: '', ...fault,
		};
		return [kind, flood, port === '' ? first : port].join(' ');
	}));
	t.is(kinds.size, 7 + 11 + 4 + 3 + 1 + 1 + 2 + 3 + 5);
});

const endCases = [
	{name: 'an exit of its own', code: 'console.log("broken: 7"); process.exitCode = 3;', expected: /code 3, signal null, \d+ ms after its start; last lines: broken: 7$/v},
	{name: 'an abort', code: 'console.error("no memory"); process.abort();', expected: /signal SIGABRT, \d+ ms after its start; last lines: .*no memory/v},
];

for (const [index, {name, code, expected}] of endCases.entries()) {
	// Guards against an end of a process of which nothing is known afterwards.
	test(`${name} is reported with its last lines`, async t => {
		const folder = await mkdtemp(path.join(os.tmpdir(), 'carobquay-ends-'));
		const program = path.join(folder, 'program.cjs');
		await writeFile(program, code);
		const instance = new Instance({
			number: index + 1, lane: 116, folder, program, programBefore: undefined, failureDomain: 'a', limits: undefined, isDeployed: true,
		});
		await instance.start(1, []);
		await until(() => instance.unexpectedEnds.length > 0);
		await instance.stop();
		await rm(folder, {recursive: true});

		t.regex(instance.unexpectedEnds[0]!, expected);
	});
}
