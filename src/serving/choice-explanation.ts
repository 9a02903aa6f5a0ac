/**
 * Explains which engine a described request would be sent to, whether it would wait, or why it would be refused. Nothing is
 * recorded.
 *
 * @module
 */
import {match} from 'ts-pattern';
import {errorCatalogue} from '../errors/catalogue.js';
import {combineHomeRegions} from '../placement/engine-eligibility.js';
import type {PlacementCoordinator} from '../placement/placement-coordinator.js';
import type {ExplainedEngine, PlacementExplanation} from '../placement/placement-explanation.js';
import type {PromptDecision} from '../placement/prompt-placement.js';
import type {ServiceRanks} from '../placement/request-rank.js';
import {estimatePrefillTime} from '../placement/time-estimates.js';
import type {EngineLinks} from '../relay/engine-links.js';
import type {AnswerDurations} from './answer-durations.js';
import {estimateAnswerDuration, isOutlasting} from './answer-estimates.js';
import {type EngineChoiceInput, noLinkRetryAfter} from './engine-chooser.js';
import type {EngineRecord} from './model.js';
import type {PrefillShares} from './prefill-shares.js';
import type {PromptQueue} from './prompt-queue.js';
import {
	promptRequirementsOf, queuedPromptOf, removedFromQueue, type Standing, standingOf,
} from './prompt-terms.js';

/** What an explanation reads: the same as an `EngineChooser`. */
export type ChoiceSources = {
	placementCoordinator: Pick<PlacementCoordinator, 'explainPlacement' | 'readPrefillBacklog'>;
	answerDurations: AnswerDurations;
	links: Pick<EngineLinks, 'hasNone'>;
	promptQueue: PromptQueue;
	prefillShares: PrefillShares;
	ranks: (service: string) => ServiceRanks | undefined;
};

/** Expected time to the first event in milliseconds, and the times beyond which the prompt is refused. */
type ExpectedTimes = {expectedLatency: number; abandonedAfter: number; sheddingLimit: number};

/** Why a request would be refused. */
export type RefusalReason = Extract<PromptDecision, {kind: 'refuse'}>['reason'] | 'no-link' | 'outlasts-shutdown' | 'shutting-down' | 'no-api-key' | 'body-too-large';

/** What would become of a request. Times in milliseconds. */
export type ExplainedDecision = {
	kind: 'place';
	engine: EngineRecord;
	prefillHelpers: ReadonlyArray<{record: EngineRecord; reservedTokens: number}>;
	/** Other engines that chance may choose. */
	alternatives: readonly EngineRecord[];
	holdTime: number;
	/** Undefined without a prompt. */
	times: ExpectedTimes | undefined;
} | {
	kind: 'wait';
	/** Whether it waits for room, or for others that are to be decided before it. */
	reason: 'overloaded' | 'others-first';
	longest: number;
	times: Partial<ExpectedTimes>;
} | {
	kind: 'refuse';
	reason: RefusalReason;
	/** Undefined where a retry makes no sense. */
	retryAfter: number | undefined;
	times?: Partial<ExpectedTimes>;
};

const outlastsShutdown: ExplainedDecision = {kind: 'refuse', reason: 'outlasts-shutdown', retryAfter: errorCatalogue[3006].retryAfter};

/** Where a described request would go. */
export type ChoiceExplanation = {
	rank: number;
	/** Whether a more urgent rank competes for the engines of the service. */
	isLessUrgent: boolean;
	homeRegions: readonly string[] | undefined;
	decision: ExplainedDecision;
	engines: readonly ExplainedEngine[];
};

/** Explains the choice for a request that would arrive now. */
export function explainChoice(sources: ChoiceSources, input: EngineChoiceInput): ChoiceExplanation {
	const {placementCoordinator, prefillShares} = sources;
	const {service, route, customer, excluded, headerValues: {promptTokens}} = input;
	const profile = service.engineProfile;
	const homeRegions = combineHomeRegions(route.homeRegions, customer?.homeRegions);
	const prefillTime = profile === undefined || promptTokens === undefined ? 0 : estimatePrefillTime(profile, promptTokens);
	const standing = standingOf(input, prefillTime, prefillShares.readOnly, sources.ranks(service.name));
	const prompt = profile === undefined || promptTokens === undefined ? undefined : {profile, requirements: promptRequirementsOf(input, profile, promptTokens, standing)};
	const explanation = placementCoordinator.explainPlacement({
		service, excluded, homeRegions, prompt,
	});
	return {
		rank: standing.rank, isLessUrgent: standing.ranks.indexOf(standing.rank) > 0, homeRegions: homeRegions && [...homeRegions], engines: explanation.engines,
		decision: decide(sources, input, standing, explanation),
	};
}

function decide(sources: ChoiceSources, input: EngineChoiceInput, standing: Standing, explanation: PlacementExplanation): ExplainedDecision {
	if (sources.links.hasNone) {
		return {kind: 'refuse', reason: 'no-link', retryAfter: noLinkRetryAfter};
	}

	if (sources.answerDurations.describeOutlasting(input) !== undefined) {
		return outlastsShutdown;
	}

	return match(explanation)
		.returnType<ExplainedDecision>()
		.with({kind: 'service-request', decision: {kind: 'refuse'}}, ({decision: {reason, retryAfter}}) => ({kind: 'refuse', reason, retryAfter}))
		.with({kind: 'service-request', decision: {kind: 'place'}}, ({decision: {record}, alternatives}) => ({
			kind: 'place', engine: record, prefillHelpers: [], alternatives, holdTime: 0, times: undefined,
		}))
		.with({kind: 'prompt'}, ({decision, limits, prompt}) => decideOnPrompt(sources, input, standing, {decision, limits, prompt}))
		.exhaustive();
}

function decideOnPrompt(
	{placementCoordinator, promptQueue}: ChoiceSources, input: EngineChoiceInput, standing: Standing,
	{decision, limits, prompt: {profile, requirements}}: Pick<Extract<PlacementExplanation, {kind: 'prompt'}>, 'decision' | 'limits' | 'prompt'>,
): ExplainedDecision {
	const overload = decision.kind === 'refuse' ? decision.overload : undefined;
	const wait = promptQueue.explain(queuedPromptOf(input, profile, requirements, standing), overload);
	const expectedLatency = decision.kind === 'place' ? decision.expectedLatency : overload?.expectedLatency;
	const times = {...limits, ...(expectedLatency !== undefined && {expectedLatency})};
	if (wait.kind === 'waiting') {
		return {
			kind: 'wait', reason: wait.isBehind ? 'others-first' : 'overloaded', longest: wait.longest, times,
		};
	}

	const outcome = wait.kind === 'removed' ? removedFromQueue(requirements) : decision;
	if (outcome.kind === 'refuse') {
		return {
			kind: 'refuse', reason: outcome.reason, retryAfter: outcome.retryAfter, times,
		};
	}

	const duration = estimateAnswerDuration(input, profile, outcome, placementCoordinator.readPrefillBacklog(outcome.primary.id));
	return isOutlasting(input, duration)
		? outlastsShutdown
		: {
			kind: 'place', engine: outcome.primary, prefillHelpers: outcome.prefillHelpers, alternatives: [], holdTime: outcome.holdTime,
			times: {...limits, expectedLatency: outcome.expectedLatency},
		};
}
