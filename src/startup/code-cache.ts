/**
 * Code that V8 has compiled at build time, so that a process doesn't spend its first second on compilation.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import Module, {createRequire} from 'node:module';
import path from 'node:path';
import v8 from 'node:v8';
import vm from 'node:vm';

/** Whether a program runs from its code cache. `rejected`: the cache is of another runtime, program or set of V8 options. */
export type CodeCacheOutcome = 'used' | 'missing' | 'rejected';

/** A CommonJS program that is loaded and not yet run. */
export type LoadedProgram = {
	codeCache: CodeCacheOutcome;
	run: () => void;
};

/** A CommonJS module in its wrapper; the parameters are those that the runtime passes. */
type ModuleFunction = (...parameters: [exports: unknown, require: NodeJS.Require, module: {exports: unknown}, fileName: string, folder: string]) => void;

/** Global under which a program finds the outcome; the launcher is a bundle of its own. */
const outcomeKey = Symbol.for('carobquay.code-cache');

/** How this program was loaded; undefined if it was started without the launcher. */
export function codeCacheOutcome(): CodeCacheOutcome | undefined {
	const outcome: unknown = Reflect.get(globalThis, outcomeKey);
	return outcome === 'used' || outcome === 'missing' || outcome === 'rejected' ? outcome : undefined;
}

/** Path of the code cache of a program. */
export function codeCachePath(programPath: string): string {
	return `${programPath}.cache`;
}

/** Compiles all functions of a program. @returns its code cache, for processes with the same V8 options as this one. */
export function compileCodeCache(programPath: string): Uint8Array {
	v8.setFlagsFromString('--no-lazy');
	const script = compile(programPath, undefined);
	// A cache counts for the options in force when it is made.
	v8.setFlagsFromString('--lazy');
	return script.createCachedData();
}

/** Loads a program with its code cache, or without where there is none that fits. @throws if the program cannot be read. */
export function loadProgram(programPath: string): LoadedProgram {
	const cachedData = readCodeCache(programPath);
	const script = compile(programPath, cachedData);
	const fitting = script.cachedDataRejected ? 'rejected' : 'used';
	const codeCache = cachedData === undefined ? 'missing' : fitting;
	return {
		codeCache,
		run() {
			Reflect.set(globalThis, outcomeKey, codeCache);
			const main: ModuleFunction = script.runInThisContext(); // eslint-disable-line @typescript-eslint/no-unsafe-assignment
			const module = {exports: {}};
			main(module.exports, createRequire(programPath), module, programPath, path.dirname(programPath));
		},
	};
}

function compile(programPath: string, cachedData: Uint8Array | undefined): vm.Script {
	return new vm.Script(Module.wrap(readFileSync(programPath, 'utf8')), {filename: programPath, cachedData});
}

/** A cache that cannot be read is none: the program runs without it. */
function readCodeCache(programPath: string): Uint8Array | undefined {
	try {
		return readFileSync(codeCachePath(programPath));
	} catch {
		return undefined;
	}
}

/** Options of V8 and the runtime in the command of a deploy file's role, which starts with `node`. */
export function runtimeOptions(command: string): string[] {
	const [, ...words] = command.split(' ');
	const programIndex = words.findIndex(word => !word.startsWith('--'));
	return programIndex === -1 ? words : words.slice(0, programIndex);
}
