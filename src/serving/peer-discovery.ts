/**
 * Finds the other instances after the start, and tells when it is known what they have placed.
 *
 * @module
 */
import type {PeerMessenger} from '../peers/peer-messenger.js';
import {delay} from '../request/time-limit.js';
import type {InstanceRegistration} from './instance-registration.js';

/** Time in milliseconds within which seeds reply: several times the latency across failure domains, as their processes may have just started. */
const seedReplyWait = 100;

/** Time in milliseconds between two checks whether a peer has replied, and time in milliseconds after the first reply in which peers report what they have placed. */
const peerCheckInterval = 10;
const placementReportWait = 20;

/** Longest time in milliseconds after the start for which prompts wait for reports of peers, even if the store does not name any. */
const maximumPeerWait = 250;

/** Longest random delay in milliseconds before an instance writes its address, so that not all instances write at once. */
const maximumJoinDelay = 500;

/** Discovery of one instance's peers. */
export class PeerDiscovery {
	/** Resolves when what peers have placed is known, or is not to be expected. */
	readonly peersKnown: Promise<void>;
	#resolvePeersKnown: (() => void) | undefined;

	constructor() {
		this.peersKnown = new Promise(resolve => {
			this.#resolvePeersKnown = resolve;
		});
	}

	/** Finds the other instances, by the store if no seed has replied, then writes this instance's own address for those that start later. */
	async join(messenger: Pick<PeerMessenger, 'peerCount'>, registration: InstanceRegistration): Promise<void> {
		setTimeout(() => {
			this.#resolvePeersKnown?.();
		}, maximumPeerWait);
		// Until a seed has replied, or long enough for a reply.
		for (let elapsed = 0; elapsed < seedReplyWait && messenger.peerCount === 0; elapsed += peerCheckInterval) {
			await delay(peerCheckInterval); // eslint-disable-line no-await-in-loop
		}

		if (messenger.peerCount === 0) {
			await registration.contactListed();
		}

		await delay(placementReportWait);
		this.#resolvePeersKnown?.();
		await registration.register(maximumJoinDelay);
	}
}
