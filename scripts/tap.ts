/**
 * Reads the test runner's TAP lines and weighs them against the list of known failures.
 *
 * @module
 */

/** Result of one test. */
export type TapLine = {title: string; passed: boolean};

/** What a run amounts to. */
export type Tally = {
	passed: number;
	/** Titles of the failures that KNOWN-RED.txt does not list. */
	failedTitles: string[];
	knownFailures: string[];
	/** Titles that KNOWN-RED.txt lists although they pass. */
	repaired: string[];
};

const resultPattern = /^(not )?ok \d+ - (.*?)(?: # .*)?$/v;

/** Reads one line of output; undefined where it reports no test. */
export function parseTapLine(line: string): TapLine | undefined {
	const found = resultPattern.exec(line);
	return found ? {title: found[2]!, passed: found[1] === undefined} : undefined;
}

/** Reads the titles in KNOWN-RED.txt: lines of the form "test: TITLE". */
export function knownRedTitles(text: string): ReadonlySet<string> {
	const titles = text.split('\n')
		.filter(line => line.startsWith('test: '))
		.map(line => line.slice('test: '.length).trim());
	return new Set(titles);
}

/** Counts results; a known failure counts neither as passed nor as failed. */
export function tally(results: readonly TapLine[], known: ReadonlySet<string>): Tally {
	const failures = results.filter(result => !result.passed);
	return {
		passed: results.length - failures.length,
		failedTitles: failures.map(result => result.title).filter(title => !known.has(title)),
		knownFailures: failures.map(result => result.title).filter(title => known.has(title)),
		repaired: results.filter(result => result.passed && known.has(result.title)).map(result => result.title),
	};
}
