/**
 * Turns placements into engines that a request can be sent to, with the memory that they set aside for it.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {ErrorCode} from '../errors/catalogue.js';
import type {PlacementCoordinator} from '../placement/placement-coordinator.js';
import {streamIdleTimeout, type PromptDecision, type PromptProgress} from '../placement/prompt-placement.js';
import {estimateIterationTime} from '../placement/time-estimates.js';
import {Reservations, type ReservationsOptions} from '../placement/reservations.js';
import {delay} from '../request/time-limit.js';
import type {EventLog} from '../telemetry/log.js';
import type {
	EngineProfile, EngineRecord, RequestHeaderValues, Route, Service,
} from './model.js';

/** What is known of a request when an engine is chosen for it. */
export type EngineChoiceInput = {
	requestId: string;
	service: Service;
	route: Route;
	headerValues: RequestHeaderValues;
	/** Time in milliseconds that is left. */
	remaining: number;
	excluded: ReadonlySet<string>;
	/** Number of this attempt, from 1. */
	attempt: number;
	/** Whether the caller has a part of the answer, and no engine goes on with it. */
	isStreamInterrupted: boolean;
	/** Aborts when the request is over. */
	signal: AbortSignal;
};

/** An engine that was chosen, and what it is told of the request's fate there. */
export type ChosenEngine = {
	record: EngineRecord;
	/** Rank at the engine; undefined leaves it to the engine. */
	priority: number | undefined;
	/** Engines that read parts of the prompt, as addresses with reservations. */
	prefillHelpers: readonly string[];
	/** Times in milliseconds after which a repeatable request is taken to be lost. */
	firstEventTimeout: number;
	/** The same between two events; what the engine is known to read meanwhile counts. */
	eventGapTimeout: () => number;
	recordEvent(gap: number): void;
	/** The engine failed by its own fault. */
	recordFailure(): void;
	/** The engine, or one that it asked, did not take the request. */
	recordRejection(faultyEngine: string | undefined): void;
	/** Another engine is at its address. */
	recordMisdirection(): void;
	/** The request is over at this engine. */
	release(): void;
};

export type EngineChoiceResult = {kind: 'chosen'; engine: ChosenEngine} | {
	kind: 'refused';
	code: ErrorCode;
	reason: string;
	/** Time in milliseconds after which asking again makes sense. */
	retryAfter: number;
	/** Whether an engine may take the request a moment later, still in time. */
	isTransient: boolean;
};

/** What the chooser works with. */
export type EngineChooserOptions = {
	placementCoordinator: PlacementCoordinator;
	log: EventLog;
	reservations: ReservationsOptions;
	/** An engine is gone from its address. */
	onMisdirected: (engineId: string) => void;
};

/** Placements that may fall through, for want of memory or because an engine leaves, before a prompt is refused. */
const maximumPlacementAttempts = 4;

/** Retry-After in milliseconds where no engine is known; entries of engines come every second or so. */
const noEngineRetryAfter = 500;

/** Least time in milliseconds before a stream without any event is taken to be lost. */
const minimumFirstEventTimeout = 700;

/** Factor on the expected time to the first event after which it is taken to be lost. */
const firstEventTimeoutFactor = 2.5;

/** Factor on the longest timely pause after which a stream is taken to be lost, and the least such time in milliseconds. */
const eventGapTimeoutFactor = 2;
const minimumEventGapTimeout = 1000;

/** Share of the target after which a request without a prompt is taken to be lost. */
const serviceRequestTimeoutShare = 0.75;

/** Ranks at the engines: short prompts go before long ones. */
const shortPromptPriority = 2;
const longPromptPriority = 4;

/** Prompt tokens up to which a prompt counts as short for its rank. */
const maximumShortPromptTokens = 25_000;

/** Numbers of the errors with which prompts are refused. */
const refusalCodes: Readonly<Record<Extract<PromptDecision, {kind: 'refuse'}>['reason'], ErrorCode>> = {
	'no-engine': '3005', 'too-late': '3004', overloaded: '3002', 'does-not-fit': '3002',
};

/** Share of a route's time below which a caller's deadline tells that it was turned away before. */
const retriedTimeoutShare = 0.95;

/** Weight of a request without a prompt. */
const serviceRequestWeight = 1;

/** Chooses engines for requests. */
export class EngineChooser {
	readonly #options: EngineChooserOptions;

	constructor(options: EngineChooserOptions) {
		this.#options = options;
	}

