/**
 * Bounds what an instance keeps in memory for others, over all sources together.
 *
 * docs/design/memory-budget.md says who reserves what, and what happens at the bound.
 *
 * @module
 */

/** What an instance keeps for others. */
export const memorySources = ['request-heads', 'request-bodies', 'buffered-answers', 'unread-answers', 'relayed-bytes', 'tables'] as const;

export type MemorySource = typeof memorySources[number];

/** Names the owner of what is kept; its use decides who gives way. */
export type MemoryOwner = string;

/** What a reservation is for. */
export type MemoryClaim = {
	source: MemorySource;
	owner: MemoryOwner;
	/** Initial size in bytes. */
	bytes: number;
	/**
	 * Frees what is kept, at once. The reservation is released before the call.
	 * Undefined for what cannot be given up.
	 */
	giveUp?: (() => void) | undefined;
};

/** Bytes that are kept for one owner. */
export interface MemoryReservation {
	readonly bytes: number;
	/** Sets the size in bytes. @returns false if the budget has no room; the size is then as before. */
	resize(bytes: number): boolean;
	/** Keeps the reservation from being given up from now on, because its work has begun. */
	pin(): void;
	/** Returns everything; does nothing if that has been done or the reservation was given up. */
	release(): void;
}

/** Limits in bytes. */
export type MemoryLimits = {
	/** All sources together. */
	ceiling: number;
	/** Single sources; those that are missing are bounded by the ceiling alone. */
	sources?: Partial<Record<MemorySource, number>>;
	/**
	 * Share of a source's limit that one owner may take; what remains is kept for others, who could not get back what
	 * cannot be given up.
	 * @default 1 for each source
	 */
	ownerShares?: Partial<Record<MemorySource, number>>;
};

/** Memory that an instance keeps for others. The sum of all reservations never exceeds the ceiling. */
export class MemoryBudget {
	readonly #limits: MemoryLimits;
	readonly #onFreed: (source: MemorySource, bytes: number) => void;
	readonly #ledger = new Set<Reservation>();
	readonly #bySource = new Map<MemorySource, number>();
	readonly #byOwner = new Map<MemoryOwner, number>();
	/** By source and owner, separated by a space. */
	readonly #byOwnerAndSource = new Map<string, number>();
	#total = 0;
	#givenUpCount = 0;
	#refusedCount = 0;

	/** @param onFreed - Called with bytes that are no longer kept and so are garbage, or kept by the runtime alone. */
	constructor(limits: MemoryLimits, onFreed: (source: MemorySource, bytes: number) => void = () => undefined) {
		this.#limits = limits;
		this.#onFreed = onFreed;
	}

	/** Limit in bytes of all sources together. */
	get ceiling(): number {
		return this.#limits.ceiling;
	}

	/** Bytes in use, all sources together. */
	get total(): number {
		return this.#total;
	}

	/** Number of reservations that were given up for others, and of those that were refused or could not grow. */
	get counts(): {givenUp: number; refused: number} {
		return {givenUp: this.#givenUpCount, refused: this.#refusedCount};
	}

	/** Bytes in use by one source. */
	usedBy(source: MemorySource): number {
		return this.#bySource.get(source) ?? 0;
	}

	/** Limit in bytes of one source. */
	limitOf(source: MemorySource): number {
		return Math.min(this.#limits.ceiling, this.#limits.sources?.[source] ?? this.#limits.ceiling);
	}

	/** Whether some bytes more fit without giving up anything. */
	hasRoom(source: MemorySource, bytes: number): boolean {
		return this.#total + bytes <= this.#limits.ceiling && this.usedBy(source) + bytes <= this.limitOf(source);
	}

	/** Whether some bytes could be reserved now, if everything gave way that would. Changes nothing. */
	canReserve({source, owner, bytes}: Pick<MemoryClaim, 'source' | 'owner' | 'bytes'>): boolean {
		return this.#canGrow(new Reservation({source, owner, giveUp: undefined}, this.#resize, this.#release), bytes);
	}

	/**
	 * Reserves memory. Where there is no room, the largest reservation that can be given up of the owner who uses most is
	 * given up, as long as that owner uses more than this one, or the reservation is the larger one of the same owner.
	 *
	 * @returns undefined if there is no room.
	 */
	reserve({source, owner, bytes, giveUp}: MemoryClaim): MemoryReservation | undefined {
		const reservation = new Reservation({source, owner, giveUp}, this.#resize, this.#release);
		this.#ledger.add(reservation);
		if (reservation.resize(bytes)) {
			return reservation;
		}

		this.#ledger.delete(reservation);
		return undefined;
	}

	readonly #resize = (reservation: Reservation, bytes: number): boolean => {
		// What is given up may release other reservations, this one among them.
		while (this.#ledger.has(reservation)) {
			const growth = bytes - reservation.bytes;
			if (growth <= 0 || this.#missing(reservation, bytes) <= 0) {
				this.#add(reservation, growth);
				return true;
			}

			// Nobody gives way to what would be refused all the same.
			const victim = this.#canGrow(reservation, bytes) ? this.#findVictim(reservation, bytes) : undefined;
			if (victim === undefined) {
				break;
			}

			this.#givenUpCount += 1;
			this.#release(victim);
			victim.giveUp?.();
		}

		this.#refusedCount += 1;
		return false;
	};

	readonly #release = (reservation: Reservation): void => {
		if (this.#ledger.delete(reservation)) {
			this.#add(reservation, -reservation.bytes);
		}
	};

	#add(reservation: Reservation, growth: number): void {
		reservation.setBytes(reservation.bytes + growth);
		this.#total += growth;
		this.#bySource.set(reservation.source, this.usedBy(reservation.source) + growth);
		addTo(this.#byOwner, reservation.owner, growth);
		addTo(this.#byOwnerAndSource, `${reservation.source} ${reservation.owner}`, growth);
		if (growth < 0) {
			this.#onFreed(reservation.source, -growth);
		}
	}

	/** Bytes that have to be given up before a reservation can have some bytes. */
	#missing({source, owner, bytes: before}: Reservation, bytes: number): number {
		const growth = bytes - before;
		return Math.max(
			this.#total + growth - this.#limits.ceiling,
			this.usedBy(source) + growth - this.limitOf(source),
			this.#usedByOwner(source, owner) + growth - this.#ownerLimitOf(source),
		);
	}

	/** Whether a reservation can have some bytes if everything gives way that would. */
	#canGrow(reservation: Reservation, bytes: number): boolean {
		let missing = this.#missing(reservation, bytes);
		if (missing <= 0) {
			return true;
		}

		for (const candidate of this.#ledger) {
			if (this.#givesWay(candidate, reservation, bytes)) {
				missing -= candidate.bytes;
				if (missing <= 0) {
					return true;
				}
			}
		}

		return false;
	}

