/**
 * Bundles the command line and its worker threads into a folder, dist/ unless another one is named.
 *
 * @module
 */
import process from 'node:process';
import {build} from 'esbuild';
import packageManifest from '../package.json' with {type: 'json'};

const folder = process.argv[2] ?? 'dist';

await build({
	entryPoints: {
		carobquay: 'src/cli.ts',
		'carobquay-front': 'src/front-cli.ts',
	},
	outdir: folder,
	outExtension: {'.js': '.cjs'},
	bundle: true,
	platform: 'node',
	target: 'node20.20',
	format: 'cjs',
	define: {carobquayVersion: JSON.stringify(packageManifest.version)},
	// An optional native helper of cbor-x; its script version is used instead.
	external: ['cbor-extract'],
	logLevel: 'warning',
});
process.stdout.write(`built ${folder}/carobquay.cjs\n`);
