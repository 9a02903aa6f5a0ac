/**
 * What a case saw, in order, and its verdict.
 *
 * @module
 */
import {writeFileSync} from 'node:fs';

/** Exit codes of a case. */
const exitCodes = {held: 0, broken: 1, failed: 2} as const;

/** Verdict of a case: the rule held, it was broken, or the case could not run. */
export type Verdict = keyof typeof exitCodes;

/** Most lines of a record. */
const maximumLines = 4000;

/** Record of one run, written to a file at its end. */
export class Recording {
	readonly #path: string;
	readonly #startedAt = performance.now();
	readonly #lines: string[] = [];

	constructor(path: string) {
		this.#path = path;
	}

	/** Time in milliseconds since the start of the run. */
	get time(): number {
		return Math.round(performance.now() - this.#startedAt);
	}

	/** Adds a line with the time. */
	add(text: string): void {
		if (this.#lines.length < maximumLines) {
			this.#lines.push(`${String(this.time).padStart(6)} ms  ${text}`);
		}
	}

	/** Writes the record. @returns the exit code. */
	end(verdict: Verdict, reason: string): number {
		this.add(`${verdict}: ${reason}`);
		writeFileSync(this.#path, `${this.#lines.join('\n')}\n`);
		console.log(`${verdict}: ${reason}`);
		return exitCodes[verdict];
	}
}
