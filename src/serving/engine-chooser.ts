/**
 * Chooses the engine that a request is sent to, and reserves memory at the engines that prefill parts of its prompt.
 *
 * @module
 */
import {errorCatalogue, type ErrorCode} from '../errors/catalogue.js';
import {combineHomeRegions, type ServiceRefusal} from '../placement/engine-eligibility.js';
import type {PlacementCoordinator} from '../placement/placement-coordinator.js';
import type {ObservedPrompt} from '../placement/engine-speed.js';
import {streamIdleTimeout} from '../placement/caller-timeouts.js';
import type {PromptDecision, PromptRequirements} from '../placement/prompt-placement.js';
import {estimatePrefillTime} from '../placement/time-estimates.js';
import type {ServiceRanks} from '../placement/request-rank.js';
import {Reservations, type ReservationsOptions} from '../placement/reservations.js';
import {delay} from '../request/time-limit.js';
import {type EventLog, finiteMilliseconds} from '../telemetry/log.js';
import type {EngineConnector} from '../upstream/engine-connector.js';
import type {ConnectionPurpose, EngineLinks} from '../relay/engine-links.js';
import type {AnswerDurations} from './answer-durations.js';
import {estimateAnswerDuration, eventGapTimeout, isOutlasting} from './answer-estimates.js';
import {type AttemptRecorder, PlacedRequestRecorder} from './attempt-recorder.js';
import type {
	CustomerKeys, EngineProfile, EngineRecord, RequestHeaderValues, Route, Service,
} from './model.js';
import {describeHomeRegions, PlacementLog} from './placement-log.js';
import {PrefillShares} from './prefill-shares.js';
import {PromptQueue} from './prompt-queue.js';
import {
	assignmentsOf, promptRequirementsOf, queuedPromptOf, removedFromQueue, standingOf,
} from './prompt-terms.js';
import {refusalCodes, refusalReasons} from './refusal-texts.js';
import {ReportingConnector} from './reporting-connector.js';
import {shutdownReason} from './shutdown.js';

/** What is known about a request when an engine is chosen for it. */
export type EngineChoiceInput = {
	requestId: string;
	service: Service;
	route: Route;
	/** Undefined for anonymous requests. */
	customer?: CustomerKeys | undefined;
	headerValues: RequestHeaderValues;
	/** Time in milliseconds left until the request's deadline. */
	remaining: number;
	/** Time in milliseconds until this instance abandons the request, as far as it may still refuse it; infinite unless it is shutting down. */
	timeUntilAbandoned: number;
	/** Bytes of the request's body. */
	bodyBytes?: number | undefined;
	/** Ids of engines that may not be chosen. */
	excluded: ReadonlySet<string>;
	/** Whether no further engine may prefill a part of the prompt, as the request may crash its engines. */
	isIsolated: boolean;
	/** Number of this attempt, starting at 1. */
	attempt: number;
	/** Whether the caller has received part of the response and no engine is continuing it. */
	isStreamInterrupted: boolean;
	/** Aborts when the request ends. */
	signal: AbortSignal;
};

/** The chosen engine, what the request to it carries, and the recorder of what happens to the request there. */
export type ChosenEngine = {
	recorder: AttemptRecorder;
	record: EngineRecord;
	connector: EngineConnector;
	/** Priority at the engine; undefined leaves it to the engine. */
	priority: number | undefined;
	/** Engines that prefill parts of the prompt, as "IP:port" or "IP:port/reservation". */
	prefillHelpers: readonly string[];
	/** Time in milliseconds without a first event or complete response after which the engine counts as idle. */
	firstEventTimeout: number;
	/** Time in milliseconds between two events after which the engine counts as idle; it grows with the engine's prefill backlog. */
	eventGapTimeout: () => number;
	/** Ends the request at this engine and releases the reserved memory. */
	release(): void;
};

/** The chosen engine, or why there is none. */
export type EngineChoiceResult = {kind: 'chosen'; engine: ChosenEngine} | {
	kind: 'refused';
	code: ErrorCode;
	reason: string;
	/** Time in milliseconds after which a retry makes sense. */
	retryAfter: number;
	/** Whether an engine may accept the request a moment later, still before its deadline. */
	isTransient: boolean;
};

