/**
 * Which engines failed of late and how fast they are, by what requests met there and what peers tell.
 *
 * @module
 */

/** Time in milliseconds for which an engine is avoided after one failure. */
const firstAvoidance = 1000;

/** Greatest time in milliseconds of an avoidance; three heartbeats of the platform's engines, after which a dead one is off the list. */
const longestAvoidance = 4000;

/** Factor between two avoidances in a row. */
const growth = 2;

/** Time in milliseconds without a failure after which earlier ones are forgotten. */
const memory = 10_000;

/** Time in milliseconds for which a pace counts after it was seen. */
const paceLifetime = 3000;

/** Share of a new observation in the pace. */
const paceWeight = 0.5;

type Record = {
	avoidUntil: number;
	avoidance: number;
	failedAt: number;
	pace: number;
	pacedAt: number;
};

/** What is known of engines beyond their own entries. */
export class EngineReputation {
	readonly #records = new Map<string, Record>();

	/** A request failed at the engine. @returns the time in milliseconds for which it is avoided. */
	failed(engineId: string, now: number): number {
		const record = this.#record(engineId);
		record.avoidance = now - record.failedAt > memory ? firstAvoidance : Math.min(longestAvoidance, record.avoidance * growth);
		record.failedAt = now;
		record.avoidUntil = Math.max(record.avoidUntil, now + record.avoidance);
		return record.avoidance;
	}

	/** A peer avoids the engine. */
	avoid(engineId: string, duration: number, now: number): void {
		const record = this.#record(engineId);
		record.failedAt = now;
		record.avoidance = Math.max(record.avoidance, Math.min(longestAvoidance, duration));
		record.avoidUntil = Math.max(record.avoidUntil, now + Math.min(longestAvoidance, duration));
	}

	/** The engine took some factor of the published time. */
	observePace(engineId: string, factor: number, now: number): void {
		const record = this.#record(engineId);
		record.pace = now - record.pacedAt > paceLifetime ? factor : (record.pace * (1 - paceWeight)) + (factor * paceWeight);
		record.pacedAt = now;
	}

	isAvoided(engineId: string, now: number): boolean {
		return (this.#records.get(engineId)?.avoidUntil ?? 0) > now;
	}

	/** Factor on the published times, at least 1. */
	pace(engineId: string, now: number): number {
		const record = this.#records.get(engineId);
		return record && now - record.pacedAt <= paceLifetime ? Math.max(1, record.pace) : 1;
	}

	forget(engineId: string): void {
		this.#records.delete(engineId);
	}

	#record(engineId: string): Record {
		let record = this.#records.get(engineId);
		if (!record) {
			record = {
				avoidUntil: 0, avoidance: firstAvoidance, failedAt: Number.NEGATIVE_INFINITY, pace: 1, pacedAt: Number.NEGATIVE_INFINITY,
			};
			this.#records.set(engineId, record);
		}

		return record;
	}
}
