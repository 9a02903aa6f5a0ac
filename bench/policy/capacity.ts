/**
 * Measures how many requests a second a fleet completes while all its engines are busy.
 *
 * @module
 */
import {planDivision} from '../../src/routing/division.js';
import {divide} from './divided-request.js';
import {EventQueue} from './event-queue.js';
import {SimulatedEngine} from './simulated-engine.js';
import {drawTrace, type TraceRequest} from './trace.js';
import {engineParameters, type EngineKind, type Workload} from './workload.js';

/** Streams kept at each engine, so that batches are well filled and none waits for a batch. */
const streamsPerEngine = 32;

/** Requests drawn to measure with. */
const sampleSize = 4000;

/** Engines that stand for the fleet. */
const sampleEngines = 8;

/** Requests a second that the workload's fleet completes at most. */
export function measureCapacity(workload: Workload, kind: EngineKind, seed: number): number {
	const events = new EventQueue();
	const parameters = engineParameters(workload, kind);
	const engines = Array.from({length: sampleEngines}, (_, index) => (
		new SimulatedEngine(events, {name: `engine-${index}`, failureDomain: '', parameters})));
	const whole = drawTrace(workload, sampleSize / workload.workload.duration_s, seed + 1);
	const backlog = whole.flatMap(request => parts(request, parameters.blocks * parameters.blockTokens));
	let next = 0;
	const feed = () => {
		while (next < backlog.length) {
			const engine = engines
				.filter(({streams}) => streams.size < streamsPerEngine)
				.toSorted((left, right) => left.model.expectedWait() - right.model.expectedWait())[0];
			if (!engine) {
				return;
			}

			submit(engine, backlog[next++]!, workload, feed);
		}
	};

	feed();
	events.run(Number.POSITIVE_INFINITY, () => false);
	// The time in which an engine has nothing left to do is no part of its capacity.
	const busyTime = engines.reduce((sum, engine) => sum + engine.busyTime, 0);
	return (whole.length / (busyTime / 1000)) * workload.engines.count;
}

function submit(engine: SimulatedEngine, request: TraceRequest, workload: Workload, onEnd: () => void): void {
	engine.submit({
		streamId: request.id,
		requestId: request.id,
		attempt: 0,
		owner: '',
		promptTokens: request.promptTokens,
		answerTokens: request.answerTokens,
		priority: workload.class[request.requestClass]!.priority,
		prefixHashes: request.prefixHashes,
		tokensPerPrefixHash: request.tokensPerHash,
	}, {
		token: undefined,
		ended: onEnd,
		broken: undefined,
	});
}

/** A request, or the requests that it is divided into. */
function parts(request: TraceRequest, capacity: number): TraceRequest[] {
	if (request.promptTokens + request.answerTokens <= capacity) {
		return [request];
	}

	const perByte = request.promptTokens / request.promptBytes;
	const plan = planDivision({
		messageTokens: request.messageBytes.map(bytes => Math.ceil(bytes * perByte)), capacity, answerTokens: request.answerTokens,
	});
	if (!plan) {
		return [];
	}

	const divided = divide(request, plan);
	return [...divided.parts, divided.combine];
}
