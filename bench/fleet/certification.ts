/**
 * `npx tsx bench/fleet/certification.ts`: changes refused by two rules of certification, on a scripted clock.
 *
 * Operators read the document, think and propose a change of one section. The last line is JSON with the share of
 * refused changes for one version of the whole document and for sections. With blind writes nothing is refused, and
 * the changes refused by sections would overwrite others unseen.
 *
 * @module
 */
import {certify, type HistoryEntry} from '../../src/configuration/certification.js';
import type {Sections} from '../../src/configuration/sections.js';
import {hashText} from '../../src/routing/seeded-hash.js';

const sectionCount = 340;
const days = 30;
const changesPerDay = 530;
const dayMinutes = 1440;

/** Operators of one burst, who all read before the first of them proposes. */
const burstSize = 20;

/** Shares of the changes that fall on sections by rank: the first is changed most. */
const rankExponent = 1;

type Change = {readAt: number; proposedAt: number; section: string};

const unit = (seed: string) => (hashText(seed) + 0.5) / (2 ** 32);

/** A section by Zipf's law. */
function chooseSection(seed: string): string {
	const weights = Array.from({length: sectionCount}, (_, index) => 1 / ((index + 1) ** rankExponent));
	let rest = unit(seed) * weights.reduce((sum, weight) => sum + weight, 0);
	const index = weights.findIndex(weight => {
		rest -= weight;
		return rest <= 0;
	});
	return `customer c${Math.max(0, index)}`;
}

/** Changes spread over all days; times in minutes. */
function ordinaryChanges(thinking: number): Change[] {
	return Array.from({length: days * changesPerDay}, (_, index) => {
		const readAt = unit(`read ${index}`) * days * dayMinutes;
		return {readAt, proposedAt: readAt - (thinking * Math.log(unit(`think ${index}`))), section: chooseSection(`section ${index}`)};
	});
}

/** One burst each day. */
function burstChanges(): Change[] {
	return Array.from({length: days * burstSize}, (_, index) => {
		const readAt = Math.floor(index / burstSize) * dayMinutes;
		return {readAt, proposedAt: readAt + 1 + unit(`burst ${index}`), section: chooseSection(`burst section ${index}`)};
	});
}

function refusedShares(changes: readonly Change[]) {
	const history: Array<HistoryEntry & {at: number}> = [];
	let sections: Sections = new Map();
	let refusedByWhole = 0;
	/** Time of the newest change that one version of the whole document has accepted. */
	let lastWholeAt = -1;
	let refusedBySections = 0;
	for (const [index, change] of changes.toSorted((first, second) => first.proposedAt - second.proposedAt).entries()) {
		const since = history.filter(({at}) => at > change.readAt);
		// The operator's document: what was read, with one section changed.
		const submitted = new Map(sections);
		for (const entry of since.toReversed()) {
			for (const {section, before} of entry.changes) {
				if (before === undefined) {
					submitted.delete(section);
				} else {
					submitted.set(section, before);
				}
			}
		}

		submitted.set(change.section, `value ${index}`);
		if (lastWholeAt > change.readAt) {
			refusedByWhole++;
		} else {
			lastWholeAt = change.proposedAt;
		}

		const certification = certify(sections, submitted, since);
		if (certification.kind === 'accepted') {
			sections = certification.sections;
			history.push({
				generation: history.length + 1, changeId: '', operator: '', acceptedAt: 0, changes: certification.changes, at: change.proposedAt,
			});
		} else {
			refusedBySections++;
		}
	}

	return {changes: changes.length, whole_document: refusedByWhole / changes.length, sections: refusedBySections / changes.length};
}

console.log(JSON.stringify({
	think_2_min: refusedShares(ordinaryChanges(2)),
	think_10_min: refusedShares(ordinaryChanges(10)),
	burst: refusedShares(burstChanges()),
}));
