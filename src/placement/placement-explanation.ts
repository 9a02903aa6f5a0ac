/**
 * Explains where a request would go now: the decision, and each engine of its service with what stands against it or how it
 * compares to the others. Nothing is recorded.
 *
 * @module
 */
import type {EngineProfile, EngineRecord, Service} from '../serving/model.js';
import type {
	EngineEligibility, EngineObstacle, HomeRegions, ServiceRefusal,
} from './engine-eligibility.js';
import type {EngineSource} from './engine-source.js';
import type {CandidateCount, PlacementDecider, ServicePlacement} from './placement-decision.js';
import {
	type PromptDecision, type PromptRequirements, rankCandidates, refusalLimits,
} from './prompt-placement.js';
import {rankServiceCandidates} from './service-placement.js';

/** What is known of a prompt. */
export type ExplainedPrompt = {profile: EngineProfile; requirements: PromptRequirements};

/** A request that is described and not sent. */
export type ExplainedRequest = {
	service: Service;
	/** Ids of engines that may not be chosen. */
	excluded: ReadonlySet<string>;
	homeRegions: HomeRegions;
	/** Undefined for a request without a prompt. */
	prompt: ExplainedPrompt | undefined;
};

/** One engine of the service. Times in milliseconds. */
export type ExplainedEngine = {
	record: EngineRecord;
	/** Why it may not be used now; undefined if it may. */
	obstacle: EngineObstacle | 'excluded' | undefined;
	isCold: boolean;
	prefillBacklog: number;
	running: number;
	/** Factor on its published times. */
	slowdown: number;
	/** Prefill time that a prefix which it holds would save. */
	savedPrefill: number;
	/** Expected time to the first event of its part; undefined without a prompt, and for engines that were not compared. */
	expectedLatency: number | undefined;
	/** Position among the engines that were compared, 1 for the first; undefined for the others. */
	rank: number | undefined;
};

/** Where the request would go. */
export type PlacementExplanation = {engines: readonly ExplainedEngine[]} & ({
	kind: 'prompt';
	prompt: ExplainedPrompt;
	decision: PromptDecision & CandidateCount;
	/** Expected times to the first event in milliseconds beyond which it is refused. */
	limits: {abandonedAfter: number; sheddingLimit: number};
} | {
	kind: 'service-request';
	decision: ServicePlacement | ServiceRefusal;
	/** Other engines whose cost is so close that chance may decide for them. */
	alternatives: readonly EngineRecord[];
});

/** What an explanation reads. `decider` must record nothing. */
export type ExplanationSources = {
	decider: PlacementDecider;
	engines: EngineSource;
	eligibility: Pick<EngineEligibility, 'reasonAgainst' | 'isCold'>;
};

/** What the comparison tells of one engine. */
type Comparison = Pick<ExplainedEngine, 'rank' | 'expectedLatency' | 'savedPrefill'>;

/** Explains where a request would go. @param now - Monotonic time in milliseconds. */
export function explainPlacement(sources: ExplanationSources, request: ExplainedRequest, now: number): PlacementExplanation {
	const {decider} = sources;
	const {service, excluded, homeRegions, prompt} = request;
	if (prompt === undefined) {
		const {decision, offered, compared} = decider.decideServiceRequest(service, {excluded, homeRegions, now});
		const ranked = rankServiceCandidates(compared);
		const comparisons = new Map(ranked.map(({candidate: {record}}, index): [string, Comparison] => [record.id, {rank: index + 1, expectedLatency: undefined, savedPrefill: 0}]));
		const alternatives = ranked.slice(1).filter(({mayBeChosen}) => mayBeChosen).map(({candidate}) => candidate.record);
		return {
			kind: 'service-request', decision, alternatives, engines: describeEngines(sources, request, {offered, comparisons, now}),
		};
	}

	const {profile, requirements} = prompt;
	const {decision, offered, compared} = decider.decidePrompt(service, profile, requirements, {excluded, now});
	const used = decision.kind === 'place' ? [decision.primary, ...decision.prefillHelpers.map(({record}) => record)].map(({id}) => id) : [];
	const ranked = rankCandidates(requirements, profile, compared, Math.max(1, used.length));
	// Where memory decides, engines are used that are not the first ones by time.
	const ordered = [...used.flatMap(id => ranked.filter(({candidate}) => candidate.record.id === id)), ...ranked.filter(({candidate}) => !used.includes(candidate.record.id))];
	const comparisons = new Map(ordered.map(({candidate: {record}, expectedLatency, savedPrefill}, index): [string, Comparison] => [record.id, {rank: index + 1, expectedLatency, savedPrefill}]));
	return {
		kind: 'prompt', prompt, decision, limits: refusalLimits(requirements, compared.length), engines: describeEngines(sources, request, {offered, comparisons, now}),
	};
}

/** Describes the engines whose entries say that they are ready, those that were compared first. */
function describeEngines(
	{decider, engines, eligibility}: ExplanationSources,
	{service, excluded, homeRegions}: ExplainedRequest,
	{offered, comparisons, now}: {offered: readonly EngineRecord[]; comparisons: ReadonlyMap<string, Comparison>; now: number},
): ExplainedEngine[] {
	const offeredIds = new Set(offered.map(({id}) => id));
	const obstacleOf = (record: EngineRecord): ExplainedEngine['obstacle'] => {
		const {id} = record;
		if (comparisons.has(id)) {
			return undefined;
		}

		if (excluded.has(id)) {
			return 'excluded';
		}

		const reason = eligibility.reasonAgainst(record, now, homeRegions);
		// Engines that would do alone are left out because of others: cold ones beside warm ones, limited ones for a long prompt.
		return reason ?? (offeredIds.has(id) ? (eligibility.isCold(id, now) ? 'cold' : 'limited') : undefined);
	};

	const described = (engines.stated ?? engines.ready).call(engines, service.name).map((record): ExplainedEngine => {
		const comparison = comparisons.get(record.id) ?? {rank: undefined, expectedLatency: undefined, savedPrefill: 0};
		const {prefillBacklog, running} = decider.loadOf(record, now);
		return {
			record, obstacle: obstacleOf(record), isCold: eligibility.isCold(record.id, now), prefillBacklog, running, slowdown: decider.slowdownOf(record, now), ...comparison,
		};
	});
	return described.toSorted((one, other) => (one.rank ?? Number.MAX_SAFE_INTEGER) - (other.rank ?? Number.MAX_SAFE_INTEGER) || (one.record.id < other.record.id ? -1 : 1));
}