/** Options of an `EngineChooser`. */
export type EngineChooserOptions = {
	placementCoordinator: PlacementCoordinator;
	answerDurations: AnswerDurations;
	log: EventLog;
	links: Pick<EngineLinks, 'connectorTo' | 'findFault' | 'hasNone'>;
	reservations: Omit<ReservationsOptions, 'onAnswer' | 'links'>;
	/** Called when a different engine answers at an engine's address. */
	onMisdirected: (engineId: string) => void;
	/** Resolves when what peers have placed is known, or is not to be expected. */
	peersKnown: Promise<void>;
	/** Ranks that compete for the engines of a service; undefined where none are configured. */
	ranks?: (service: string) => ServiceRanks | undefined;
	/** Where prompts wait for capacity. */
	promptQueue?: PromptQueue;
	/** What customers have been served of their shares. */
	prefillShares?: PrefillShares;
	/** @default Math.random */
	random?: () => number;
};

/**
 * Longest random delay in milliseconds of prompts that wait for news of peers, several times the time in which placements
 * reach them. After the loss of all instances, all callers return at once and would be placed on the same engines.
 */
const maximumStartDelay = 60;

/** Placements tried for a prompt before it is refused; one fails if an engine has no memory to reserve or stops being ready. */
const maximumPlacementAttempts = 4;

/** Share by which the Retry-After of a refused prompt is shortened at random, so that the callers refused in one burst don't return together. */
const retryAfterSpread = 0.25;

/** Retry-After in milliseconds of a prompt for which no placement held. */
const failedPlacementRetryAfter = 500;

/** Retry-After in milliseconds while no instance reaches an engine; broken paths are probed as often. */
export const noLinkRetryAfter = 500;

/** Shortest first-event timeout of a prompt in milliseconds. */
const minimumFirstEventTimeout = 700;

/** Factor on the expected time to the first event that gives the first-event timeout. */
const firstEventTimeoutFactor = 2.5;

/** Share of the latency target after which an engine counts as idle on a request without a prompt. */
const serviceRequestTimeoutShare = 0.75;

/** Weight of the placement of a request without a prompt. */
const serviceRequestWeight = 1;

/** Chooses engines for requests. */
export class EngineChooser {
	readonly #options: EngineChooserOptions;
	readonly #random: () => number;
	readonly #placementLog: PlacementLog;
	readonly #promptQueue: PromptQueue;
	readonly #prefillShares: PrefillShares;
	#arePeersKnown = false;

	constructor(options: EngineChooserOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
		this.#placementLog = new PlacementLog(options.log);
		this.#prefillShares = options.prefillShares ?? new PrefillShares();
		this.#promptQueue = options.promptQueue ?? new PromptQueue({memoryLimit: undefined});
	}

	async choose(input: EngineChoiceInput): Promise<EngineChoiceResult> {
		if (this.#options.links.hasNone) {
			return {
				kind: 'refused', code: '3005', reason: 'neither this instance nor any other that it knows reaches an engine', retryAfter: noLinkRetryAfter, isTransient: true,
			};
		}

		const outlasting = this.#options.answerDurations.describeOutlasting(input);
		if (outlasting !== undefined) {
			return this.#refuseBeforeShutdown(input, outlasting);
		}

		const profile = input.service.engineProfile;
		if (profile === undefined || input.headerValues.promptTokens === undefined) {
			return this.#chooseForServiceRequest(input);
		}

		return this.#chooseForPrompt(input, profile, input.headerValues.promptTokens);
	}

	#chooseForServiceRequest(input: EngineChoiceInput): EngineChoiceResult {
		const {
			requestId, service, route, customer, excluded, remaining, timeUntilAbandoned, attempt,
		} = input;
		const homeRegions = combineHomeRegions(route.homeRegions, customer?.homeRegions);
		const {placementCoordinator, log} = this.#options;
		const decision = placementCoordinator.decideServicePlacement(service, excluded, homeRegions);
		if (decision.kind === 'refuse') {
			return this.#refuseServiceRequest(input, decision);
		}

