/**
 * Suggestions for names that are not known.
 *
 * @module
 */
import levenshtein from 'fast-levenshtein';

/** Most letters that may differ for a name to be suggested. */
const maximumDistance = 3;

/** Text that suggests the closest known name, or lists the known names where none is close. */
export function closestName(name: string, known: readonly string[]): string {
	const ranked = known
		.map(candidate => ({candidate, steps: levenshtein.get(name, candidate)}))
		.toSorted((left, right) => left.steps - right.steps);
	const best = ranked[0];
	if (best !== undefined && best.steps <= maximumDistance) {
		return `; did you mean "${best.candidate}"?`;
	}

	return known.length === 0 ? '' : `; known are: ${known.join(', ')}`;
}
