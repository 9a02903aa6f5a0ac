/**
 * Writes the generated source files and reference pages.
 *
 * @module
 */
import {mkdir, writeFile} from 'node:fs/promises';
import {bundleWorker, workerCodeFile} from './bundle-worker.js';
import {referencePages} from './reference-pages.js';

await mkdir('src/request/generated', {recursive: true});
await writeFile(workerCodeFile, await bundleWorker());
for (const {file, text} of await referencePages()) {
	await writeFile(file, text); // eslint-disable-line no-await-in-loop
}
