/**
 * Bundles the command line and its worker threads into a folder, dist/ unless another one is named.
 *
 * @module
 */
import {execFileSync} from 'node:child_process';
import {
	mkdir, readdir, readFile, rename, rm,
} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';
import packageManifest from '../package.json' with {type: 'json'};
import {runtimeOptions} from '../src/startup/code-cache.js';

const folder = process.argv[2] ?? 'dist';
// A process that starts meanwhile must find each file as a whole, and another build may go on in the same folder.
const buildFolder = path.join(folder, `.build-${process.pid}`);
await mkdir(buildFolder, {recursive: true});

await build({
	entryPoints: {
		carobquay: 'src/cli.ts',
		'carobquay-front': 'src/front-launcher.ts',
		'carobquay-front-program': 'src/front-cli.ts',
	},
	outdir: buildFolder,
	outExtension: {'.js': '.cjs'},
	bundle: true,
	platform: 'node',
	target: 'node20.20',
	format: 'cjs',
	define: {
		carobquayVersion: JSON.stringify(packageManifest.version),
		// The optional native decoder of cbor-x takes a tenth of the start and decodes datagrams of placements no faster.
		'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"',
	},
	external: ['cbor-extract'],
	logLevel: 'warning',
});
// The options of the processes that run the program count: V8 takes no cache that was made with others.
const [, command = ''] = /^run = "(.*)"$/mv.exec(await readFile('deploy/system.toml', 'utf8')) ?? [];
const program = path.join(buildFolder, 'carobquay-front-program.cjs');
execFileSync(process.execPath, [...runtimeOptions(command), '--import', 'tsx', 'scripts/write-code-cache.ts', program], {stdio: 'inherit'});
const names = await readdir(buildFolder);
await Promise.all(names.map(async name => rename(path.join(buildFolder, name), path.join(folder, name))));

await rm(buildFolder, {recursive: true});
process.stdout.write(`built ${folder}/carobquay.cjs\n`);
