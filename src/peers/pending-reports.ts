/**
 * Reports that an instance has not sent yet, in one batch for each group of peers.
 *
 * @module
 */
import type {PeerDatagram} from './peer-datagram.js';

/** Parts of a datagram that are collected before it is sent. */
type ReportedParts = Pick<PeerDatagram, 'placements' | 'startedKeys' | 'endedKeys' | 'avoidedEngines' | 'engineSlowdowns' | 'engineLimits'>;

/** Reports for one group of peers. */
export type ReportBatch = {[Part in keyof ReportedParts]: Array<ReportedParts[Part][number]>};

/** Batches by the list of peers that they go to. */
export class PendingReports {
	#batches = new Map<readonly string[], ReportBatch>();

	/** The batch for these peers, to add reports to. */
	for(subscribers: readonly string[]): ReportBatch {
		let batch = this.#batches.get(subscribers);
		if (!batch) {
			batch = emptyBatch();
			this.#batches.set(subscribers, batch);
		}

		return batch;
	}

	/** Returns all batches and begins anew. */
	takeAll(): ReadonlyMap<readonly string[], ReportBatch> {
		const batches = this.#batches;
		this.#batches = new Map();
		return batches;
	}
}

/** A batch without reports. */
export function emptyBatch(): ReportBatch {
	return {
		placements: [], startedKeys: [], endedKeys: [], avoidedEngines: [], engineSlowdowns: [], engineLimits: [],
	};
}
