/**
 * The command line: a thin table of commands, each loaded when it is called.
 *
 * @module
 */
import process from 'node:process';
import {Command} from 'commander';

const program = new Command('carobquay');
program.description('serving layer for prompts of a thousand to a million tokens on one shared fleet');

// The single binary is a CommonJS bundle, which has no await at its top level.
void program.parseAsync(process.argv);
