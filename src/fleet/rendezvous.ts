/**
 * Choices that every instance makes alike from the same names.
 *
 * @module
 */

/* eslint-disable no-bitwise */

const offsetBasis = 0x81_1C_9D_C5;
const prime = 0x01_00_01_93;

/** A number of 32 bits made from a text (FNV-1a with a final mix). */
export function hashText(text: string): number {
	let hash = offsetBasis;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.codePointAt(index)!, prime);
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/** The names with the highest scores for a key, the highest first. Losing a name moves only the keys that it had. */
export function rendezvous(key: string, names: readonly string[], count: number): string[] {
	return names
		.map(name => ({name, score: hashText(`${key}\n${name}`)}))
		.toSorted((first, second) => second.score - first.score || (first.name < second.name ? -1 : 1))
		.slice(0, count)
		.map(({name}) => name);
}

/**
 * Members that an instance dials: its successor on the ring of all names, by which each member is watched by at least
 * one other, and further ones by rendezvous, which keep the paths short.
 */
export function chooseNeighbours(own: string, names: readonly string[], fanOut: number): string[] {
	const others = names.filter(name => name !== own);
	const place = hashText(own);
	const distance = (name: string) => (hashText(name) - place) >>> 0;
	const successor = others.toSorted((first, second) => distance(first) - distance(second))[0];
	if (successor === undefined) {
		return [];
	}

	const further = rendezvous(own, others.filter(name => name !== successor), fanOut - 1);
	return [successor, ...further];
}
