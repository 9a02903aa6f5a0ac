/**
 * Pauses that engines ask this instance for when they reject its requests.
 *
 * @module
 */

/** Pauses by engine; all times are monotonic, in milliseconds. */
export class EnginePauses {
	readonly #endsAt = new Map<string, number>();

	/** Records that an engine asks for nothing for some milliseconds. @returns whether its pause ends later than before. */
	record(engineId: string, duration: number, now: number): boolean {
		const endsAt = now + duration;
		if (endsAt <= (this.#endsAt.get(engineId) ?? now)) {
			return false;
		}

		this.#endsAt.set(engineId, endsAt);
		return true;
	}

	/** Time in milliseconds until the pause ends; 0 if there is none. */
	timeLeft(engineId: string, now: number): number {
		const endsAt = this.#endsAt.get(engineId);
		if (endsAt === undefined) {
			return 0;
		}

		if (endsAt <= now) {
			this.#endsAt.delete(engineId);
			return 0;
		}

		return endsAt - now;
	}

	/** Number of engines in a pause. */
	count(now: number): number {
		return [...this.#endsAt.keys()].filter(engineId => this.timeLeft(engineId, now) > 0).length;
	}

	/** Forgets an engine that has started again. */
	reset(engineId: string): void {
		this.#endsAt.delete(engineId);
	}
}
