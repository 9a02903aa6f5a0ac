/**
 * Engines whose connections have failed, so that they may have crashed and started again before their new row is known.
 *
 * @module
 */

/** Time in milliseconds after a failure within which an engine that has started again has written its row. */
export const rowArrivalTime = 2000;

/** Time in milliseconds after a failure in which answers may still be those of the process before, and in which a further failure is not told to peers again. */
export const failureSettlingTime = 500;

/** What an engine may have done; monotonic times in milliseconds. */
type Suspicion = {failedAt: number; toldAt: number; answeredAt: number | undefined};

/** What decides how long an engine is suspected. */
export type SuspicionTerms = {
	/** Time in milliseconds for which an engine is cold after its start. */
	duration: number;
	/** Monotonic time in milliseconds as of which the table of engines is known to hold all rows. */
	tableConfirmedAt: number;
};

/** Suspected starts of engines as one instance knows them; all times are monotonic, in milliseconds. */
export class SuspectedStarts {
	readonly #suspicions = new Map<string, Suspicion>();

	/** Records that a connection to an engine failed, here or at a peer. */
	record(id: string, now: number): void {
		this.#suspicions.set(id, {failedAt: now, toldAt: this.#suspicions.get(id)?.toldAt ?? Number.NEGATIVE_INFINITY, answeredAt: undefined});
	}

	/** Whether peers have to be told of a suspicion; they are not told again right after. */
	takeReport(id: string, now: number): boolean {
		const suspicion = this.#suspicions.get(id);
		if (!suspicion || now - suspicion.toldAt < failureSettlingTime) {
			return false;
		}

		suspicion.toldAt = now;
		return true;
	}

	/** Records that peers know of a suspicion. */
	recordReport(id: string, now: number): void {
		this.record(id, now);
		this.takeReport(id, now);
	}

	/** Records that a suspected engine has answered: it has started at the latest then, so that its cold time counts from the first answer. */
	recordAnswer(id: string, now: number): void {
		const suspicion = this.#suspicions.get(id);
		if (suspicion && suspicion.answeredAt === undefined && now - suspicion.failedAt >= failureSettlingTime) {
			suspicion.answeredAt = now;
		}
	}

	/** Ends a suspicion, as a row shows the start. */
	end(id: string): void {
		this.#suspicions.delete(id);
	}

	/** When the suspicion of an engine ends at the latest. It ends before where the table, read later than the row must have been written, shows no start. */
	until(id: string, {duration, tableConfirmedAt}: SuspicionTerms): number {
		const suspicion = this.#suspicions.get(id);
		if (!suspicion || tableConfirmedAt >= suspicion.failedAt + rowArrivalTime) {
			return Number.NEGATIVE_INFINITY;
		}

		return (suspicion.answeredAt ?? suspicion.failedAt) + duration;
	}
}
