/**
 * Seeded hash, so that the same inputs and seed give the same routing decision.
 *
 * @module
 */

/** Offset basis and prime of 32-bit FNV-1a. */
const fnvOffsetBasis = 0x81_1C_9D_C5;
const fnvPrime = 0x01_00_01_93;

/** Hash of a text as an unsigned 32-bit integer: FNV-1a over its UTF-16 code units, then mixed. */
export function hashText(text: string, seed = 0): number {
	let hash = (fnvOffsetBasis ^ seed) >>> 0; // eslint-disable-line no-bitwise
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime); // eslint-disable-line no-bitwise, unicorn/prefer-code-point
	}

	return mix(hash);
}

/** Mixes a 32-bit integer so that each input bit affects all output bits. */
function mix(value: number): number {
	/* eslint-disable no-bitwise */
	let mixed = Math.imul(value ^ (value >>> 16), 0x7F_EB_35_2D);
	mixed = Math.imul(mixed ^ (mixed >>> 15), 0x84_6C_A6_8B);
	return (mixed ^ (mixed >>> 16)) >>> 0;
	/* eslint-enable no-bitwise */
}
