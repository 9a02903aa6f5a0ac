/**
 * Choices that every instance makes alike from the same names.
 *
 * @module
 */

import {hashText} from '../routing/seeded-hash.js';

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
	const distance = (name: string) => (hashText(name) - place) >>> 0; // eslint-disable-line no-bitwise
	const successor = others.toSorted((first, second) => distance(first) - distance(second))[0];
	if (successor === undefined) {
		return [];
	}

	const further = rendezvous(own, others.filter(name => name !== successor), fanOut - 1);
	return [successor, ...further];
}
