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
export type ChoiceTerms = {
	requestId: string;
	service: Service;
	route: Route;
	facts: RequestHeaderValues;
	/** Time in milliseconds that is left. */
	remaining: number;
	excluded: ReadonlySet<string>;
	/** Number of this attempt, from 1. */
	attempt: number;
	/** Whether the caller has a part of the answer, and no engine goes on with it. */
	isBegun: boolean;
	/** Aborts when the request is over. */
	signal: AbortSignal;
};

/** An engine that was chosen, and what it is told of the request's fate there. */
export type ChosenEngine = {
	record: EngineRecord;
	/** Rank at the engine; undefined leaves it to the engine. */
	rank: number | undefined;
	/** Engines that read parts of the prompt, as addresses with reservations. */
	readers: readonly string[];
	/** Times in milliseconds after which a repeatable request is taken to be lost. */
	firstLimit: number;
	/** The same between two events; what the engine is known to read meanwhile counts. */
	gapLimit: () => number;
	observeEvent(gap: number): void;
	/** The engine failed by its own fault. */
	failed(): void;
	/** The engine, or one that it asked, did not take the request. */
	rejected(faultyEngine: string | undefined): void;
	/** Another engine is at its address. */
	misdirected(): void;
	/** The request is over at this engine. */
	release(): void;
};

export type Choice = {kind: 'chosen'; engine: ChosenEngine} | {
	kind: 'refused';
	code: ErrorCode;
	reason: string;
	/** Time in milliseconds after which asking again makes sense. */
	retryAfter: number;
	/** Whether an engine may take the request a moment later, still in time. */
	isPassing: boolean;
};

/** What the chooser works with. */
export type EngineChooserOptions = {
	desk: PlacementCoordinator;
	log: EventLog;
	reservations: ReservationsOptions;
	/** An engine is gone from its address. */
	onMisdirected: (engineId: string) => void;
};

/** Placements that may fall through, for want of memory or because an engine leaves, before a prompt is refused. */
const placementTries = 4;

/** Retry-After in milliseconds where no engine is known; entries of engines come every second or so. */
const noEngineRetry = 500;

/** Least time in milliseconds before a stream without any event is taken to be lost. */
const shortestFirstLimit = 700;

/** Factor on the expected time to the first event after which it is taken to be lost. */
const firstLimitFactor = 2.5;

/** Factor on the longest timely pause after which a stream is taken to be lost, and the least such time in milliseconds. */
const gapLimitFactor = 2;
const shortestGapLimit = 1000;

/** Share of the target after which a request without a prompt is taken to be lost. */
const serviceLimitShare = 0.75;

/** Ranks at the engines: short prompts go before long ones. */
const shortRank = 2;
const longRank = 4;

/** Prompt tokens up to which a prompt counts as short for its rank. */
const shortPrompt = 25_000;

/** Numbers of the errors with which prompts are refused. */
const refusalCodes: Readonly<Record<Extract<PromptDecision, {kind: 'refuse'}>['reason'], ErrorCode>> = {
	'no-engine': '3005', 'too-late': '3004', overloaded: '3002', 'does-not-fit': '3002',
};

/** Share of a route's time below which a caller's deadline tells that it was turned away before. */
const returningShare = 0.95;

/** Weight of a request without a prompt. */
const serviceWeight = 1;

/** Chooses engines for requests. */
export class EngineChooser {
	readonly #options: EngineChooserOptions;

	constructor(options: EngineChooserOptions) {
		this.#options = options;
	}

	async choose(terms: ChoiceTerms): Promise<Choice> {
		const cost = terms.service.engineProfile;
		if (cost === undefined || terms.facts.promptTokens === undefined) {
			return this.#chooseService(terms);
		}

		return this.#choosePrompt(terms, cost, terms.facts.promptTokens);
	}

	#chooseService({requestId, service, route, excluded, remaining, attempt}: ChoiceTerms): Choice {
		const {desk, log} = this.#options;
		const chosen = desk.decideServicePlacement(service, excluded);
		if (!chosen) {
			log.warn('placement.refused', {
				request: requestId, service: service.name, reason: 'no-engine', excluded: excluded.size,
			});
			return {
				kind: 'refused', code: '3005', reason: `no engine of service "${service.name}" is ready`, retryAfter: noEngineRetry, isPassing: true,
			};
		}

