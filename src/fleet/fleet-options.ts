/**
 * What the fleet task works with.
 *
 * @module
 */
import type {EventLog} from '../telemetry/log.js';
import type {ConfigurationSource} from './configuration-spread.js';
import type {LoadDigest} from './load-digest.js';
import type {MemberClaim} from './messages.js';

/** Members that each instance dials, where nothing else is set. */
export const defaultFanOut = 2;

/** Hears what the fleet learns. */
export interface FleetListener {
	/** Called when the set of live members has changed. */
	membersChanged(live: readonly MemberClaim[]): void;
	/** Called with each newer load that came from another instance. */
	loadLearned(load: LoadDigest): void;
	/** Called when another instance has read a newer revision of the instance list. */
	listChanged(): void;
}

export type FleetOptions = {
	name: string;
	failureDomain: string;
	region: string;
	/** IP number and port on which other instances connect; port 0 takes a free one. */
	host: string;
	port: number;
	/** Shared keys: the first signs, all are accepted. */
	keys: readonly string[];
	log: EventLog;
	listener: FleetListener;
	configuration: ConfigurationSource;
	/**
	 * Members that each instance dials.
	 * @default 2
	 */
	fanOut?: number;
	/**
	 * Time in milliseconds from a suspicion to a declared death.
	 * @default 4000
	 */
	suspicion?: number;
};
