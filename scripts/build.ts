/**
 * Bundles the command line and its worker threads into dist/.
 *
 * @module
 */
import process from 'node:process';
import {build} from 'esbuild';
import packageManifest from '../package.json' with {type: 'json'};

await build({
	entryPoints: {
		carobquay: 'src/cli.ts',
	},
	outdir: 'dist',
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
process.stdout.write('built dist/carobquay.cjs\n');
