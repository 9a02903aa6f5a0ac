/**
 * Seeded hashing and random numbers, so that the same inputs give the same decision.
 *
 * @module
 */

const fnvOffsetBasis = 0x81_1C_9D_C5;
const fnvPrime = 0x01_00_01_93;

/** Hash of a text as an unsigned number of 32 bits. */
export function hashText(text: string, seed = 0): number {
	let hash = (fnvOffsetBasis ^ seed) >>> 0; // eslint-disable-line no-bitwise
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime); // eslint-disable-line no-bitwise, unicorn/prefer-code-point
	}

	return mix(hash);
}

/** Spreads each bit of a number over all 32. */
function mix(value: number): number {
	/* eslint-disable no-bitwise */
	let mixed = Math.imul(value ^ (value >>> 16), 0x7F_EB_35_2D);
	mixed = Math.imul(mixed ^ (mixed >>> 15), 0x84_6C_A6_8B);
	return (mixed ^ (mixed >>> 16)) >>> 0;
	/* eslint-enable no-bitwise */
}