	#usedByOwner(source: MemorySource, owner: MemoryOwner): number {
		return this.#byOwnerAndSource.get(`${source} ${owner}`) ?? 0;
	}

	#ownerLimitOf(source: MemorySource): number {
		return this.limitOf(source) * (this.#limits.ownerShares?.[source] ?? 1);
	}

	/** What gives way to a reservation that needs some bytes; undefined if nothing does. */
	#findVictim(reservation: Reservation, bytes: number): Reservation | undefined {
		let victim: Reservation | undefined;
		for (const candidate of this.#ledger) {
			if (this.#givesWay(candidate, reservation, bytes) && (victim === undefined || this.#isBefore(candidate, victim))) {
				victim = candidate;
			}
		}

		return victim;
	}

	/** Whether a reservation gives way to another one that needs some bytes. */
	#givesWay(candidate: Reservation, reservation: Reservation, bytes: number): boolean {
		if (candidate === reservation || !candidate.canGiveUp || candidate.bytes === 0) {
			return false;
		}

		const growth = bytes - reservation.bytes;
		const isSourceFull = this.usedBy(reservation.source) + growth > this.limitOf(reservation.source);
		const isOwnerFull = this.#usedByOwner(reservation.source, reservation.owner) + growth > this.#ownerLimitOf(reservation.source);
		if ((isSourceFull || isOwnerFull) && candidate.source !== reservation.source) {
			return false;
		}

		if (isOwnerFull && candidate.owner !== reservation.owner) {
			return false;
		}

		return candidate.owner === reservation.owner
			? candidate.bytes > bytes
			: (this.#byOwner.get(candidate.owner) ?? 0) > (this.#byOwner.get(reservation.owner) ?? 0) + growth;
	}

	/** Whether one reservation gives way before another: by its owner's use, then by its own size. */
	#isBefore(one: Reservation, other: Reservation): boolean {
		const difference = (this.#byOwner.get(one.owner) ?? 0) - (this.#byOwner.get(other.owner) ?? 0);
		return difference === 0 ? one.bytes > other.bytes : difference > 0;
	}
}

/** Adds to an entry, which is removed at 0. */
function addTo<Key>(sums: Map<Key, number>, key: Key, growth: number): void {
	const sum = (sums.get(key) ?? 0) + growth;
	if (sum > 0) {
		sums.set(key, sum);
	} else {
		sums.delete(key);
	}
}

class Reservation implements MemoryReservation {
	readonly source: MemorySource;
	readonly owner: MemoryOwner;
	readonly giveUp: (() => void) | undefined;
	readonly #resize: (reservation: Reservation, bytes: number) => boolean;
	readonly #release: (reservation: Reservation) => void;
	#bytes = 0;
	#isPinned = false;

	constructor({source, owner, giveUp}: Omit<MemoryClaim, 'bytes'>, resize: (reservation: Reservation, bytes: number) => boolean, release: (reservation: Reservation) => void) {
		this.source = source;
		this.owner = owner;
		this.giveUp = giveUp;
		this.#resize = resize;
		this.#release = release;
	}

	get bytes(): number {
		return this.#bytes;
	}

	get canGiveUp(): boolean {
		return this.giveUp !== undefined && !this.#isPinned;
	}

	setBytes(bytes: number): void {
		this.#bytes = bytes;
	}

	resize(bytes: number): boolean {
		return this.#resize(this, bytes);
	}

	pin(): void {
		this.#isPinned = true;
	}

	release(): void {
		this.#release(this);
	}
}
