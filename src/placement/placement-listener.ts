/**
 * What a placement coordinator reports to the other instances.
 *
 * @module
 */
import type {EngineStatement} from '../serving/model.js';
import type {Placement} from './load-tracker.js';

/** What an engine has stated about itself in a response with a status, for other instances. */
export type RelayedStatement = Pick<EngineStatement, 'isLeaving' | 'retryAfter' | 'coldRemaining'> & {engineId: string; status: number};

/** Receives this instance's placements and observations, to report them to the instances with the given IP addresses. */
export interface PlacementListener {
	placed(placement: Placement, subscribers: readonly string[]): void;
	/** Told to those that were told of the placement, as is its end. */
	prefillCompleted(key: string): void;
	ended(key: string): void;
	/** An engine failed or rejected a request and cools down for some milliseconds. */
	cooldownStarted(engineId: string, duration: number, subscribers: readonly string[]): void;
	/** An engine has stated a limit in requests a second, or lifted it. */
	limitStated(engineId: string, limit: number | undefined, subscribers: readonly string[]): void;
	/**
	 * An engine has stated in a response that another instance relayed that it leaves or wants a pause, or, in any response, that
	 * it stays cold for longer than was known.
	 *
	 * @param relay - Undefined where the statement concerns all instances.
	 */
	availabilityRelayed(relay: string | undefined, statement: RelayedStatement): void;
	/** An engine's slowdown changed, the factor on its published times. */
	slowdownChanged(engineId: string, slowdown: number, subscribers: readonly string[]): void;
}
