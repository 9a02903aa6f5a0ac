/**
 * Checks of the fields of datagrams.
 *
 * @module
 */

/** Greatest number of entries in any list of a datagram; a datagram with a longer list is rejected. */
const maximumEntries = 500;

/** A datagram is malformed or of another version. */
export class DatagramError extends Error {
	constructor(reason: string) {
		super(`cannot decode datagram of a peer: ${reason}`);
		this.name = 'DatagramError';
	}
}

export function asList(value: unknown, field: string): readonly unknown[] {
	if (!Array.isArray(value)) {
		throw new DatagramError(`field ${field}: expected a list, got ${describe(value)}`);
	}

	if (value.length > maximumEntries) {
		throw new DatagramError(`field ${field}: got ${value.length} entries, expected at most ${maximumEntries}`);
	}

	return value;
}

export function asText(value: unknown, field: string): string {
	if (typeof value !== 'string' || value === '') {
		throw new DatagramError(`field ${field}: expected a non-empty string, got ${describe(value)}`);
	}

	return value;
}

export function asNumber(value: unknown, field: string): number {
	if (typeof value !== 'number' || !Number.isFinite(value)) {
		throw new DatagramError(`field ${field}: expected a finite number, got ${describe(value)}`);
	}

	return value;
}

export function asCount(value: unknown, field: string): number {
	const count = asNumber(value, field);
	if (!Number.isSafeInteger(count) || count < 0) {
		throw new DatagramError(`field ${field}: expected a whole number of at least 0, got ${describe(value)}`);
	}

	return count;
}

/** Longest description of a value in an error, in characters. */
const maximumDescriptionLength = 60;

function describe(value: unknown): string {
	return `${typeof value} ${String(JSON.stringify(value)).slice(0, maximumDescriptionLength)}`;
}