		const {record, running, candidates} = chosen;
		log.info('placement.decided', {
			request: requestId, service: service.name, engine: record.id, running, candidates, attempt, remaining: Math.round(remaining),
		});
		const key = desk.recordPlacement([{
			engineId: record.id, prefillTime: 0, kvCacheTokens: 0, runsDecode: true,
		}], {eventGapTarget: Number.POSITIVE_INFINITY, weight: serviceWeight, remaining});
		return {
			kind: 'chosen',
			engine: {
				...this.#reports(key, record, 0, service),
				record,
				rank: undefined,
				readers: [],
				firstLimit: route.kind === 'stream' ? Number.POSITIVE_INFINITY : Math.max(1, route.latencyTarget * serviceLimitShare),
				gapLimit: () => Number.POSITIVE_INFINITY,
				release() {
					desk.endPlacement(key);
				},
			},
		};
	}

	async #choosePrompt(terms: ChoiceTerms, cost: EngineProfile, promptTokens: number): Promise<Choice> {
		const {route, facts, service, remaining, requestId} = terms;
		const {desk, log} = this.#options;
		const excluded = new Set(terms.excluded);
		const arrivedAt = performance.now();
		const promptTerms = {
			promptTokens,
			answerTokens: Math.min(facts.maximumAnswerTokens > 0 ? facts.maximumAnswerTokens : Number.POSITIVE_INFINITY, facts.answerTokensHint ?? cost.meanTokens.answer),
			target: route.latencyTarget,
			gapTarget: route.eventGapTarget ?? Number.POSITIVE_INFINITY,
			standing: standingOf(terms),
			get remaining() {
				return remaining - (performance.now() - arrivedAt);
			},
		};
		for (let tries = 0; tries < placementTries; tries++) {
			const decision = desk.decidePromptPlacement(service, cost, promptTerms, excluded);
			this.#log(terms, promptTokens, decision);
			if (decision.kind === 'refuse') {
				return {
					kind: 'refused', code: refusalCodes[decision.reason], reason: decision.reason, retryAfter: decision.retryAfter, isPassing: decision.reason !== 'too-late',
				};
			}

			const key = desk.recordPlacement(partsOf(decision), {
				eventGapTarget: promptTerms.gapTarget, weight: decision.weight, remaining: promptTerms.remaining, holdTime: decision.holdTime,
			});
			const reservations = new Reservations(requestId, this.#options.reservations);
			const wanted = decision.prefillHelpers.filter(({reservedTokens: reserve}) => reserve > 0).map(({record, reservedTokens: reserve}) => ({engine: record, tokens: reserve}));
			const held = wanted.length === 0 ? {ids: new Map<string, string>()} : await reservations.reserve(wanted); // eslint-disable-line no-await-in-loop
			if ('failed' in held) {
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
				kind: 'chosen', engine: this.#chosenPrompt({
					terms, cost, promptTokens, decision, key, reservations, ids: held.ids,
				}),
			};
		}

		log.warn('placement.refused', {request: requestId, service: service.name, reason: 'no-placement-held'});
		return {
			kind: 'refused', code: '3004', reason: 'no engine kept its memory or stayed', retryAfter: noEngineRetry, isPassing: true,
		};
	}

	#chosenPrompt({terms: {route, service}, cost, promptTokens, decision, key, reservations, ids}: {
		terms: ChoiceTerms;
		cost: EngineProfile;
		promptTokens: number;
		decision: Extract<PromptDecision, {kind: 'place'}>;
		key: string;
		reservations: Reservations;
		ids: ReadonlyMap<string, string>;
	}): ChosenEngine {
		const {desk} = this.#options;
		const gapTarget = route.eventGapTarget ?? Number.POSITIVE_INFINITY;
		const longestWait = streamIdleTimeout({target: route.latencyTarget, gapTarget}) / 2;
		return {
			...this.#reports(key, decision.primary, estimateIterationTime(cost, 1, promptTokens), service),
			record: decision.primary,
			rank: promptTokens <= shortPrompt ? shortRank : longRank,
			readers: decision.prefillHelpers.map(({record}) => {
				const id = ids.get(record.id);
				return id === undefined ? record.address : `${record.address}/${id}`;
			}),
			firstLimit: Math.max(shortestFirstLimit, longestWait, (decision.expectedLatency - decision.holdTime) * firstLimitFactor),
			gapLimit: () => Math.max(shortestGapLimit, gapTarget * gapLimitFactor, shortestGapLimit + (desk.prefillBacklog(decision.primary.id) * gapLimitFactor)),
			release() {
				reservations.release();
				desk.endPlacement(key);
			},
		};
	}

	/** What a request tells of its engine. @param pass - Expected time between two events; 0 where there are none. */
	#reports(key: string, record: EngineRecord, pass: number, service: Service) {
		const {desk, onMisdirected, log} = this.#options;
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

	#log({requestId, service, remaining, attempt}: ChoiceTerms, promptTokens: number, decision: PromptDecision & {candidates: number}): void {
		if (decision.kind === 'refuse') {
			this.#options.log.warn('placement.refused', {
				request: requestId, service: service.name, length: promptTokens, reason: decision.reason, candidates: decision.candidates,
				remaining: Math.round(remaining), retry_after: Math.round(decision.retryAfter), attempt,
			});
			return;
		}

		this.#options.log.info('placement.decided', {
			request: requestId, service: service.name, length: promptTokens, engine: decision.primary.id, candidates: decision.candidates,
			readers: decision.prefillHelpers.length, reserved: decision.prefillHelpers.filter(({reservedTokens: reserve}) => reserve > 0).length,
			reading: Math.round(decision.prefillTime), hold: Math.round(decision.holdTime), expected: Math.round(decision.expectedLatency), loss: decision.cost.toFixed(2),
			remaining: Math.round(remaining), attempt,
		});
	}
}

function standingOf({attempt, isBegun, facts, route}: ChoiceTerms): PromptProgress {
	if (isBegun) {
		return 'begun';
	}

	return attempt > 1 || (facts.timeout ?? 0) < route.timeout * returningShare ? 'returning' : 'fresh';
}

function partsOf({primary: first, primaryTokens: firstMemory, prefillHelpers: readers, prefillTime: reading}: Extract<PromptDecision, {kind: 'place'}>) {
	return [
		{
			engineId: first.id, reading, memory: firstMemory, writes: true,
		},
		...readers.map(({record, reservedTokens: reserve}) => ({
			engineId: record.id, reading, memory: reserve, writes: false,
		})),
	];
}
