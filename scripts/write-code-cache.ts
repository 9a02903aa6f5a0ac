/**
 * Writes the code cache of a program, for processes with the V8 options of this one.
 *
 * @module
 */
import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {codeCachePath, compileCodeCache} from '../src/startup/code-cache.js';

const programPath = process.argv[2]!;
await writeFile(codeCachePath(programPath), compileCodeCache(programPath));
