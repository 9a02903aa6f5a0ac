/**
 * The command line of the platform's instances: `front` alone, a fraction of the whole bundle, so that the processes of a
 * large fleet start sooner and hold less code in memory.
 *
 * @module
 */
import process from 'node:process';
import {Command} from 'commander';
// Before the other modules, which take a while to load.
import {onHangup} from './commands/hangup-signal.js';
import {declareFrontCommand} from './commands/front-command.js';
import {front} from './commands/front.js';
import {reportFailure} from './commands/report-failure.js';
import {version} from './version.js';

const program = new Command('carobquay-front').version(version).exitOverride();
declareFrontCommand(program, async options => front(options, onHangup));

async function main(): Promise<void> {
	try {
		await program.parseAsync(process.argv);
	} catch (error) {
		process.exitCode = reportFailure(error);
	}
}

// The bundle is CommonJS, which has no await at its top level.
void main();
