/**
 * Fingerprints of requests that are kept from engines.
 *
 * All instances hold the same list: of two entries for a fingerprint the one with the higher revision holds, so that
 * reports may be lost, repeated and overtake each other.
 *
 * @module
 */

/** State of one fingerprint, as instances tell it each other. */
export type QuarantineEntry = {
	fingerprint: string;
	/** Rises with each change; odd while the fingerprint is quarantined, even once it was lifted. */
	revision: number;
	/** Requests that were let through to test whether the fingerprint still crashes engines. */
	probeCount: number;
};

/** What a report has changed. */
export type QuarantineChange = 'added' | 'lifted' | 'none';

/** Time in milliseconds before the first probe, the factor from one probe to the next, and the longest time in milliseconds between two. */
const initialProbeInterval = 30_000;
const probeIntervalGrowth = 4;
const maximumProbeInterval = 3_600_000;

/** Most entries; each took several crashes of engines. */
export const maximumEntries = 256;

type ScheduledEntry = QuarantineEntry & {
	/** Monotonic times in milliseconds. */
	changedAt: number;
	nextProbeAt: number;
};

/** The list as one instance knows it; all times are monotonic, in milliseconds. */
export class QuarantineList {
	readonly #entries = new Map<string, ScheduledEntry>();

	/** All entries, lifted ones included, the latest change last. */
	get entries(): readonly QuarantineEntry[] {
		return [...this.#entries.values()];
	}

	/** Quarantined fingerprints. */
	get quarantined(): string[] {
		return [...this.#entries.values()].filter(entry => isActive(entry)).map(({fingerprint}) => fingerprint);
	}

	has(fingerprint: string): boolean {
		const entry = this.#entries.get(fingerprint);
		return entry !== undefined && isActive(entry);
	}

	/** Time at which the entry last changed; undefined if there is none. */
	changedAt(fingerprint: string): number | undefined {
		return this.#entries.get(fingerprint)?.changedAt;
	}

	/** Time until a request with the fingerprint may be let through as a probe. */
	timeUntilProbe(fingerprint: string, now: number): number {
		return Math.max(0, (this.#entries.get(fingerprint)?.nextProbeAt ?? now) - now);
	}

	/** Quarantines a fingerprint. @returns the new entry; undefined if it is quarantined already or the list is full. */
	add(fingerprint: string, now: number): QuarantineEntry | undefined {
		const revision = this.#entries.get(fingerprint)?.revision ?? 0;
		return revision % 2 === 1 || !this.#hasRoom(fingerprint) ? undefined : this.#set({fingerprint, revision: revision + 1, probeCount: 0}, now);
	}

	/** Lifts a quarantine. @returns the new entry; undefined if the fingerprint is not quarantined. */
	lift(fingerprint: string, now: number): QuarantineEntry | undefined {
		const entry = this.#entries.get(fingerprint);
		return entry && isActive(entry) ? this.#set({fingerprint, revision: entry.revision + 1, probeCount: entry.probeCount}, now) : undefined;
	}

	/** Counts a probe, which delays the next one. @returns the new entry; undefined if the fingerprint is not quarantined. */
	recordProbe(fingerprint: string, now: number): QuarantineEntry | undefined {
		const entry = this.#entries.get(fingerprint);
		return entry && isActive(entry) ? this.#set({fingerprint, revision: entry.revision, probeCount: entry.probeCount + 1}, now) : undefined;
	}

	/** Takes over another instance's entry if it is newer. */
	merge({fingerprint, revision, probeCount}: QuarantineEntry, now: number): QuarantineChange {
		const known = this.#entries.get(fingerprint);
		if (revision < (known?.revision ?? 1) || (revision === known?.revision && probeCount <= known.probeCount) || !this.#hasRoom(fingerprint)) {
			return 'none';
		}

		const wasActive = known !== undefined && isActive(known);
		const isNowActive = isActive(this.#set({fingerprint, revision, probeCount}, now));
		return wasActive === isNowActive ? 'none' : (isNowActive ? 'added' : 'lifted');
	}

	#set(entry: QuarantineEntry, now: number): QuarantineEntry {
		const interval = Math.min(maximumProbeInterval, initialProbeInterval * (probeIntervalGrowth ** entry.probeCount));
		this.#entries.delete(entry.fingerprint);
		this.#entries.set(entry.fingerprint, {...entry, changedAt: now, nextProbeAt: now + interval});
		return entry;
	}

	/** Whether an entry can be stored; lifted ones make room. */
	#hasRoom(fingerprint: string): boolean {
		if (this.#entries.has(fingerprint) || this.#entries.size < maximumEntries) {
			return true;
		}

		const lifted = [...this.#entries.values()].find(entry => !isActive(entry));
		return lifted !== undefined && this.#entries.delete(lifted.fingerprint);
	}
}

function isActive({revision}: QuarantineEntry): boolean {
	return revision % 2 === 1;
}
