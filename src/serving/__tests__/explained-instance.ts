/**
 * An instance without sockets whose choices are explained and made, over four engines in two failure domains.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {ColdEngines} from '../../placement/cold-engines.js';
import {DomainLoads} from '../../placement/domain-loads.js';
import {EngineEligibility} from '../../placement/engine-eligibility.js';
import {EngineHealth} from '../../placement/engine-health.js';
import {EnginePauses} from '../../placement/engine-pauses.js';
import {EngineRateLimits} from '../../placement/engine-rate-limits.js';
import {EngineSpeed} from '../../placement/engine-speed.js';
import {EngineSubsetting} from '../../placement/engine-subsetting.js';
import {LoadTracker} from '../../placement/load-tracker.js';
import {PlacementCoordinator} from '../../placement/placement-coordinator.js';
import {ServiceRanks} from '../../placement/request-rank.js';
import {EventLog, parseFields} from '../../telemetry/log.js';
import {AnswerDurations} from '../answer-durations.js';
import {type ChoiceExplanation, explainChoice} from '../choice-explanation.js';
import {EngineChooser, type EngineChoiceInput} from '../engine-chooser.js';
import type {EngineRecord} from '../model.js';
import {PrefillShares} from '../prefill-shares.js';
import {PromptQueue} from '../prompt-queue.js';
import {createEngineRecord} from './busy-chooser.js';
import {directLinks} from './direct-links.js';

/** Numbers that seem random, the same in each run. */
function createRandom(): () => number {
	let state = 1;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

export const engineIds = ['a1', 'a2', 'b1', 'b2'] as const;

/** @param areLinksCut - Whether neither this instance nor any other reaches an engine. */
export function createExplainedInstance({ranks = [], areLinksCut = false}: {ranks?: readonly number[]; areLinksCut?: boolean} = {}) {
	const ignore = () => undefined;
	const lines: Array<Record<string, string>> = [];
	const log = new EventLog({
		write(line) {
			lines.push(parseFields(line));
		},
	});
	const records = engineIds.map((id, index): EngineRecord => ({...createEngineRecord(id, `127.0.0.${index + 1}`), failureDomain: id.charAt(0)}));
	const evacuated = new Set<string>();
	const mayReceive = ({failureDomain}: EngineRecord) => !evacuated.has(failureDomain);
	let ready = records;
	const engines = {ready: () => ready, get: (id: string) => records.find(record => record.id === id), stated: () => records};
	const ring = ['127.0.0.1'];
	const random = createRandom();
	const subsetting = new EngineSubsetting({ownIp: ring[0]!, instances: () => ring, engines});
	const rateLimits = new EngineRateLimits({
		ownIp: ring[0]!, users: id => subsetting.users(id), reachableShare: () => 1, log, random,
	});
	const pauses = new EnginePauses();
	const coldEngines = new ColdEngines({
		ownIp: ring[0]!, log, limits: {excess: 1, slack: 0}, startedAt: performance.now() - 60_000, coldStart: () => ({duration: 60_000, requestsPerSecond: 4}),
		fleet: () => ({largestSize: 1, isKnown: true, addresses: []}),
	});
	for (const record of records) {
		coldEngines.recordRow(record, {isInitial: true, isUnchanged: false}, performance.now());
	}

	const loadTracker = new LoadTracker();
	const placementCoordinator = new PlacementCoordinator({
		engines, subsetting, loadTracker, rateLimits, pauses, domainLoads: new DomainLoads(), engineHealth: new EngineHealth(), engineSpeed: new EngineSpeed(),
		eligibility: new EngineEligibility({
			rateLimits, pauses, coldEngines, mayReceive, regions: new Map([['a', 'north'], ['b', 'south']]),
		}),
		onLeaving: ignore, log, failureDomain: 'a', origin: 'self', hasPeers: () => false, random,
		listener: {
			placed: ignore, prefillCompleted: ignore, ended: ignore, cooldownStarted: ignore, limitStated: ignore, slowdownChanged: ignore, availabilityRelayed: ignore,
		},
	});
	const serviceRanks = new ServiceRanks(ranks);
	const sources = {
		placementCoordinator, answerDurations: new AnswerDurations(), links: {...directLinks, hasNone: areLinksCut}, promptQueue: new PromptQueue({memoryLimit: undefined}),
		prefillShares: new PrefillShares(), ranks: () => serviceRanks,
	};
	const reservation = async () => ({status: 200, isConfirmed: true, statement: {requestLimit: undefined, isLeaving: false, retryAfter: undefined}});
	const chooser = new EngineChooser({
		...sources, log, onMisdirected: ignore, peersKnown: Promise.resolve(), random,
		reservations: {
			log, memoryReleaseTimeout: 4000, maximumReservationLifetime: 20_000, client: {reserve: reservation, release: reservation},
		},
	});
	return {
		...sources, chooser, coldEngines, loadTracker, rateLimits, pauses, lines,
		explain: (input: EngineChoiceInput): ChoiceExplanation => explainChoice(sources, input),
		evacuate(domain: string) {
			evacuated.add(domain);
			ready = records.filter(record => mayReceive(record));
		},
		/** Places a prefill that is under way. @param prefillTime - In milliseconds. */
		addLoad(engineId: string, prefillTime: number, lifetime = 60_000) {
			loadTracker.add({
				key: `other/${engineId}/${loadTracker.size}`, eventGapTarget: 1000, weight: 1, startsAt: performance.now(), expiresAt: performance.now() + lifetime,
				assignments: [{
					engineId, prefillTime, kvCacheTokens: 100, runsDecode: true,
				}],
			}, performance.now());
		},
		limit(engineId: string, limit: number) {
			rateLimits.recordLimit(engineId, limit, performance.now());
		},
	};
}

export type ExplainedInstance = ReturnType<typeof createExplainedInstance>;
