/**
 * Measures how long one decision of the product takes.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {Router} from '../../src/routing/router.js';
import {modelName, workloadConfiguration} from './decider.js';
import {drawTrace, type TraceRequest} from './trace.js';
import type {Workload} from './workload.js';

/** Decisions before the measurement and within it. */
const warmupDecisions = 3000;
const measuredDecisions = 10_000;

/** Requests a second of the trace that is decided on. */
const rate = 500;

/** Mean time in microseconds of a decision with so many engines. */
export function decisionMicroseconds(workload: Workload, engines: number, seed: number): number {
	const router = new Router({instance: 'entry-0', failureDomain: 'a', seed});
	router.setConfiguration(workloadConfiguration(workload), 0);
	router.setUpstreams(Array.from({length: engines}, (_, index) => ({
		name: `engine-${index}`, kind: 'engine', labels: {}, failureDomain: 'a', state: 'live',
	})), 0);
	reportAll(router, engines, workload);
	const trace = drawTrace(workload, rate, seed).slice(0, warmupDecisions + measuredDecisions);
	let elapsed = 0;
	for (const [index, request] of trace.entries()) {
		const time = decideOnce(router, request, workload);
		elapsed += index < warmupDecisions ? 0 : time;
	}

	return Math.round((10_000 * elapsed) / Math.max(1, trace.length - warmupDecisions)) / 10;
}

function decideOnce(router: Router, request: TraceRequest, workload: Workload): number {
	const parameters = workload.class[request.requestClass]!;
	const facts = {
		requestId: request.id,
		customer: request.customer,
		requestClass: request.requestClass,
		model: modelName,
		service: undefined,
		promptBytes: request.promptBytes,
		messageBytes: request.messageBytes,
		prefixHashes: request.prefixHashes,
		maximumAnswerTokens: parameters.answer_limit,
		deadline: request.at + (parameters.deadline_s * 1000),
		excluded: [],
	};
	const start = performance.now();
	const decision = router.decide(facts, request.at);
	const elapsed = performance.now() - start;
	if (decision.kind === 'send') {
		router.observe({kind: 'first-token', requestId: request.id}, request.at + 100);
		router.observe({
			kind: 'ended', requestId: request.id, outcome: 'finished', usage: {promptTokens: request.promptTokens, cachedTokens: 0, answerTokens: request.answerTokens},
		}, request.at + 200);
	} else {
		router.withdraw(request.id);
	}

	return elapsed;
}

function reportAll(router: Router, engines: number, {engines: {blocks, block_tokens: blockTokens}}: Workload): void {
	for (let index = 0; index < engines; index++) {
		router.observe({
			kind: 'load',
			upstream: `engine-${index}`,
			report: {
				sequence: 1, incarnation: 'a', age: 0, running: 8, waiting: 0, pendingPromptTokens: 0,
				freeBlocks: blocks, totalBlocks: blocks, blockTokens, models: [modelName], role: 'mixed', leaving: false,
			},
		}, 0);
	}
}
