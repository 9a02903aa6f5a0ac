/**
 * Makes dist/carobquay, one binary of the runtime and the bundle.
 *
 * @module
 */
import {execFileSync} from 'node:child_process';
import {chmod, copyFile, writeFile} from 'node:fs/promises';
import process from 'node:process';

const binary = 'dist/carobquay';
const blob = 'dist/carobquay.blob';
const configuration = 'dist/single-executable.json';

/** Mark in the runtime that is replaced to say that a program follows. */
const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

await writeFile(configuration, JSON.stringify({main: 'dist/carobquay.cjs', output: blob, disableExperimentalSEAWarning: true}));
execFileSync(process.execPath, ['--experimental-sea-config', configuration]);
await copyFile(process.execPath, binary);
await chmod(binary, 0o755);
execFileSync(process.execPath, ['node_modules/postject/dist/cli.js', binary, 'NODE_SEA_BLOB', blob, '--sentinel-fuse', fuse], {stdio: 'ignore'});
process.stdout.write(`built ${binary}\n`);
