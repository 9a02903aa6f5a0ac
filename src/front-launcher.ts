/**
 * Runs the program of the platform's instances, which lies beside this file, from code that was compiled at build time.
 *
 * @module
 */
import {realpathSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {onHangup} from './commands/hangup-signal.js';
import {loadProgram} from './startup/code-cache.js';

// The program has a listener of its own once it is loaded; until then, a signal without one would end the process.
onHangup(() => undefined);
const folder = path.dirname(realpathSync(process.argv[1]!));
const {codeCache, run} = loadProgram(path.join(folder, 'carobquay-front-program.cjs'));
if (codeCache !== 'used') {
	process.stdout.write(`time=${new Date().toISOString()} level=warn event=instance.code-cache outcome=${codeCache}\n`);
}

run();
