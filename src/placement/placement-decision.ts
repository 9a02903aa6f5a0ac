/**
 * Decides where requests go: which engines are compared, by what is known of them, and which one is chosen.
 *
 * @module
 */
import type {EngineProfile, EngineRecord, Service} from '../serving/model.js';
import {boundRetryAfter} from './caller-timeouts.js';
import type {DomainLoads} from './domain-loads.js';
import {chooseDomain, mayOverflow} from './domain-overflow.js';
import type {EngineFilter, HomeRegions, ServiceRefusal} from './engine-eligibility.js';
import type {EngineHealth} from './engine-health.js';
import type {PromptCandidate} from './engine-scores.js';
import type {EngineSource} from './engine-source.js';
import type {EngineSpeed} from './engine-speed.js';
import type {EngineSubsetting} from './engine-subsetting.js';
import {
	fillPosition, type FillOrder, maximumCommonOrderInstances, unheardRequests,
} from './fill-order.js';
import type {EngineLoadSnapshot, LoadTracker} from './load-tracker.js';
import {
	isLongPrompt, placePrompt, type PromptDecision, type PromptRequirements,
} from './prompt-placement.js';
import type {RetainedPrefixes} from './retained-prefix.js';
import {placeServiceRequest, type ServiceCandidate} from './service-placement.js';

/** What decisions read. */
export type PlacementDeciderOptions = {
	engines: EngineSource;
	subsetting: EngineSubsetting;
	loadTracker: Pick<LoadTracker, 'snapshot'>;
	domainLoads: DomainLoads;
	engineHealth: EngineHealth;
	engineSpeed: EngineSpeed;
	eligibility: EngineFilter;
	retainedPrefixes: Pick<RetainedPrefixes, 'savedPrefill'>;
	failureDomain: string;
	/** Whether other instances are known; without peers, an instance uses an order of its own, or all would fill the same engine. */
	hasPeers: () => boolean;
	/** Prefix of the keys of this instance's placements; differs for each start of a process. */
	origin: string;
	random: () => number;
};

/** Retry-After in milliseconds if no engine is available; engines write their entries about once a second. */
const noEngineRetryAfter = 500;

/** Engines among which a prompt's were chosen, and how many of them were cooling down. */
export type CandidateCount = {candidates: number; coolingDown: number};

/** What a decision was made among: the engines that were offered, and those of them that accept a request now. */
type ComparedEngines<Candidate> = {offered: readonly EngineRecord[]; compared: readonly Candidate[]};

/** A decision on a prompt. */
export type DecidedPrompt = ComparedEngines<PromptCandidate> & {decision: PromptDecision & CandidateCount};

/** Where a request without a prompt goes. */
export type ServicePlacement = {kind: 'place'; record: EngineRecord; running: number; candidates: number};

/** A decision on a request without a prompt. */
export type DecidedServiceRequest = ComparedEngines<ServiceCandidate> & {decision: ServicePlacement | ServiceRefusal};

/** Decides on placements. */
export class PlacementDecider {
	readonly #options: PlacementDeciderOptions;

	constructor(options: PlacementDeciderOptions) {
		this.#options = options;
	}

