/**
 * Asks engines whether they have turned cold while the platform's store cannot tell it.
 *
 * An engine writes in its row that it is cold. Where the newest confirmation of the table of engines is old, an instance asks some
 * of the engines that it sends requests to for their health, and tells the other instances of one that is cold. How many
 * requests are accompanied by such a check depends on what a cold engine tolerates, so that the checks of all instances
 * together find it within fewer requests, whichever instances send them and whether these hear each other.
 *
 * @module
 */
import type {EngineLinks} from '../relay/engine-links.js';
import type {EngineRecord, EngineStatement, Service} from '../serving/model.js';
import type {EventLog} from '../telemetry/log.js';
import type {EngineConnector} from '../upstream/engine-connector.js';
import {type ColdLimits, maximumColdRequests} from './cold-senders.js';

/**
 * Age in milliseconds of the newest confirmation up to which the table counts as current. The limit of cold engines has no excuse,
 * so that it does not grow with the time limits of the settings, as the gap between polls does: fleets whose polls end further
 * apart make checks on calm days as well.
 */
export const trustedAge = 1500;

/** Mean number of checks among as many requests as a cold engine tolerates. That there is none among them has a probability of 0.1%. */
const checksPerLimit = 7;

/** Time in milliseconds for which another instance relays a check at most. */
const checkLifetime = 1000;

/** How an engine answered a health check. */
export type HealthAnswer = {status: number; statement: EngineStatement};

/** Asks engines for their health. */
export interface HealthCheckClient {
	/**
	 * @param engine - `connector` connects to its address.
	 * @param path - Path of health checks.
	 * @returns undefined where the engine gave no complete answer in time, or another one answered at its address.
	 */
	ask(engine: Pick<EngineRecord, 'id' | 'address'> & {connector: EngineConnector}, path: string): Promise<HealthAnswer | undefined>;
}

/** Options of a `ColdChecks`. */
export type ColdChecksOptions = {
	client: HealthCheckClient;
	limits: ColdLimits;
	engine: (id: string) => EngineRecord | undefined;
	service: (name: string) => Service | undefined;
	links: Pick<EngineLinks, 'connectorTo'>;
	/** Time in milliseconds since the store confirmed the table of engines to a watcher that still reaches it; infinite if there is none. */
	tableAge: () => number;
	/** Called with each answer, for the cold time that the engine states. */
	onAnswer: (engineId: string, status: number, statement: EngineStatement) => void;
	log: EventLog;
	/** @default Math.random */
	random?: () => number;
};

/** Checks of one instance, one of each engine at a time. */
export class ColdChecks {
	readonly #options: ColdChecksOptions;
	readonly #random: () => number;
	readonly #pending = new Set<string>();

	constructor(options: ColdChecksOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
	}

	/** Checks an engine that counts as warm beside a request that it is to get, if its row may be out of date and the draw says so. */
	checkBesideRequest(engineId: string): void {
		const {engine, service, limits, tableAge} = this.#options;
		const record = engine(engineId);
		const known = record && service(record.service);
		if (record === undefined || !known?.coldStart || known.healthPath === undefined || this.#pending.has(engineId) || tableAge() <= trustedAge) {
			return;
		}

		if (this.#random() * maximumColdRequests(known.coldStart, limits) < checksPerLimit) {
			void this.#check(record, known.healthPath);
		}
	}

	async #check(record: EngineRecord, path: string): Promise<void> {
		const {client, links, onAnswer, log} = this.#options;
		const {id, address} = record;
		this.#pending.add(id);
		const answer = await client.ask({id, address, connector: links.connectorTo(record, {requestId: 'health-check', lifetime: checkLifetime})}, path);
		this.#pending.delete(id);
		if (answer?.statement.coldRemaining !== undefined && answer.statement.coldRemaining > 0) {
			log.info('engine.checked', {engine: id, status: answer.status, remaining: answer.statement.coldRemaining});
			onAnswer(id, answer.status, answer.statement);
		}
	}
}