	async choose(terms: EngineChoiceInput): Promise<EngineChoiceResult> {
		const cost = terms.service.engineProfile;
		if (cost === undefined || terms.headerValues.promptTokens === undefined) {
			return this.#chooseForServiceRequest(terms);
		}

		return this.#chooseForPrompt(terms, cost, terms.headerValues.promptTokens);
	}

	#chooseForServiceRequest({requestId, service, route, excluded, remaining, attempt}: EngineChoiceInput): EngineChoiceResult {
		const {placementCoordinator: desk, log} = this.#options;
		const chosen = desk.decideServicePlacement(service, excluded);
		if (!chosen) {
			log.warn('placement.refused', {
				request: requestId, service: service.name, reason: 'no-engine', excluded: excluded.size,
			});
			return {
				kind: 'refused', code: '3005', reason: `no engine of service "${service.name}" is ready`, retryAfter: noEngineRetryAfter, isTransient: true,
			};
		}

		const {record, running, candidates} = chosen;
		log.info('placement.decided', {
			request: requestId, service: service.name, engine: record.id, running, candidates, attempt, remaining: Math.round(remaining),
		});
		const key = desk.recordPlacement([{
			engineId: record.id, prefillTime: 0, kvCacheTokens: 0, runsDecode: true,
		}], {eventGapTarget: Number.POSITIVE_INFINITY, weight: serviceRequestWeight, remaining});
		return {
			kind: 'chosen',
			engine: {
				...this.#createRecorders(key, record, 0, service),
				record,
				priority: undefined,
				prefillHelpers: [],
				firstEventTimeout: route.kind === 'stream' ? Number.POSITIVE_INFINITY : Math.max(1, route.latencyTarget * serviceRequestTimeoutShare),
				eventGapTimeout: () => Number.POSITIVE_INFINITY,
				release() {
					desk.endPlacement(key);
				},
			},
		};
	}

	async #chooseForPrompt(terms: EngineChoiceInput, cost: EngineProfile, promptTokens: number): Promise<EngineChoiceResult> {
		const {route, headerValues: facts, service, remaining, requestId} = terms;
		const {placementCoordinator: desk, log} = this.#options;
		const excluded = new Set(terms.excluded);
		const arrivedAt = performance.now();
		const promptTerms = {
			promptTokens,
			answerTokens: Math.min(facts.maximumAnswerTokens > 0 ? facts.maximumAnswerTokens : Number.POSITIVE_INFINITY, facts.answerTokensHint ?? cost.meanTokens.answer),
			latencyTarget: route.latencyTarget,
			eventGapTarget: route.eventGapTarget ?? Number.POSITIVE_INFINITY,
			progress: progressOf(terms),
			get remaining() {
				return remaining - (performance.now() - arrivedAt);
			},
		};
		for (let tries = 0; tries < maximumPlacementAttempts; tries++) {
			const decision = desk.decidePromptPlacement(service, cost, promptTerms, excluded);
			this.#logDecision(terms, promptTokens, decision);
			if (decision.kind === 'refuse') {
				return {
					kind: 'refused', code: refusalCodes[decision.reason], reason: decision.reason, retryAfter: decision.retryAfter, isTransient: decision.reason !== 'too-late',
				};
			}

			const key = desk.recordPlacement(assignmentsOf(decision), {
				eventGapTarget: promptTerms.eventGapTarget, weight: decision.weight, remaining: promptTerms.remaining, holdTime: decision.holdTime,
			});
			const reservations = new Reservations(requestId, this.#options.reservations);
			const wanted = decision.prefillHelpers.filter(({reservedTokens}) => reservedTokens > 0).map(({record, reservedTokens}) => ({engine: record, tokens: reservedTokens}));
			const held = wanted.length === 0 ? {ids: new Map<string, string>()} : await reservations.reserve(wanted); // eslint-disable-line no-await-in-loop
			if ('failedEngine' in held) {
				desk.endPlacement(key);
				excluded.add(held.failedEngine.id);
				continue;
			}

			await delay(decision.holdTime, terms.signal); // eslint-disable-line no-await-in-loop
			const left = [decision.primary, ...decision.prefillHelpers.map(({record}) => record)].find(({id}) => !desk.isReady(service, id));
			if (left) {
				log.info('placement.withdrawn', {
					request: requestId, engine: left.id, reason: 'left while the request was held', held: Math.round(decision.holdTime),
				});
				reservations.release();
				desk.endPlacement(key);
				continue;
			}

			return {
				kind: 'chosen', engine: this.#buildChosenEngine({
					terms, cost, promptTokens, decision, key, reservations, ids: held.ids,
				}),
			};
		}

		log.warn('placement.refused', {request: requestId, service: service.name, reason: 'no-placement-held'});
		return {
			kind: 'refused', code: '3004', reason: 'no engine kept its memory or stayed', retryAfter: noEngineRetryAfter, isTransient: true,
		};
	}

	#buildChosenEngine({terms: {route, service}, cost, promptTokens, decision, key, reservations, ids}: {
		terms: EngineChoiceInput;
		cost: EngineProfile;
		promptTokens: number;
		decision: Extract<PromptDecision, {kind: 'place'}>;
		key: string;
		reservations: Reservations;
		ids: ReadonlyMap<string, string>;
	}): ChosenEngine {
		const {placementCoordinator: desk} = this.#options;
		const eventGapTarget = route.eventGapTarget ?? Number.POSITIVE_INFINITY;
		const longestWait = streamIdleTimeout({latencyTarget: route.latencyTarget, eventGapTarget}) / 2;
		return {
			...this.#createRecorders(key, decision.primary, estimateIterationTime(cost, 1, promptTokens), service),
			record: decision.primary,
			priority: promptTokens <= maximumShortPromptTokens ? shortPromptPriority : longPromptPriority,
			prefillHelpers: decision.prefillHelpers.map(({record}) => {
				const id = ids.get(record.id);
				return id === undefined ? record.address : `${record.address}/${id}`;
			}),
			firstEventTimeout: Math.max(minimumFirstEventTimeout, longestWait, (decision.expectedLatency - decision.holdTime) * firstEventTimeoutFactor),
			eventGapTimeout: () => Math.max(minimumEventGapTimeout, eventGapTarget * eventGapTimeoutFactor, minimumEventGapTimeout + (desk.prefillBacklog(decision.primary.id) * eventGapTimeoutFactor)),
			release() {
				reservations.release();
				desk.endPlacement(key);
			},
		};
	}

	/** What a request tells of its engine. @param pass - Expected time between two events; 0 where there are none. */
	#createRecorders(key: string, record: EngineRecord, pass: number, service: Service) {
		const {placementCoordinator: desk, onMisdirected, log} = this.#options;
		let events = 0;
		return {
			observeEvent(gap: number) {
				events += 1;
				if (events === 1) {
					desk.completePrefill(key);
				} else if (pass > 0) {
					desk.recordSlowdown(record.id, gap / pass);
				}
			},
			failed() {
				desk.recordFailure(record.id);
			},
			rejected(faultyEngine: string | undefined) {
				if (faultyEngine === undefined) {
					desk.recordRejection(record.id);
					return;
				}

				log.warn('engine.faulty', {engine: record.id, faulty: faultyEngine});
				desk.recordFailureAt(service, faultyEngine);
			},
			misdirected() {
				onMisdirected(record.id);
			},
		};
	}

	#logDecision({requestId, service, remaining, attempt}: EngineChoiceInput, promptTokens: number, decision: PromptDecision & {candidates: number}): void {
		if (decision.kind === 'refuse') {
			this.#options.log.warn('placement.refused', {
				request: requestId, service: service.name, length: promptTokens, reason: decision.reason, candidates: decision.candidates,
				remaining: Math.round(remaining), retry_after: Math.round(decision.retryAfter), attempt,
			});
			return;
		}

		this.#options.log.info('placement.decided', {
			request: requestId, service: service.name, length: promptTokens, engine: decision.primary.id, candidates: decision.candidates,
			readers: decision.prefillHelpers.length, reserved: decision.prefillHelpers.filter(({reservedTokens}) => reservedTokens > 0).length,
			reading: Math.round(decision.prefillTime), hold: Math.round(decision.holdTime), expected: Math.round(decision.expectedLatency), loss: decision.cost.toFixed(2),
			remaining: Math.round(remaining), attempt,
		});
	}
}

function progressOf({attempt, isStreamInterrupted: isBegun, headerValues: facts, route}: EngineChoiceInput): PromptProgress {
	if (isBegun) {
		return 'streaming';
	}

	return attempt > 1 || (facts.timeout ?? 0) < route.timeout * retriedTimeoutShare ? 'retried' : 'new';
}

function assignmentsOf({primary, primaryTokens, prefillHelpers, prefillTime}: Extract<PromptDecision, {kind: 'place'}>) {
	return [
		{
			engineId: primary.id, prefillTime, kvCacheTokens: primaryTokens, runsDecode: true,
		},
		...prefillHelpers.map(({record, reservedTokens}) => ({
			engineId: record.id, prefillTime, kvCacheTokens: reservedTokens, runsDecode: false,
		})),
	];
}
