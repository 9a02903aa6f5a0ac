/**
 * Counts the attempts of one request and the engines that it may not be sent to again.
 *
 * @module
 */
import {match} from 'ts-pattern';
import type {RequestLifecycle} from '../request/request-lifecycle.js';
import type {AttemptOutcome} from './engine-attempt.js';
import type {ChosenEngine} from './engine-chooser.js';
import type {EngineFailure} from './attempt-recorder.js';
import type {InFlightAttempt} from './hedged-attempts.js';

/** Attempts of one request that have ended. */
export class AttemptTally {
	readonly #lifecycle: RequestLifecycle;
	readonly #excludedEngines = new Set<string>();
	#sent = 0;
	#unsent = 0;

	constructor(lifecycle: RequestLifecycle) {
		this.#lifecycle = lifecycle;
	}

	/** Attempts that reached an engine. */
	get sent(): number {
		return this.#sent;
	}

	/** Attempts that reached no engine of this request's service. */
	get unsent(): number {
		return this.#unsent;
	}

	/** Ids of engines that further attempts leave out. */
	get excludedEngines(): ReadonlySet<string> {
		return this.#excludedEngines;
	}

	/** Counts an attempt that was aborted because another engine went on with the answer. */
	recordSuperseded(): void {
		this.#sent += 1;
	}

	/** Counts an attempt that has ended, excludes its engine and reports the engine's failure. */
	record(inFlight: InFlightAttempt, outcome: AttemptOutcome): void {
		const {engine, isHedged} = inFlight;
		match(outcome)
			.with({kind: 'complete'}, () => {
				this.#sent += 1;
			})
			.with({kind: 'unreachable'}, ({evidence, isRefused}) => {
				this.#lifecycle.markAttemptNotRun();
				this.#unsent += 1;
				this.#recordConnectionLoss(engine, isRefused);
				this.#excludeFailedEngine(engine, {kind: 'unreachable', evidence});
			})
			.with({kind: 'misdirected'}, () => {
				this.#lifecycle.markAttemptNotRun();
				this.#unsent += 1;
				this.#excludedEngines.add(engine.record.id);
				engine.recorder.recordMisdirection();
			})
			.with({kind: 'rejected'}, ({faultyEngine}) => {
				this.#lifecycle.markAttemptNotRun();
				this.#sent += 1;
				this.#excludedEngines.add(engine.record.id);
				engine.recorder.recordRejection(faultyEngine);
			})
			.with({kind: 'failure'}, () => {
				this.#sent += 1;
				this.#excludedEngines.add(engine.record.id);
			})
			.with({kind: 'broken'}, ({isConnectionLost}) => {
				this.#sent += 1;
				this.#recordConnectionLoss(engine, isConnectionLost);
				if (!isHedged) {
					this.excludeBroken(inFlight);
				}
			})
			.exhaustive();
	}

	/** Excludes the engine of an attempt that has broken off or is idle. */
	excludeBroken({engine, attempt}: InFlightAttempt): void {
		this.#excludeFailedEngine(engine, {kind: 'broken', wasRelayed: attempt.relay !== undefined});
	}

	/** Called before the failure is recorded, which tells the other instances. */
	#recordConnectionLoss(engine: ChosenEngine, isLost: boolean): void {
		if (isLost) {
			engine.recorder.recordConnectionLoss();
		}
	}

	#excludeFailedEngine(engine: ChosenEngine, failure: EngineFailure): void {
		this.#excludedEngines.add(engine.record.id);
		engine.recorder.recordFailure(failure);
	}
}
