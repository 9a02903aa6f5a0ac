/**
 * Record of a run, in `record.txt` of the case's folder, and the end of the script.
 *
 * @module
 */
import {appendFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import type {Outcome} from './client.js';
import type {EngineEvent} from './engine.js';

/** Whether the run plays the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Longest time in milliseconds of a run. */
const timeLimit = 110_000;

/** Exit codes of a script. */
const exitCodes = {held: 0, broken: 1, notRun: 2} as const;

// A reader of the output that has gone does not end the run.
process.stdout.on('error', () => undefined);

/** Lines of one run, with the seconds since its start. */
export class RunRecord {
	readonly #path: string;
	readonly #startedAt = performance.now();

	constructor(number: number) {
		this.#path = `review/${number}/record.txt`;
		writeFileSync(this.#path, `trouble ${hasTrouble ? 'on' : 'off'}\n`);
	}

	write(text: string): void {
		appendFileSync(this.#path, `${((performance.now() - this.#startedAt) / 1000).toFixed(3)} ${text}\n`);
	}

	engine({engine, kind, requestId, detail}: EngineEvent): void {
		this.write(`engine ${engine} ${kind} ${requestId}${detail === undefined ? '' : ` ${detail}`}`);
	}

	client({requestId, requestClass, machine, sentAt, endedAt, isKeptConnection, status, isComplete, body, failure}: Outcome): void {
		this.write(`client ${requestId} ${requestClass} at ${machine} sent ${((sentAt - this.#startedAt) / 1000).toFixed(3)} took ${Math.round(endedAt - sentAt)} ms `
			+ `kept-connection ${isKeptConnection} status ${status} complete ${isComplete} bytes ${body.length}${failure === undefined ? '' : ` failure "${failure}"`}`);
	}

	/** Writes a line here and to the output. */
	say(text: string): void {
		this.write(text);
		process.stdout.write(`${text}\n`);
	}
}

/** Plays a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function play(number: number, scenario: (record: RunRecord) => Promise<{isBroken: boolean}>, cleanUp: () => Promise<void>): Promise<void> {
	const record = new RunRecord(number);
	const limit = setTimeout(() => {
		record.say('not run: the time limit was reached');
		void end(exitCodes.notRun, cleanUp);
	}, timeLimit);
	process.once('uncaughtException', error => {
		record.say(`not run: ${String(error)}`);
		void end(exitCodes.notRun, cleanUp);
	});
	for (const signal of ['SIGINT', 'SIGTERM'] as const) {
		process.once(signal, () => {
			void end(exitCodes.notRun, cleanUp);
		});
	}

	let code: number = exitCodes.notRun;
	try {
		const {isBroken} = await scenario(record);
		code = isBroken ? exitCodes.broken : exitCodes.held;
		record.say(isBroken ? 'the rule was broken' : 'the rule held');
	} catch (error) {
		record.say(`not run: ${String(error)}`);
	}

	clearTimeout(limit);
	await end(code, cleanUp);
}

async function end(code: number, cleanUp: () => Promise<void>): Promise<void> {
	await cleanUp();
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
}
