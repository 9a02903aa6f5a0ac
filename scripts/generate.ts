/**
 * Writes the generated source files.
 *
 * @module
 */
import {mkdir, writeFile} from 'node:fs/promises';
import {bundleWorker, workerCodeFile} from './bundle-worker.js';

await mkdir('src/request/generated', {recursive: true});
await writeFile(workerCodeFile, await bundleWorker());
