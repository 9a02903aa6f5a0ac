/**
 * Recent failures of engines, as this instance's requests observe them and peers report them.
 *
 * @module
 */

import type {EventLog} from '../telemetry/log.js';

/** Cooldown in milliseconds after one failure. */
const initialCooldown = 1000;

/** Longest cooldown in milliseconds: three heartbeats of the platform's engines, after which a dead engine is off the list. */
const maximumCooldown = 4000;

/** Factor between two cooldowns in a row. */
const cooldownGrowthFactor = 2;

/** Time in milliseconds without a failure after which the cooldown starts again at its initial value. */
const cooldownResetTime = 10_000;

/** Whether a cooldown in milliseconds is as long as a failure's; that after a rejection is shorter. */
export function isFailureCooldown(duration: number): boolean {
	return duration >= initialCooldown;
}

/** Writes that an engine begins to cool down after a failure, this instance's own or one that a peer reports; rejections are too many. Times are in milliseconds. */
export function logCooldown(log: EventLog, {engineId, duration, origin, timeSinceAnswer}: {
	engineId: string; duration: number; origin: string; timeSinceAnswer: number;
}): void {
	if (isFailureCooldown(duration)) {
		log.info('engine.cooldown', {
			engine: engineId, origin, duration: Math.round(duration), since_answer: Number.isFinite(timeSinceAnswer) ? Math.round(timeSinceAnswer) : undefined,
		});
	}
}

type HealthRecord = {
	cooldownUntil: number;
	cooldown: number;
	lastFailureAt: number;
	lastAnswerAt: number;
};

/** Cooldowns of engines, which their own entries do not state. */
export class EngineHealth {
	readonly #records = new Map<string, HealthRecord>();

	/** Records that a request failed at the engine. @returns the cooldown in milliseconds. */
	recordFailure(engineId: string, now: number): number {
		const record = this.#record(engineId);
		record.cooldown = now - record.lastFailureAt > cooldownResetTime ? initialCooldown : Math.min(maximumCooldown, record.cooldown * cooldownGrowthFactor);
		record.lastFailureAt = now;
		record.cooldownUntil = Math.max(record.cooldownUntil, now + record.cooldown);
		return record.cooldown;
	}

	/** Starts a cooldown in milliseconds that a peer reports or a rejection asks for. One as long as a failure's counts as a failure, a rejection's does not. */
	startCooldown(engineId: string, duration: number, now: number): void {
		const record = this.#record(engineId);
		if (isFailureCooldown(duration)) {
			record.lastFailureAt = now;
			record.cooldown = Math.max(record.cooldown, Math.min(maximumCooldown, duration));
		}

		record.cooldownUntil = Math.max(record.cooldownUntil, now + Math.min(maximumCooldown, duration));
	}

	/** Ends a cooldown after a failure that was not the engine's. */
	endCooldown(engineId: string): void {
		const record = this.#record(engineId);
		record.cooldownUntil = 0;
		record.lastFailureAt = Number.NEGATIVE_INFINITY;
	}

	/** Records that the engine has sent this instance a response or an event. */
	recordAnswer(engineId: string, now: number): void {
		this.#record(engineId).lastAnswerAt = now;
	}

	/** Time in milliseconds since the engine's last answer to this instance; infinite if there was none. */
	timeSinceAnswer(engineId: string, now: number): number {
		return now - (this.#records.get(engineId)?.lastAnswerAt ?? Number.NEGATIVE_INFINITY);
	}

	isCoolingDown(engineId: string, now: number): boolean {
		return (this.#records.get(engineId)?.cooldownUntil ?? 0) > now;
	}

	reset(engineId: string): void {
		this.#records.delete(engineId);
	}

	#record(engineId: string): HealthRecord {
		let record = this.#records.get(engineId);
		if (!record) {
			record = {
				cooldownUntil: 0,
				cooldown: initialCooldown,
				lastFailureAt: Number.NEGATIVE_INFINITY,
				lastAnswerAt: Number.NEGATIVE_INFINITY,
			};
			this.#records.set(engineId, record);
		}

		return record;
	}
}
