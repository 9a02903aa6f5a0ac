/**
 * Grouping of values by a key.
 *
 * @module
 */

/** Groups values, in their order. */
export function groupBy<Value>(values: Iterable<Value>, keyOf: (value: Value) => string): Map<string, Value[]> {
	const groups = new Map<string, Value[]>();
	for (const value of values) {
		const group = groups.get(keyOf(value));
		if (group === undefined) {
			groups.set(keyOf(value), [value]);
		} else {
			group.push(value);
		}
	}

	return groups;
}
