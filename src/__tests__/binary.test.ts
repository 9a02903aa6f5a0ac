import {execFileSync} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test from 'ava';
import packageManifest from '../../package.json' with {type: 'json'};
import {ask, wholeText} from './support/client.js';
import {ProgramProcess} from './support/processes.js';

const binary = path.resolve('dist/carobquay');

test.serial('the single binary tells its version and serves a prompt', async t => {
	execFileSync(process.execPath, ['--import=tsx', 'scripts/build-binary.ts']);
	t.is(execFileSync(binary, ['version'], {encoding: 'utf8'}), `${packageManifest.version}\n`);

	const directory = await mkdtemp(path.join(tmpdir(), 'carobquay-'));
	t.teardown(async () => rm(directory, {recursive: true, force: true}));
	const settings = path.join(directory, 'entry.ini');
	await writeFile(settings, '[instance]\nname = entry-1\n[platform]\nadapter = memory\n[callers]\nport = 0\n[operators]\nport = 0\n');
	const started = new ProgramProcess(['start', '--settings', settings], binary);
	t.teardown(async () => started.kill());
	const [, callers] = await started.line(/^callers {3}http:\/\/(\S+)$/v);

	const large = 'word '.repeat(30_000);
	for (const content of ['hello', large]) {
		const reply = await ask(callers!, {content, headers: {authorization: 'Bearer trial-key'}}); // eslint-disable-line no-await-in-loop
		t.is(wholeText(reply).trim().split(' ').length, 8);
	}

	started.signal('SIGTERM');
	t.is(await started.exited(), 0);
});
