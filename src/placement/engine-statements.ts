/**
 * Applies what engines state about themselves, and what the loss of their connections tells, here and at the other instances.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {EngineStatement} from '../serving/model.js';
import type {EventLog} from '../telemetry/log.js';
import type {EngineEligibility} from './engine-eligibility.js';
import type {EnginePauses} from './engine-pauses.js';
import type {EngineSource} from './engine-source.js';
import type {PlacementListener} from './placement-listener.js';

/** HTTP status with which an engine turns a request away. */
const unavailableStatus = 503;

/** Status of a statement to peers that stands for a connection that failed without a complete response. */
const noResponseStatus = 0;

/** Options of an `EngineStatements`. */
export type EngineStatementsOptions = {
	engines: EngineSource;
	pauses: EnginePauses;
	eligibility: EngineEligibility;
	/** Called when an engine states that it is about to leave. */
	onLeaving: (engineId: string) => void;
	log: EventLog;
	listener: PlacementListener;
};

/** Statements of engines to one instance. */
export class EngineStatements {
	readonly #options: EngineStatementsOptions;

	constructor(options: EngineStatementsOptions) {
		this.#options = options;
	}

	/** Records what an engine states, to this instance or a peer. @returns whether it stays cold for longer than was known. */
	record(engineId: string, status: number, {isLeaving, retryAfter, coldRemaining}: Omit<EngineStatement, 'requestLimit'>): boolean {
		const {pauses, log, onLeaving, eligibility} = this.#options;
		const now = performance.now();
		if (status === noResponseStatus) {
			if (this.#mayHaveStarted(engineId)) {
				eligibility.recordReportedFailure(engineId, now);
			}

			return false;
		}

		if (isLeaving) {
			onLeaving(engineId);
		}

		if (status === unavailableStatus && retryAfter !== undefined && pauses.record(engineId, retryAfter, now)) {
			log.info('engine.pause', {engine: engineId, duration: Math.round(retryAfter)});
		}

		return eligibility.recordColdStatement(engineId, coldRemaining, now);
	}

	/** Records what an engine states in a response to this instance; all instances are told of a cold time that is longer than was known. */
	recordOwn(engineId: string, status: number, statement: EngineStatement): void {
		this.#options.eligibility.recordAnswer(engineId, performance.now());
		if (this.record(engineId, status, statement)) {
			this.#options.listener.availabilityRelayed(undefined, {
				engineId, status, isLeaving: false, retryAfter: undefined, coldRemaining: statement.coldRemaining,
			});
		}
	}

	/** Records that a connection to an engine was refused or lost: it may have crashed and started again. */
	recordConnectionLoss(engineId: string): void {
		if (this.#mayHaveStarted(engineId)) {
			this.#options.eligibility.recordFailure(engineId, performance.now());
		}
	}

	/** Tells all instances that an engine which has failed a connection may have started again; the path to it is not at fault. */
	reportConnectionLoss(engineId: string): void {
		const coldRemaining = this.#options.eligibility.takeFailureReport(engineId, performance.now());
		if (coldRemaining !== undefined) {
			this.#options.listener.availabilityRelayed(undefined, {
				engineId, status: noResponseStatus, isLeaving: false, retryAfter: undefined, coldRemaining,
			});
		}
	}

	/** Whether the engine has not said that it leaves. */
	#mayHaveStarted(engineId: string): boolean {
		return this.#options.engines.get(engineId)?.state !== 'draining';
	}
}
