/**
 * Addresses of instances that are contacted until they reply.
 *
 * @module
 */
import net from 'node:net';
import type {ReplyRequest} from './peer-datagram.js';

/** Rounds of heartbeats in which an address is contacted until it replies or is given up. */
const maximumContactAttempts = 15;

/** Contacts of one instance. */
export class PeerContacts {
	/** Instances that this one was told to contact for their peer lists. */
	readonly #firstContacts = new Set<string>();
	/** Addresses that have not replied yet, with the number of attempts to contact them. */
	readonly #attempts = new Map<string, number>();

	/** Addresses that are asked for their peer lists, whether they have replied or not. */
	get firstContacts(): readonly string[] {
		return [...this.#firstContacts];
	}

	/** Adds an address. @returns false if it is being contacted, or is no IP address: names are not looked up. */
	add(address: string, replyRequest: ReplyRequest): boolean {
		if (this.#attempts.has(address) || !net.isIPv4(address)) {
			return false;
		}

		this.#attempts.set(address, 1);
		if (replyRequest === 'peer-list') {
			this.#firstContacts.add(address);
		}

		return true;
	}

	/** Ends the contact with an address that has replied. */
	recordReply(address: string): void {
		this.#attempts.delete(address);
	}

	/** Counts one more attempt for each address that has not replied. @returns those to contact and what to ask them for. */
	nextRound(): Array<{address: string; replyRequest: ReplyRequest}> {
		const round: Array<{address: string; replyRequest: ReplyRequest}> = [];
		for (const [address, attempts] of this.#attempts) {
			if (attempts >= maximumContactAttempts) {
				this.#attempts.delete(address);
			} else {
				this.#attempts.set(address, attempts + 1);
				round.push({address, replyRequest: this.#firstContacts.has(address) ? 'peer-list' : 'reply'});
			}
		}

		return round;
	}
}