	/** Decides where a prompt goes, without the excluded engines: in the own failure domain, or in another one that serves it clearly better. */
	decidePrompt(service: Service, profile: EngineProfile, requirements: PromptRequirements, {excluded, now}: {excluded: ReadonlySet<string>; now: number}): DecidedPrompt {
		const {subsetting, domainLoads, hasPeers, eligibility} = this.#options;
		const prompt = {requirements, profile, now};
		const ownDomain = subsetting.ownDomain(service.name);
		const isInDomain = ownDomain !== undefined;
		const order: FillOrder = isInDomain && subsetting.ownDomainInstanceCount(service.name) > maximumCommonOrderInstances ? 'spread' : (hasPeers() ? 'common' : 'own');
		const own = this.#decideAmong(this.#promptCandidates(service, excluded, requirements.homeRegions), prompt, order);
		const {decision} = own;
		const isOwnCold = decision.kind === 'place' && [decision.primary, ...decision.prefillHelpers.map(({record}) => record)].some(({id}) => eligibility.isCold(id, now));
		if (!isInDomain || !(isOwnCold || mayOverflow(decision, requirements))) {
			return own;
		}

		const ready = this.#candidates(service, excluded, requirements.homeRegions);
		const domains = subsetting.otherDomains(service.name).filter(domain => decision.kind === 'refuse' || domainLoads.isKnown(domain, now));
		// All instances that look there know the same loads and would fill the same engine.
		const others = domains.map(domain => this.#decideAmong(ready.filter(({id, failureDomain}) => failureDomain === domain && domainLoads.isCandidate(domain, id, now)), prompt, 'own'));
		const best = chooseDomain(decision, others.map(other => other.decision));
		return others.find(other => other.decision === best) ?? own;
	}

	/** Load of an engine as a decision on a prompt sees it: of another failure domain, what that domain reports. */
	loadOf({id, service, failureDomain}: EngineRecord, now: number): EngineLoadSnapshot {
		const {subsetting, domainLoads, loadTracker} = this.#options;
		const load = loadTracker.snapshot(id, now);
		const ownDomain = subsetting.ownDomain(service);
		return ownDomain === undefined || failureDomain === ownDomain ? load : domainLoads.snapshot(failureDomain, id, load, now);
	}

	/** Factor on an engine's published times as a decision on a prompt sees it: by own streams, or as its failure domain reports it. */
	slowdownOf({id, failureDomain}: EngineRecord, now: number): number {
		const {engineSpeed, domainLoads} = this.#options;
		return Math.max(engineSpeed.factor(id, now), domainLoads.slowdown(failureDomain, id, now));
	}

	/** Chooses the engine for a request without a prompt. */
	decideServiceRequest(service: Service, {excluded, homeRegions, now}: {excluded: ReadonlySet<string>; homeRegions: HomeRegions; now: number}): DecidedServiceRequest {
		const {loadTracker, engineHealth, eligibility, failureDomain, random} = this.#options;
		const ready = this.#candidates(service, excluded, homeRegions);
		const compared = eligibility.accepting(ready, false, now).map(record => ({
			record,
			running: loadTracker.snapshot(record.id, now).running,
			isCoolingDown: engineHealth.isCoolingDown(record.id, now),
			isCold: eligibility.isCold(record.id, now),
			isInOwnFailureDomain: record.failureDomain === failureDomain,
		}));
		const chosen = placeServiceRequest(compared, random);
		if (chosen) {
			return {
				offered: ready, compared, decision: {
					kind: 'place', record: chosen.record, running: chosen.running, candidates: compared.length,
				},
			};
		}

		return {
			offered: ready, compared, decision: ready.length > 0
				? eligibility.refusal(ready, now)
				: {
					kind: 'refuse', reason: 'no-engine', retryAfter: noEngineRetryAfter, candidates: 0,
				},
		};
	}

	/** Decides where a prompt goes among some engines, of which those are left out that accept no request now. */
	#decideAmong(
		engines: readonly EngineRecord[],
		{requirements, profile, now}: {requirements: PromptRequirements; profile: EngineProfile; now: number},
		order: FillOrder,
	): DecidedPrompt {
		const {
			engineHealth, eligibility, retainedPrefixes, origin, hasPeers,
		} = this.#options;
		const records = eligibility.accepting(engines, isLongPrompt(requirements, profile), now);
		if (records.length === 0 && engines.length > 0) {
			const refusal = eligibility.refusal(engines, now);
			return {offered: engines, compared: [], decision: {...refusal, coolingDown: 0, retryAfter: boundRetryAfter(requirements, refusal.retryAfter)}};
		}

		const compared = records.map((record): PromptCandidate => ({
			record, load: this.loadOf(record, now), slowdown: this.slowdownOf(record, now), isCoolingDown: engineHealth.isCoolingDown(record.id, now),
			isCold: eligibility.isCold(record.id, now), position: fillPosition(record.id, origin, order), unheardRequests: order === 'common' || !hasPeers() ? 0 : unheardRequests,
			savedPrefill: retainedPrefixes.savedPrefill(record.id, requirements.leadingParts ?? [], profile),
		}));
		return {
			offered: engines, compared, decision: {
				...placePrompt(requirements, profile, compared),
				candidates: compared.length, coolingDown: compared.filter(({isCoolingDown}) => isCoolingDown).length,
			},
		};
	}

	/** Engines for a prompt: those of this instance's subset, or any where none of these is left. */
	#promptCandidates(service: Service, excluded: ReadonlySet<string>, homeRegions: HomeRegions): readonly EngineRecord[] {
		const {subsetting, eligibility} = this.#options;
		const subset = eligibility.inHomeRegions(subsetting.subset(service.name), homeRegions).filter(({id}) => !excluded.has(id));
		return subset.length > 0 ? subset : this.#candidates(service, excluded, homeRegions);
	}

	/** Ready engines of a service in the home regions without the excluded ones. */
	#candidates(service: Service, excluded: ReadonlySet<string>, homeRegions: HomeRegions): readonly EngineRecord[] {
		const ready = this.#options.eligibility.inHomeRegions(this.#options.engines.ready(service.name), homeRegions);
		return excluded.size === 0 ? ready : ready.filter(({id}) => !excluded.has(id));
	}
}
