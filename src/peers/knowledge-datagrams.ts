/**
 * What an instance tells a peer that it meets for the first time or that has restarted, divided into datagrams.
 *
 * @module
 */
import type {EngineRateLimits} from '../placement/engine-rate-limits.js';
import type {Placement} from '../placement/load-tracker.js';
import type {RequestQuarantine} from '../quarantine/request-quarantine.js';
import type {PeerDatagram} from './peer-datagram.js';
import {divideIntoDatagrams} from './quarantine-gossip.js';

/** Most placements in one datagram to a new peer; with their parts they stay well below the size limit of a datagram. */
const maximumPlacementsPerDatagram = 100;

/** Most limits of engines in one datagram. */
const maximumLimitsPerDatagram = 200;

/** What a new peer is told. */
export type Knowledge = {
	quarantine: Pick<RequestQuarantine, 'entries'>;
	rateLimits: Pick<EngineRateLimits, 'limits'>;
	/** Placements of this instance that the peer is told of. */
	placements: readonly Placement[];
	/** Keys of those whose first event has arrived. */
	prefilledKeys: readonly string[];
};

/** Parts of the datagrams, in the order in which they are sent. */
export function divideKnowledge({quarantine, rateLimits, placements, prefilledKeys}: Knowledge): Array<Partial<PeerDatagram>> {
	const datagrams: Array<Partial<PeerDatagram>> = [...divideIntoDatagrams({crashes: [], soundReports: [], quarantineEntries: quarantine.entries})];
	const engineLimits = rateLimits.limits.slice(0, maximumLimitsPerDatagram);
	if (engineLimits.length > 0) {
		datagrams.push({engineLimits});
	}

	for (let offset = 0; offset < placements.length; offset += maximumPlacementsPerDatagram) {
		const part = placements.slice(offset, offset + maximumPlacementsPerDatagram);
		const keys = new Set(part.map(({key}) => key));
		datagrams.push({placements: part, startedKeys: prefilledKeys.filter(key => keys.has(key))});
	}

	return datagrams;
}
