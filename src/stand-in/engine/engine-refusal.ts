/**
 * Refusals by a hosted engine; nothing ran.
 *
 * @module
 */

/** Why an engine refused. */
export type RefusalReason
	= | 'never-fits'
		| 'no-memory'
		| 'queue-full'
		| 'unknown-model'
		| 'unknown-stream'
		| 'unknown-offset'
		| 'cancelled-before'
		| 'stale-fencing-number'
		| 'damaged-cache';

/** The engine refused and did not run anything. */
export class EngineRefusal extends Error {
	readonly reason: RefusalReason;

	constructor(reason: RefusalReason, message: string) {
		super(message);
		this.name = 'EngineRefusal';
		this.reason = reason;
	}
}
