/**
 * Which instances are members, by the claims that instances make about each other.
 *
 * A member whose links fail is suspected first and declared dead only after a time in which it can refute the
 * suspicion by raising its incarnation. A false death does no harm: it takes the member out of counts and of the
 * choice of watchers until it refutes; nothing that the member holds is taken from it.
 *
 * @module
 */
import type {MemberClaim, MemberState} from './messages.js';

/** Time in milliseconds from a suspicion to a declared death. */
const defaultSuspicion = 4000;

/** Time in milliseconds for which a dead or departed member is remembered, so that old claims do not bring it back. */
const retention = 120_000;

/** Order of the claims with one incarnation; the later one holds. */
const ranks: Readonly<Record<MemberState, number>> = {
	alive: 0, suspect: 1, leaving: 2, dead: 3,
};

/** A change to tell the others and to write into the log. */
export type MembershipEvent = {claim: MemberClaim; from: MemberState | 'unknown'};

type Member = {claim: MemberClaim; since: number};

/** The members as one instance believes. */
export class Membership {
	readonly #members = new Map<string, Member>();
	readonly #suspicion: number;
	#self: MemberClaim;

	/** @param suspicion - Time in milliseconds from a suspicion to a declared death. */
	constructor(self: Omit<MemberClaim, 'state'>, suspicion = defaultSuspicion) {
		this.#self = {...self, state: 'alive'};
		this.#suspicion = suspicion;
	}

	/** What this instance claims about itself. */
	get self(): MemberClaim {
		return this.#self;
	}

	/** All claims that hold, the own one first. */
	get claims(): MemberClaim[] {
		return [this.#self, ...[...this.#members.values()].map(({claim}) => claim)];
	}

	/** Members that count as running: not dead and not leaving. This instance is one of them unless it leaves. */
	get live(): MemberClaim[] {
		return this.claims.filter(({state}) => state === 'alive' || state === 'suspect');
	}

	/** The claim that holds about a member. */
	claim(name: string): MemberClaim | undefined {
		return name === this.#self.name ? this.#self : this.#members.get(name)?.claim;
	}

	/**
	 * Takes in a claim.
	 *
	 * @returns the change to pass on, if the claim is newer than what holds; a claim against this instance is refuted.
	 */
	receive(claim: MemberClaim, now: number): MembershipEvent | undefined {
		if (claim.name === this.#self.name) {
			return this.#refute(claim);
		}

		const known = this.#members.get(claim.name)?.claim;
		if (known && !supersedes(claim, known)) {
			return undefined;
		}

		this.#members.set(claim.name, {claim, since: now});
		return {claim, from: known?.state ?? 'unknown'};
	}

	/** Suspects a member whose link has failed. */
	suspect(name: string, now: number): MembershipEvent | undefined {
		const known = this.#members.get(name)?.claim;
		return known?.state === 'alive' ? this.receive({...known, state: 'suspect'}, now) : undefined;
	}

	/** Declares this instance leaving. */
	leave(): MembershipEvent {
		const from = this.#self.state;
		this.#self = {...this.#self, state: 'leaving'};
		return {claim: this.#self, from};
	}

	/** Declares members dead whose suspicion has lasted, and forgets those dead for long. */
	tick(now: number): MembershipEvent[] {
		const events: MembershipEvent[] = [];
		for (const [name, {claim, since}] of this.#members) {
			if (claim.state === 'suspect' && now - since >= this.#suspicion) {
				events.push(this.receive({...claim, state: 'dead'}, now)!);
			} else if ((claim.state === 'dead' || claim.state === 'leaving') && now - since >= retention) {
				this.#members.delete(name);
			}
		}

		return events;
	}

	/** Restarts the time of all suspicions; used after this instance was paused and could hear no refutation. */
	postpone(now: number): void {
		for (const member of this.#members.values()) {
			if (member.claim.state === 'suspect') {
				member.since = now;
			}
		}
	}

	#refute(claim: MemberClaim): MembershipEvent | undefined {
		if (!supersedes(claim, this.#self)) {
			return undefined;
		}

		const from = this.#self.state;
		this.#self = {...this.#self, incarnation: claim.incarnation + 1};
		return {claim: this.#self, from};
	}
}

/** Whether a claim holds over another about the same member. */
export function supersedes(claim: MemberClaim, known: MemberClaim): boolean {
	return claim.incarnation === known.incarnation ? ranks[claim.state] > ranks[known.state] : claim.incarnation > known.incarnation;
}
