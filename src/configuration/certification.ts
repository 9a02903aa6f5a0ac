/**
 * Whether a change made from an older generation may be accepted.
 *
 * As in deferred update, a change is refused where something that it read has been written since its snapshot. An
 * operator has read the sections that the change alters; other sections may have been written meanwhile and are kept.
 *
 * @module
 */
import {
	changeSections, compareSections, type SectionChange, type Sections,
} from './sections.js';

/** An accepted change, as the history keeps it. */
export type HistoryEntry = {
	generation: number;
	changeId: string;
	/** Who made the change, as the operator said. */
	operator: string;
	/** When it was accepted, in milliseconds since 1970. */
	acceptedAt: number;
	changes: readonly SectionChange[];
};

/** How a change is certified. */
export type Certification
	= | {kind: 'accepted'; changes: readonly SectionChange[]; sections: Sections}
		/** Another change of the section was accepted first. */
		| {kind: 'conflict'; section: string; lostTo: HistoryEntry}
		/** The document is in force already. */
		| {kind: 'unchanged'};

/**
 * Certifies a submitted document.
 *
 * @param since - Accepted changes after the generation that the document was made from, oldest first.
 */
export function certify(current: Sections, submitted: Sections, since: readonly HistoryEntry[]): Certification {
	const changes: SectionChange[] = [];
	for (const change of compareSections(current, submitted)) {
		const later = since.filter(entry => entry.changes.some(({section}) => section === change.section));
		const lostTo = later.at(-1);
		if (lostTo === undefined) {
			changes.push(change);
			continue;
		}

		const atSnapshot = later[0]!.changes.find(({section}) => section === change.section)!.before;
		if (change.after !== atSnapshot) {
			return {kind: 'conflict', section: change.section, lostTo};
		}
	}

	return changes.length === 0 ? {kind: 'unchanged'} : {kind: 'accepted', changes, sections: changeSections(current, changes)};
}
