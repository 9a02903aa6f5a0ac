/**
 * Chooses an instance of a plain service.
 *
 * @module
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xorshift128plus} from 'pure-rand/generator/xorshift128plus';
import type {LoadView} from '../upstream/load-view.js';
import type {Decision, RequestFacts} from './decision.js';
import type {FleetView} from './fleet-view.js';
import {hashText} from './seeded-hash.js';

/** Chooses the less loaded of two instances picked at random. */
export function routeServiceRequest(fleet: FleetView, facts: RequestFacts, {now, seed}: {now: number; seed: number}): Decision {
	const pool = fleet.selection.pools(facts.requestClass, undefined, facts.service)[0];
	const open = (pool?.upstreams ?? []).filter(upstream => fleet.isAvailable(upstream) && !facts.excluded.includes(upstream.name));
	if (!pool || open.length === 0) {
		return {
			kind: 'refuse', code: '3005', retryAfter: 1000, reason: `no live instance of service "${facts.service}" for class "${facts.requestClass}"`,
		};
	}

	const trusted = open.filter(({name}) => !fleet.isCoolingDown(name, now));
	const candidates = trusted.length > 0 ? trusted : open;
	const generator = xorshift128plus(hashText(facts.requestId, seed + facts.excluded.length));
	const first = uniformInt(generator, 0, candidates.length - 1);
	const second = candidates.length > 1 ? (first + uniformInt(generator, 1, candidates.length - 1)) % candidates.length : first;
	const views = [...new Set([first, second])].map(index => fleet.loadView(candidates[index]!.name)!);
	const [best, other] = views.toSorted((left, right) => left.serviceRequestCount - right.serviceRequestCount);
	const score = best!.serviceRequestCount;
	fleet.assign(facts, best!, inFlightServiceRequest(facts.requestId, now));
	return {
		kind: 'send',
		upstream: best!.name,
		pool: pool.pool.name,
		tier: 'short',
		score,
		secondBest: other?.name,
		secondBestScore: other?.serviceRequestCount,
		candidateCount: candidates.length,
		promptTokens: 0,
		cachedTokens: 0,
		priority: fleet.configuration.classes.get(facts.requestClass)!.priority,
		isReservationRequired: false,
		reason: candidates.length === 1 ? 'only-candidate' : 'least-cost',
	};
}

function inFlightServiceRequest(requestId: string, now: number): Parameters<LoadView['sent']>[0] {
	return {
		requestId,
		promptTokens: 0,
		cachedTokens: 0,
		totalTokens: 0,
		prefillTime: 0,
		isLong: false,
		hasNoPrefillAhead: false,
		sentAt: now,
		firstTokenAt: undefined,
		lastTokenAt: undefined,
	};
}
