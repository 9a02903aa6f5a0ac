/**
 * A chooser over busy engines, for tests of what is decided at once, held, made to wait or refused.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {EngineHealth} from '../../placement/engine-health.js';
import {DomainLoads} from '../../placement/domain-loads.js';
import {EngineEligibility} from '../../placement/engine-eligibility.js';
import {EnginePauses} from '../../placement/engine-pauses.js';
import {EngineRateLimits} from '../../placement/engine-rate-limits.js';
import type {ColdEngines} from '../../placement/cold-engines.js';
import {EngineSpeed} from '../../placement/engine-speed.js';
import {EngineSubsetting} from '../../placement/engine-subsetting.js';
import {LoadTracker} from '../../placement/load-tracker.js';
import {PlacementCoordinator} from '../../placement/placement-coordinator.js';
import type {ServiceRanks} from '../../placement/request-rank.js';
import {EventLog, parseFields} from '../../telemetry/log.js';
import {AnswerDurations} from '../answer-durations.js';
import {type EngineChoiceResult, EngineChooser, type EngineChoiceInput} from '../engine-chooser.js';
import type {EngineRecord, Route, Service} from '../model.js';
import {PromptQueue} from '../prompt-queue.js';
import {directLinks} from './direct-links.js';

export const service: Service = {
	name: 'model',
	engineProfile: {
		slots: 11, kvCacheTokens: 315_000, baseStepTime: 0.85, stepTimePerRequest: 0.006, stepTimePerThousandTokens: 0.003, prefillTokensPerMillisecond: 177, attentionTimePerMillionPairs: 0.184,
		stepsPerIteration: 51, meanTokens: {prompt: 11_000, answer: 1600},
	},
};

export const route: Route = {
	name: 'reviews', host: 'a', prefix: '/', kind: 'stream', isResumable: true, timeout: 15_000, latencyTarget: 3000, eventGapTarget: 1000, maximumAttempts: 2,
	allowsAnonymous: true, targets: [{service: 'model', weight: 1}],
};

export const input: EngineChoiceInput = {
	requestId: 'r1', service, route, remaining: 15_000, timeUntilAbandoned: Number.POSITIVE_INFINITY,
	excluded: new Set(), isIsolated: false, attempt: 1, isStreamInterrupted: false, signal: new AbortController().signal,
	headerValues: {
		requestId: 'r1', timeout: 15_000, apiKey: undefined, sharedPromptParts: [], promptTokens: 100_000, maximumAnswerTokens: 800, answerTokensHint: 800, lastEventId: undefined,
	},
};

export function createEngineRecord(id: string, host: string): EngineRecord {
	return {
		id, service: 'model', host, port: 1, address: `${host}:1`, failureDomain: 'a', slots: 11, state: 'ready', startedAt: undefined,
	};
}

/** A chooser over engines, each of which prefills a prompt for 1000 ms and decodes its answer. */
export function createBusyChooser(
	peersKnown: Promise<void> = Promise.resolve(), random = () => 0, engineCount = 2,
	{links = directLinks, ranks, coldEngines}: {links?: typeof directLinks; ranks?: ServiceRanks; coldEngines?: ColdEngines} = {},
) {
	const leavingEngines = new Set<string>();
	const answer = async ({address}: {address: string}) => ({
		status: 200, isConfirmed: true, statement: {requestLimit: undefined, isLeaving: leavingEngines.has(address), retryAfter: undefined},
	});
	const readyEngines = ['one', 'two', 'three'].slice(0, engineCount).map((id, index) => createEngineRecord(id, `127.0.0.${index + 1}`));
	const loadTracker = new LoadTracker();
	for (const {id} of readyEngines) {
		loadTracker.add({
			key: `other/${id}`, eventGapTarget: 250, weight: 1, startsAt: performance.now(), expiresAt: performance.now() + 60_000,
			assignments: [{
				engineId: id, prefillTime: 1000, kvCacheTokens: 100, runsDecode: true,
			}],
		}, performance.now());
	}

	const ignore = () => undefined;
	const removeReady = (id: string) => {
		const index = readyEngines.findIndex(engine => engine.id === id);
		if (index !== -1) {
			readyEngines.splice(index, 1);
		}
	};

	const engines = {ready: () => readyEngines, get: (id: string) => readyEngines.find(engine => engine.id === id)};
	const ring = ['127.0.0.1'];
	const lines: Array<Record<string, string>> = [];
	const log = new EventLog({
		write(line) {
			lines.push(parseFields(line));
		},
	});
	const subsetting = new EngineSubsetting({ownIp: ring[0]!, instances: () => ring, engines});
	const rateLimits = new EngineRateLimits({
		ownIp: ring[0]!, users: id => subsetting.users(id), reachableShare: () => 1, log,
	});
	const pauses = new EnginePauses();
	const placementCoordinator = new PlacementCoordinator({
		engines, subsetting, loadTracker, rateLimits, pauses, eligibility: new EngineEligibility({
			rateLimits, pauses, regions: new Map([['a', 'north']]), ...(coldEngines && {coldEngines}),
		}), domainLoads: new DomainLoads(),
		engineHealth: new EngineHealth(), engineSpeed: new EngineSpeed(), onLeaving: removeReady, log, failureDomain: 'a', origin: 'self', hasPeers: () => true,
		listener: {
			placed: ignore, prefillCompleted: ignore, ended: ignore, cooldownStarted: ignore, limitStated: ignore, slowdownChanged: ignore, availabilityRelayed: ignore,
		},
	});
	const answerDurations = new AnswerDurations();
	const promptQueue = new PromptQueue({memoryLimit: undefined});
	const chooser = new EngineChooser({
		promptQueue, ranks: () => ranks, placementCoordinator, answerDurations, log, onMisdirected: ignore, peersKnown, random, links,
		reservations: {
			log, memoryReleaseTimeout: 4000, maximumReservationLifetime: 20_000, client: {reserve: answer, release: answer},
		},
	});
	return {
		chooser, promptQueue, answerDurations, readyEngines, leavingEngines, loadTracker, lines,
	};
}

export function releaseOf(result: EngineChoiceResult): () => void {
	return result.kind === 'chosen' ? result.engine.release : () => undefined;
}
