/**
 * A configuration document as its sections, which are what operators change and conflict over.
 *
 * @module
 */

/** Text of each section by its header line. */
export type Sections = ReadonlyMap<string, string>;

/** A change of one section; undefined means that the section is absent. */
export type SectionChange = {section: string; before?: string; after?: string};

const headerPattern = /^\s*\[(.+)\]\s*$/v;
const commentPattern = /^\s*[;#]/v;

/** Divides a document; comments directly above a header belong to its section, and text before the first is left out. */
export function splitSections(text: string): Sections {
	const sections = new Map<string, string>();
	let header: string | undefined;
	let lines: string[] = [];
	const close = (following: string[]) => {
		if (header !== undefined) {
			sections.set(header, lines.join('\n').trim());
		}

		lines = following;
	};

	for (const line of text.split(/\r?\n/v)) {
		const found = headerPattern.exec(line);
		if (found) {
			close(trailingComments(lines));
			header = found[1]!.trim();
		}

		lines.push(line);
	}

	close([]);
	return sections;
}

/** Takes the comment lines off the end. */
function trailingComments(lines: string[]): string[] {
	const last = lines.findLastIndex(line => !commentPattern.test(line));
	return lines.splice(last + 1).filter(line => !generationPattern.test(line));
}

/** The document of some sections. */
export function joinSections(sections: Sections): string {
	return [...sections.values()].map(section => `${section}\n`).join('\n');
}

/** What has to be changed to make one document of another. */
export function compareSections(from: Sections, to: Sections): SectionChange[] {
	return [...new Set([...from.keys(), ...to.keys()])]
		.filter(section => from.get(section) !== to.get(section))
		.map(section => ({section, before: from.get(section), after: to.get(section)}));
}

/** The document after some changes. */
export function changeSections(sections: Sections, changes: readonly SectionChange[]): Sections {
	const changed = new Map(sections);
	for (const {section, after} of changes) {
		if (after === undefined) {
			changed.delete(section);
		} else {
			changed.set(section, after);
		}
	}

	return changed;
}

/** Changes that undo others. */
export function invertChanges(changes: readonly SectionChange[]): SectionChange[] {
	return changes.map(({section, before, after}) => ({section, before: after, after: before}));
}

const generationPattern = /^\s*;\s*generation\s+(\d+)\s*$/v;

/** Generation that a document says it was made from: a first line "; generation N", as `carobquay get` prints. */
export function statedGeneration(text: string): number | undefined {
	const found = generationPattern.exec(text.split('\n', 1)[0]!);
	return found ? Number(found[1]) : undefined;
}
