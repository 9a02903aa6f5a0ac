/** What a case has seen, with the time since its start in seconds, and how it ends. */
import fs from 'node:fs';
import {performance} from 'node:perf_hooks';
import process from 'node:process';

/** Longest time in milliseconds of a case. */
const longestCase = 110_000;

/** Exit codes. */
const held = 0;
const broken = 1;
const notRun = 2;

export class Record {
	#lines = [];
	#startedAt = performance.now();

	line(...words) {
		this.#lines.push(`${((performance.now() - this.#startedAt) / 1000).toFixed(3)} ${words.join(' ')}`);
	}

	write(file) {
		fs.writeFileSync(file, `${this.#lines.join('\n')}\n`);
	}
}

/**
 * Runs a case and ends the process with the exit code of its result.
 *
 * @param play - Resolves with the requests that broke the rule, a text for each. @param cleanUp - Ends all that was started.
 */
export async function runCase({file, play, cleanUp}) {
	const record = new Record();
	let code = notRun;
	const limit = setTimeout(() => {
		record.line('the case took too long');
		finish();
	}, longestCase);
	const finish = () => {
		clearTimeout(limit);
		cleanUp();
		record.write(file);
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	};

	try {
		const breaks = await play(record);
		for (const text of breaks) {
			record.line('BROKEN', text);
		}

		record.line(breaks.length === 0 ? 'the rule held' : `the rule was broken by ${breaks.length} requests`);
		process.stdout.write(breaks.length === 0 ? 'the rule held\n' : `the rule was broken by ${breaks.length} requests: ${breaks[0]}\n`);
		code = breaks.length === 0 ? held : broken;
	} catch (error) {
		record.line('could not run:', error.stack);
		process.stdout.write(`could not run: ${error.message}\n`);
	}

	finish();
}
