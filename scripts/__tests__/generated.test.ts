import {readFile} from 'node:fs/promises';
import test from 'ava';
import {bundleWorker, workerCodeFile} from '../bundle-worker.js';

test('the committed worker code is that of its source', async t => {
	t.is(await readFile(workerCodeFile, 'utf8'), await bundleWorker());
});
