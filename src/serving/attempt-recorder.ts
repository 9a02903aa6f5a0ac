/**
 * Records what happens to a request at its engine.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {type ObservedPrompt, StreamObserver} from '../placement/engine-speed.js';
import type {PlacementCoordinator} from '../placement/placement-coordinator.js';
import type {EngineLinks} from '../relay/engine-links.js';
import type {EventLog} from '../telemetry/log.js';
import type {FailureEvidence} from '../upstream/engine-connector.js';
import type {EngineRecord, ResponseHeaderValues, Service} from './model.js';

/**
 * How a request failed at an engine: no connection was established, or it failed on a connection, which another instance
 * has relayed or not.
 */
export type EngineFailure = {kind: 'unreachable'; evidence: FailureEvidence} | {kind: 'broken'; wasRelayed: boolean};

/** Receives what happens to one request at one engine. */
export interface AttemptRecorder {
	/** Records what the headers of a response say about the engine. @param relay - IP address of the instance that relayed it; undefined for a direct connection. */
	recordStatement(status: number, headerValues: ResponseHeaderValues, relay: string | undefined): void;
	/** Records an event. @param gap - Time in milliseconds since the previous one. */
	recordEvent(gap: number): void;
	/** Records that the connection was refused, or ended by the engine's side before the answer was complete. */
	recordConnectionLoss(): void;
	/** Records that a request failed by a fault of the engine or of the path to it. */
	recordFailure(failure: EngineFailure): void;
	/** Records that the request was rejected by the engine, or by the one given, which it had asked to prefill. */
	recordRejection(faultyEngine: string | undefined): void;
	/** Records that a different engine answered at the engine's address. */
	recordMisdirection(): void;
}

/** Options of a `PlacedRequestRecorder`. */
export type PlacedRequestRecorderOptions = {
	requestId: string;
	placementKey: string;
	record: EngineRecord;
	service: Service;
	/** The prompt whose events tell the speed of its engine; undefined for requests without one. */
	prompt: ObservedPrompt | undefined;
	placementCoordinator: PlacementCoordinator;
	links: Pick<EngineLinks, 'findFault'>;
	/** Called when a different engine answers at an engine's address. */
	onMisdirected: (engineId: string) => void;
	log: EventLog;
};

/** Time in milliseconds in which the event loop of this process has been active; events that arrived meanwhile were handled late. */
function activeTime(): number {
	return performance.eventLoopUtilization().active;
}

/** Records one request that was placed at an engine. */
export class PlacedRequestRecorder implements AttemptRecorder {
	readonly #options: PlacedRequestRecorderOptions;
	readonly #observer: StreamObserver | undefined;
	#eventCount = 0;
	#hasLostConnection = false;

	/** Created when the request is sent. */
	constructor(options: PlacedRequestRecorderOptions) {
		this.#options = options;
		const {prompt, placementCoordinator, record} = options;
		this.#observer = prompt && new StreamObserver(prompt, {activity: placementCoordinator.activity(record.id), activeTime: activeTime()});
	}

	recordStatement(status: number, headerValues: ResponseHeaderValues, relay: string | undefined): void {
		const {placementCoordinator, record} = this.#options;
		placementCoordinator.recordStatement(record.id, status, headerValues, relay);
	}

	recordEvent(gap: number): void {
		const {placementCoordinator, record, placementKey} = this.#options;
		this.#eventCount += 1;
		placementCoordinator.recordAnswer(record.id);
		if (this.#eventCount === 1) {
			placementCoordinator.completePrefill(placementKey);
		}

		this.#observer?.record({gap, activity: placementCoordinator.activity(record.id), activeTime: activeTime()}, bounds => placementCoordinator.recordSpeed(record.id, bounds));
	}

	recordConnectionLoss(): void {
		this.#hasLostConnection = true;
		this.#options.placementCoordinator.recordConnectionLoss(this.#options.record.id);
	}

	recordFailure(failure: EngineFailure): void {
		const {placementCoordinator, record} = this.#options;
		if (failure.kind === 'broken' || failure.evidence === 'unchecked') {
			void this.#findFault(failure.kind === 'broken' && failure.wasRelayed);
			return;
		}

		const duration = placementCoordinator.recordFailure(record.id);
		if (failure.evidence === 'confirmed') {
			this.#reportFailure(duration);
		}
	}

	recordRejection(faultyEngine: string | undefined): void {
		const {placementCoordinator, record, service, log} = this.#options;
		if (faultyEngine === undefined) {
			placementCoordinator.recordRejection(record.id);
			return;
		}

		log.warn('engine.faulty', {engine: record.id, faulty: faultyEngine});
		placementCoordinator.recordFailureAt(service, faultyEngine);
	}

	recordMisdirection(): void {
		this.#options.onMisdirected(this.#options.record.id);
	}

	/** Tells the other instances of a failure of the engine. @param duration - Of the cooldown, in milliseconds. */
	#reportFailure(duration: number): void {
		const {placementCoordinator, record} = this.#options;
		placementCoordinator.reportFailure(record.id, duration);
		if (this.#hasLostConnection) {
			placementCoordinator.reportConnectionLoss(record.id);
		}
	}

	/** Lets the engine cool down at once, and finds out whether it is at fault: then the other instances are told, otherwise they are not. */
	async #findFault(wasRelayed: boolean): Promise<void> {
		const {placementCoordinator, links, record, requestId, log} = this.#options;
		const duration = placementCoordinator.recordFailure(record.id);
		const fault = await links.findFault(record, {requestId, wasRelayed});
		if (fault === 'engine') {
			this.#reportFailure(duration);
			return;
		}

		log.info('engine.blame-withheld', {request: requestId, engine: record.id, fault});
		if (fault === 'path') {
			placementCoordinator.withdrawFailure(record.id);
		}
	}
}
