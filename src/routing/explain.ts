/**
 * Explains to operators how a routing decision would be made.
 *
 * @module
 */
import type {CandidateExplanation, Explanation, RequestFacts} from './decision.js';
import type {FleetView} from './fleet-view.js';
import type {UpstreamDescription} from './observation.js';
import type {PromptRouter} from './prompt-router.js';
import {belongsToPool, unmetPoolRequirement, unmetRequirement} from './pool-selection.js';

/** Returns whether each pool matches a request, and the score or the reason for exclusion of each upstream. */
export function explainDecision(fleet: FleetView, prompts: PromptRouter, facts: RequestFacts, now: number): Explanation {
	const {classes, customers, pools} = fleet.configuration;
	const requestClass = classes.get(facts.requestClass);
	const customer = customers.get(facts.customer);
	if (!requestClass || !customer) {
		return {pools: [], candidates: []};
	}

	const kind = facts.model === undefined ? 'service' : 'engine';
	const poolExplanations = [...pools.values()].map(pool => {
		const serves = facts.model === undefined ? pool.name === facts.service : pool.models.includes(facts.model);
		const reason = pool.kind === kind ? unmetPoolRequirement(requestClass, pool) ?? (serves ? undefined : `does not serve ${facts.model ?? facts.service}`) : `is of kind ${pool.kind}`;
		return {pool: pool.name, matches: reason === undefined, unmet: reason};
	});
	const matching = poolExplanations.filter(({matches}) => matches).map(({pool}) => pools.get(pool)!);
	const scores = facts.model === undefined ? new Map<string, number>() : promptScores(prompts, facts, {requestClass, customer, now});
	const candidates = [...fleet.upstreams.values()].map((upstream): CandidateExplanation => {
		const reasonsByPool = matching.map(pool => belongsToPool(pool, upstream) ? undefined : unmetRequirement(pool.upstreams, upstream.labels) ?? `is of kind ${upstream.kind}`);
		const selectionReason = reasonsByPool.includes(undefined) ? undefined : reasonsByPool[0] ?? 'no pool matches';
		return {upstream: upstream.name, score: scores.get(upstream.name), excludedBecause: selectionReason ?? unavailabilityReason(fleet, facts, upstream)};
	});
	return {pools: poolExplanations, candidates};
}

function promptScores(prompts: PromptRouter, facts: RequestFacts, {requestClass, customer, now}: ScoringContext): Map<string, number> {
	const {pools, prompt} = prompts.assess(facts, requestClass, customer, now);
	return new Map(pools.flatMap(pool => pool.members.map(view => [view.name, prompts.engineScorer.score(pool, view, prompt, now).score] as const)));
}

type ScoringContext = {
	requestClass: Parameters<PromptRouter['assess']>[1];
	customer: Parameters<PromptRouter['assess']>[2];
	now: number;
};

function unavailabilityReason(fleet: FleetView, facts: RequestFacts, upstream: UpstreamDescription): string | undefined {
	if (!fleet.isAvailable(upstream)) {
		return upstream.state === 'live' ? 'is leaving' : `is ${upstream.state}`;
	}

	return facts.excluded.includes(upstream.name) ? 'was tried already' : undefined;
}
