import {readFile} from 'node:fs/promises';
import test from 'ava';
import {bundleWorker, workerCodeFile} from '../bundle-worker.js';
import {referencePages} from '../reference-pages.js';

test('the committed worker code is that of its source', async t => {
	t.is(await readFile(workerCodeFile, 'utf8'), await bundleWorker());
});

for (const {file, text} of await referencePages()) {
	test(`${file} is that of the code`, async t => {
		t.is(await readFile(file, 'utf8'), text);
	});
}
