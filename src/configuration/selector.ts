/**
 * Selectors over labels.
 *
 * @module
 */
import {match} from 'ts-pattern';
import {CarobquayError} from '../errors/errors.js';

/** One requirement on the labels. */
export type Requirement
	= | {operator: 'equals' | 'not-equals'; label: string; value: string}
		| {operator: 'in' | 'not-in'; label: string; values: readonly string[]}
		| {operator: 'exists' | 'not-exists'; label: string};

const labelPattern = String.raw`[A-Za-z\d][\w.\/\-]*`;
const valuePattern = String.raw`[\w.\-]*`;
const equality = new RegExp(String.raw`^(${labelPattern})\s*(!=|==|=)\s*(${valuePattern})$`, 'v');
const membership = new RegExp(String.raw`^(${labelPattern})\s+(in|notin)\s*\(([^\)]*)\)$`, 'v');
const existence = new RegExp(String.raw`^(!?)\s*(${labelPattern})$`, 'v');

/** All of its requirements must hold; an empty selector selects everything. */
export class Selector {
	/**
	 * Reads a selector such as "tier=standard, zone in (a, b), !draining".
	 *
	 * @throws {CarobquayError} 6001 naming the part that cannot be read.
	 */
	static parse(text: string): Selector {
		const parts = text.split(/,(?![^\(]*\))/v).map(part => part.trim()).filter(part => part !== '');
		return new Selector(parts.map(part => parseRequirement(part, text)));
	}

	readonly #requirements: readonly Requirement[];

	constructor(requirements: readonly Requirement[]) {
		this.#requirements = requirements;
	}

	/** The requirements, all of which must hold. */
	get requirements(): readonly Requirement[] {
		return this.#requirements;
	}

	/** Whether the labels meet every requirement. */
	matches(labels: Readonly<Record<string, string>>): boolean {
		return this.#requirements.every(requirement => meets(requirement, labels));
	}

	/** The first requirement that the labels do not meet. */
	firstUnmet(labels: Readonly<Record<string, string>>): Requirement | undefined {
		return this.#requirements.find(requirement => !meets(requirement, labels));
	}

	toString(): string {
		return this.#requirements.map(requirement => formatRequirement(requirement)).join(', ');
	}
}

function parseRequirement(part: string, text: string): Requirement {
	const equal = equality.exec(part);
	if (equal) {
		return {operator: equal[2] === '!=' ? 'not-equals' : 'equals', label: equal[1]!, value: equal[3]!};
	}

	const member = membership.exec(part);
	if (member) {
		const values = member[3]!.split(',').map(value => value.trim()).filter(value => value !== '');
		return {operator: member[2] === 'in' ? 'in' : 'not-in', label: member[1]!, values};
	}

	const exists = existence.exec(part);
	if (exists) {
		return {operator: exists[1] === '!' ? 'not-exists' : 'exists', label: exists[2]!};
	}

	throw new CarobquayError('6001', {
		message: `selector "${text}": cannot read "${part}"; write label=value, label!=value, label in (a, b), label notin (a, b), label or !label`,
	});
}

/** Whether labels meet one requirement. A negation also holds where the label is absent. */
function meets(requirement: Requirement, labels: Readonly<Record<string, string>>): boolean {
	const actual = Object.hasOwn(labels, requirement.label) ? labels[requirement.label] : undefined;
	return match(requirement)
		.with({operator: 'equals'}, ({value}) => actual === value)
		.with({operator: 'not-equals'}, ({value}) => actual !== value)
		.with({operator: 'in'}, ({values}) => actual !== undefined && values.includes(actual))
		.with({operator: 'not-in'}, ({values}) => actual === undefined || !values.includes(actual))
		.with({operator: 'exists'}, () => actual !== undefined)
		.with({operator: 'not-exists'}, () => actual === undefined)
		.exhaustive();
}

/** One requirement as an operator writes it. */
export function formatRequirement(requirement: Requirement): string {
	return match(requirement)
		.with({operator: 'equals'}, ({label, value}) => `${label}=${value}`)
		.with({operator: 'not-equals'}, ({label, value}) => `${label}!=${value}`)
		.with({operator: 'in'}, ({label, values}) => `${label} in (${values.join(', ')})`)
		.with({operator: 'not-in'}, ({label, values}) => `${label} notin (${values.join(', ')})`)
		.with({operator: 'exists'}, ({label}) => label)
		.with({operator: 'not-exists'}, ({label}) => `!${label}`)
		.exhaustive();
}