		const {record, running, candidates} = decision;
		log.info('placement.decided', {
			request: requestId, service: service.name, engine: record.id, running, candidates, attempt, remaining: Math.round(remaining), until_abandoned: finiteMilliseconds(timeUntilAbandoned),
		});
		const placementKey = placementCoordinator.recordPlacement([{
			engineId: record.id, prefillTime: 0, kvCacheTokens: 0, runsDecode: true,
		}], {eventGapTarget: Number.POSITIVE_INFINITY, weight: serviceRequestWeight, remaining});
		return {
			kind: 'chosen',
			engine: {
				recorder: this.#createRecorder(input, placementKey, record, undefined),
				record,
				connector: this.#connectorTo(record, {requestId, lifetime: remaining, homeRegions}, placementKey),
				priority: undefined,
				prefillHelpers: [],
				firstEventTimeout: route.kind === 'stream' ? Number.POSITIVE_INFINITY : Math.max(1, route.latencyTarget * serviceRequestTimeoutShare),
				eventGapTimeout: () => Number.POSITIVE_INFINITY,
				release() {
					placementCoordinator.endPlacement(placementKey);
				},
			},
		};
	}

	#refuseServiceRequest({requestId, service, route, customer}: EngineChoiceInput, {reason, retryAfter, candidates}: ServiceRefusal): EngineChoiceResult {
		this.#options.log.warn('placement.refused', {
			request: requestId, service: service.name, reason, candidates, retry_after: Math.round(retryAfter), regions: describeHomeRegions(route, customer),
		});
		return {
			kind: 'refused', code: refusalCodes[reason], reason: `${refusalReasons[reason]} "${service.name}"`, retryAfter, isTransient: true,
		};
	}

	async #chooseForPrompt(input: EngineChoiceInput, profile: EngineProfile, promptTokens: number): Promise<EngineChoiceResult> {
		const {service, requestId} = input;
		const {placementCoordinator, log} = this.#options;
		const excluded = new Set(input.excluded);
		const standing = standingOf(input, estimatePrefillTime(profile, promptTokens), this.#prefillShares, this.#options.ranks?.(service.name));
		const {rank} = standing;
		const requirements = promptRequirementsOf(input, profile, promptTokens, standing);
		await this.#waitForPeers(input.signal);
		const onWait = (longest: number) => {
			this.#placementLog.recordWait(input, promptTokens, rank, longest);
		};

		const queuedPrompt = queuedPromptOf(input, profile, requirements, standing);
		for (let placementAttempt = 0; placementAttempt < maximumPlacementAttempts; placementAttempt++) {
			const waiter = queuedPrompt && placementAttempt === 0 ? {...queuedPrompt, onWait} : undefined;
			const outcome = await this.#promptQueue.place(waiter, () => this.#tryPlacement(input, profile, requirements, excluded)); // eslint-disable-line no-await-in-loop
			const {waited} = outcome;
			if (outcome.kind === 'stopped') {
				return this.#refuseBeforeShutdown(input, `it has waited for capacity for ${Math.round(waited)} ms`);
			}

			// Counted with its outcome: a prompt that is being decided on is no unmet demand.
			standing.share?.recordDemand();
			const {decision, placementKey, duration} = outcome.kind === 'tried' ? outcome.result : {decision: removedFromQueue(requirements), placementKey: '', duration: 0};
			if (decision.kind === 'refuse') {
				this.#placementLog.recordRefusal(input, promptTokens, decision, waited);
				const {reason} = decision;
				const retryAfter = decision.retryAfter * (1 - (retryAfterSpread * this.#random()));
				return {
					kind: 'refused', code: refusalCodes[reason], reason, retryAfter, isTransient: reason !== 'too-late' || input.isStreamInterrupted,
				};
			}

			if (placementKey === undefined) {
				return this.#refuseBeforeShutdown(input, `its engine is expected to take ${Math.round(duration)} ms`);
			}

			this.#placementLog.recordPlacement(input, promptTokens, decision, {duration, waited});
			standing.share?.recordServed();
			const reservations = new Reservations(requestId, {
				...this.#options.reservations, links: this.#options.links, onAnswer: placementCoordinator.recordReservationAnswer.bind(placementCoordinator),
			});
			const wantedReservations = decision.prefillHelpers.filter(({reservedTokens}) => reservedTokens > 0).map(({record, reservedTokens}) => ({engine: record, tokens: reservedTokens}));
			const reserved = wantedReservations.length === 0 ? {ids: new Map<string, string>()} : await reservations.reserve(wantedReservations); // eslint-disable-line no-await-in-loop
			if ('failedEngine' in reserved) {
				placementCoordinator.endPlacement(placementKey);
				excluded.add(reserved.failedEngine.id);
				continue;
			}

			await delay(decision.holdTime, input.signal); // eslint-disable-line no-await-in-loop
			const departedEngine = [decision.primary, ...decision.prefillHelpers.map(({record}) => record)].find(({id}) => !placementCoordinator.isAccepting(service, id, placementKey));
			if (departedEngine) {
				log.info('placement.withdrawn', {
					request: requestId, engine: departedEngine.id, reason: 'engine no longer accepts requests after the hold time', held: Math.round(decision.holdTime),
				});
				reservations.release();
				placementCoordinator.endPlacement(placementKey);
				continue;
			}

			return {
				kind: 'chosen', engine: this.#buildChosenEngine({
					input, profile, promptTokens, decision, placementKey, reservations, reservationIds: reserved.ids, priority: standing.ranks.enginePriority(rank, promptTokens),
				}),
			};
		}

		log.warn('placement.refused', {request: requestId, service: service.name, reason: 'no-placement-held'});
		return {
			kind: 'refused', code: '3004', reason: 'every chosen engine lacked memory to reserve or stopped accepting requests', retryAfter: failedPlacementRetryAfter, isTransient: true,
		};
	}

	/** Decides on a placement and records it; without `placementKey`, its answer is not expected to end before this instance abandons the request. */
	#tryPlacement(input: EngineChoiceInput, profile: EngineProfile, requirements: PromptRequirements, excluded: ReadonlySet<string>) {
		const {placementCoordinator} = this.#options;
		const decision = placementCoordinator.decidePromptPlacement(input.service, profile, requirements, excluded);
		if (decision.kind === 'refuse') {
			return {decision, duration: 0, overload: decision.overload};
		}

		const duration = estimateAnswerDuration(input, profile, decision, placementCoordinator.prefillBacklog(decision.primary.id));
		const placementKey = isOutlasting(input, duration)
			? undefined
			: placementCoordinator.recordPlacement(assignmentsOf(decision), {
				eventGapTarget: requirements.eventGapTarget, weight: decision.weight, remaining: requirements.remaining, holdTime: decision.holdTime,
				leadingParts: requirements.leadingParts, savedPrefill: decision.savedPrefill,
			});
		return {decision, duration, placementKey};
	}

	/** @param cause - Why the answer is not expected to end before this instance abandons the request. */
	#refuseBeforeShutdown(input: EngineChoiceInput, cause: string): EngineChoiceResult {
		this.#placementLog.recordShutdownRefusal(input, cause);
		return {
			kind: 'refused', code: '3006', reason: `${shutdownReason} before the answer would end: ${cause}`, retryAfter: errorCatalogue[3006].retryAfter!, isTransient: false,
		};
	}

	async #waitForPeers(signal: AbortSignal): Promise<void> {
		if (!this.#arePeersKnown) {
			await this.#options.peersKnown;
			this.#arePeersKnown = true;
			await delay(this.#random() * maximumStartDelay, signal);
		}
	}

	#buildChosenEngine({input, profile, promptTokens, decision, placementKey, reservations, reservationIds, priority}: {
		input: EngineChoiceInput;
		profile: EngineProfile;
		promptTokens: number;
		decision: Extract<PromptDecision, {kind: 'place'}>;
		placementKey: string;
		reservations: Reservations;
		/** Reservation ids by engine id. */
		reservationIds: ReadonlyMap<string, string>;
		priority: number;
	}): ChosenEngine {
		const {placementCoordinator} = this.#options;
		const promptQueue = this.#promptQueue;
		const {route} = input;
		const eventGapTarget = route.eventGapTarget ?? Number.POSITIVE_INFINITY;
		const halfStreamIdleTimeout = streamIdleTimeout({latencyTarget: route.latencyTarget, eventGapTarget}) / 2;
		return {
			recorder: this.#createRecorder(input, placementKey, decision.primary, {
				profile, promptTokens, prefillTime: decision.prefillTime, hasHelpers: decision.prefillHelpers.length > 0,
			}),
			record: decision.primary,
			connector: this.#connectorTo(decision.primary, {
				requestId: input.requestId, lifetime: input.remaining, homeRegions: combineHomeRegions(route.homeRegions, input.customer?.homeRegions),
			}, placementKey),
			priority,
			prefillHelpers: decision.prefillHelpers.map(({record}) => {
				const reservationId = reservationIds.get(record.id);
				return reservationId === undefined ? record.address : `${record.address}/${reservationId}`;
			}),
			firstEventTimeout: Math.max(minimumFirstEventTimeout, halfStreamIdleTimeout, (decision.expectedLatency - decision.holdTime) * firstEventTimeoutFactor),
			eventGapTimeout: () => eventGapTimeout(route, placementCoordinator.prefillBacklog(decision.primary.id)),
			release() {
				reservations.release();
				placementCoordinator.endPlacement(placementKey);
				promptQueue.onPlacementEnd();
			},
		};
	}

	/** Connects to the engine of a placement, which counts as sent then. */
	#connectorTo(record: EngineRecord, purpose: ConnectionPurpose, placementKey: string): EngineConnector {
		return new ReportingConnector(this.#options.links.connectorTo(record, purpose), () => {
			this.#options.placementCoordinator.recordSent(placementKey);
		});
	}

	#createRecorder({requestId, service}: EngineChoiceInput, placementKey: string, record: EngineRecord, prompt: ObservedPrompt | undefined): AttemptRecorder {
		return new PlacedRequestRecorder({
			...this.#options, requestId, placementKey, record, service, prompt,
		});
	}
}
