/**
 * What commands print.
 *
 * @module
 */
import process from 'node:process';

/** Prints one line. */
export function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

/** Prints a value as one line of JSON. */
export function printJson(value: unknown): void {
	print(JSON.stringify(value));
}

/** Prints rows in columns as wide as their longest cell. */
export function printTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): void {
	const widths = header.map((title, column) => Math.max(title.length, ...rows.map(row => row[column]?.length ?? 0)));
	for (const row of [header, ...rows]) {
		print(row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd());
	}
}
