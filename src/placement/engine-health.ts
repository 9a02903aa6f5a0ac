/**
 * Which engines failed of late and how fast they are, by what requests met there and what peers tell.
 *
 * @module
 */

/** Time in milliseconds for which an engine is avoided after one failure. */
const initialCooldown = 1000;

/** Greatest time in milliseconds of an avoidance; three heartbeats of the platform's engines, after which a dead one is off the list. */
const maximumCooldown = 4000;

/** Factor between two avoidances in a row. */
const cooldownGrowthFactor = 2;

/** Time in milliseconds without a failure after which earlier ones are forgotten. */
const cooldownResetTime = 10_000;

/** Time in milliseconds for which a pace counts after it was seen. */
const slowdownLifetime = 3000;

/** Share of a new observation in the pace. */
const slowdownSmoothing = 0.5;

type HealthRecord = {
	cooldownUntil: number;
	cooldown: number;
	lastFailureAt: number;
	slowdown: number;
	slowdownObservedAt: number;
};

/** What is known of engines beyond their own entries. */
export class EngineHealth {
	readonly #records = new Map<string, HealthRecord>();

	/** A request failed at the engine. @returns the time in milliseconds for which it is avoided. */
	recordFailure(engineId: string, now: number): number {
		const record = this.#record(engineId);
		record.cooldown = now - record.lastFailureAt > cooldownResetTime ? initialCooldown : Math.min(maximumCooldown, record.cooldown * cooldownGrowthFactor);
		record.lastFailureAt = now;
		record.cooldownUntil = Math.max(record.cooldownUntil, now + record.cooldown);
		return record.cooldown;
	}

	/** A peer avoids the engine. */
	startCooldown(engineId: string, duration: number, now: number): void {
		const record = this.#record(engineId);
		record.lastFailureAt = now;
		record.cooldown = Math.max(record.cooldown, Math.min(maximumCooldown, duration));
		record.cooldownUntil = Math.max(record.cooldownUntil, now + Math.min(maximumCooldown, duration));
	}

	/** The engine took some factor of the published time. */
	recordSlowdown(engineId: string, factor: number, now: number): void {
		const record = this.#record(engineId);
		record.slowdown = now - record.slowdownObservedAt > slowdownLifetime ? factor : (record.slowdown * (1 - slowdownSmoothing)) + (factor * slowdownSmoothing);
		record.slowdownObservedAt = now;
	}

	isCoolingDown(engineId: string, now: number): boolean {
		return (this.#records.get(engineId)?.cooldownUntil ?? 0) > now;
	}

	/** Factor on the published times, at least 1. */
	slowdown(engineId: string, now: number): number {
		const record = this.#records.get(engineId);
		return record && now - record.slowdownObservedAt <= slowdownLifetime ? Math.max(1, record.slowdown) : 1;
	}

	reset(engineId: string): void {
		this.#records.delete(engineId);
	}

	#record(engineId: string): HealthRecord {
		let record = this.#records.get(engineId);
		if (!record) {
			record = {
				cooldownUntil: 0, cooldown: initialCooldown, lastFailureAt: Number.NEGATIVE_INFINITY, slowdown: 1, slowdownObservedAt: Number.NEGATIVE_INFINITY,
			};
			this.#records.set(engineId, record);
		}

		return record;
	}
}
