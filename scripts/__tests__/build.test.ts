import {execFileSync} from 'node:child_process';
import {
	mkdtemp, open, readdir, rm,
} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';

function build(folder: string): void {
	execFileSync(process.execPath, ['--import', 'tsx', 'scripts/build.ts', folder], {stdio: 'ignore'});
}

// Guards against processes that start while the program is built again and read half of it: an empty program ends with code 0, a cut one with code 1.
test('a build leaves the files as they are for whoever has opened them', async t => {
	t.timeout(60_000);
	const folder = await mkdtemp(path.join(os.tmpdir(), 'build-'));
	t.teardown(async () => {
		await rm(folder, {recursive: true});
	});
	build(folder);
	const names = await readdir(folder);
	const files = await Promise.all(names.map(async name => ({name, handle: await open(path.join(folder, name))})));
	t.teardown(async () => {
		await Promise.all(files.map(async ({handle}) => handle.close()));
	});
	const before = await Promise.all(files.map(async ({handle}) => handle.stat()));
	t.true(names.includes('carobquay-front.cjs'));

	build(folder);
	const after = await Promise.all(files.map(async ({handle}) => handle.stat()));
	t.deepEqual(after.map(({size, mtimeMs}) => [size, mtimeMs]), before.map(({size, mtimeMs}) => [size, mtimeMs]));
	t.deepEqual(await readdir(folder), names);
});
