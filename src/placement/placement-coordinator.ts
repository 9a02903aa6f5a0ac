/**
 * Decides on placements, records them and reports them to the other instances.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {EngineProfile, EngineStatement, Service} from '../serving/model.js';
import type {EventLog} from '../telemetry/log.js';
import {type DomainLoadReport, type DomainLoads, reportLoads} from './domain-loads.js';
import {type EngineHealth, logCooldown} from './engine-health.js';
import type {EngineEligibility, HomeRegions, ServiceRefusal} from './engine-eligibility.js';
import type {EnginePauses} from './engine-pauses.js';
import type {EngineRateLimits} from './engine-rate-limits.js';
import type {EngineSource} from './engine-source.js';
import {EngineStatements} from './engine-statements.js';
import {type EngineSpeed, type FactorBounds, logSpeed} from './engine-speed.js';
import type {EngineSubsetting} from './engine-subsetting.js';
import {longPrefillThreshold} from './engine-scores.js';
import type {EngineActivity, LoadTracker, Placement} from './load-tracker.js';
import {PlacementArrivals} from './placement-arrivals.js';
import {type CandidateCount, PlacementDecider, type ServicePlacement} from './placement-decision.js';
import {type ExplainedRequest, explainPlacement, type PlacementExplanation} from './placement-explanation.js';
import type {PlacementListener, RelayedStatement} from './placement-listener.js';
import type {PromptDecision, PromptRequirements} from './prompt-placement.js';
import {RetainedPrefixes} from './retained-prefix.js';

/** What a coordinator works with. */
export type PlacementCoordinatorOptions = {
	engines: EngineSource;
	subsetting: EngineSubsetting;
	loadTracker: LoadTracker;
	domainLoads: DomainLoads;
	engineHealth: EngineHealth;
	engineSpeed: EngineSpeed;
	rateLimits: EngineRateLimits;
	pauses: EnginePauses;
	eligibility: EngineEligibility;
	/** Called when an engine states that it is about to leave. */
	onLeaving: (engineId: string) => void;
	log: EventLog;
	listener: PlacementListener;
	failureDomain: string;
	/** Whether other instances are known; without peers, an instance uses an order of its own, or all would fill the same engine. */
	hasPeers: () => boolean;
	/** Prefix of the keys of this instance's placements; differs for each start of a process. */
	origin: string;
	/** @default Math.random */
	random?: () => number;
};

/** Time in milliseconds after a request's deadline until which its placement may still be ended. */
const expiryMargin = 1000;

/** Cooldown in milliseconds of an engine that rejected a request; a few scheduler iterations, in which slots become free. */
const rejectionCooldown = 300;

/** Placements of one instance. */
export class PlacementCoordinator {
	readonly #options: PlacementCoordinatorOptions;
	readonly #statements: EngineStatements;
	/** Decides on requests. */
	readonly #decider: PlacementDecider;
	/** Decides on requests that are only described, by views of the same state that record nothing. */
	readonly #explainer: PlacementDecider;
	readonly #longPrefills = new Set<string>();
	readonly #retainedPrefixes = new RetainedPrefixes();
	readonly #arrivals: PlacementArrivals;
	#sequence = 0;
	#placementsOutsideDomain = 0;
	#savedPrefill = 0;

	constructor(options: PlacementCoordinatorOptions) {
		this.#options = options;
		this.#statements = new EngineStatements(options);
		this.#arrivals = new PlacementArrivals(options.eligibility);
		const {eligibility, loadTracker, random = Math.random} = options;
		this.#decider = new PlacementDecider({...options, random, retainedPrefixes: this.#retainedPrefixes});
		this.#explainer = new PlacementDecider({
			...options, random: () => 0, retainedPrefixes: this.#retainedPrefixes, eligibility: eligibility.readOnly, loadTracker: loadTracker.readOnly,
		});
	}

	/** Prompts of this instance that were placed in another failure domain than its own. */
	get placementsOutsideDomain(): number {
		return this.#placementsOutsideDomain;
	}

	/** Running requests whose prefix engines hold, and the time in milliseconds that prompts were expected to save by such prefixes since the start. */
	get prefixReuse(): {retained: number; savedPrefill: number} {
		return {retained: this.#retainedPrefixes.size, savedPrefill: this.#savedPrefill};
	}

	/** Loads of the engines of this instance's failure domain; undefined where it places prompts on engines of any domain. @param services - Names of those whose engines are reported. */
	reportDomainLoads(services: readonly string[]): DomainLoadReport | undefined {
		const now = performance.now();
		const {subsetting, loadTracker, engineSpeed, failureDomain} = this.#options;
		const engines = services.filter(service => subsetting.ownDomain(service) !== undefined).flatMap(service => subsetting.subset(service));
		return reportLoads(failureDomain, engines.map(({id}) => ({id, load: loadTracker.snapshot(id, now), slowdown: engineSpeed.factor(id, now)})));
	}

	/** Decides where a prompt goes, without the excluded engines. */
	decidePromptPlacement(service: Service, profile: EngineProfile, requirements: PromptRequirements, excluded: ReadonlySet<string>): PromptDecision & CandidateCount {
		return this.#decider.decidePrompt(service, profile, requirements, {excluded, now: performance.now()}).decision;
	}

	/** Chooses the engine for a request without a prompt. */
	decideServicePlacement(service: Service, excluded: ReadonlySet<string>, homeRegions?: HomeRegions): ServicePlacement | ServiceRefusal {
		return this.#decider.decideServiceRequest(service, {excluded, homeRegions, now: performance.now()}).decision;
	}

	/** Explains where a request would go now. Records nothing. */
	explainPlacement(request: ExplainedRequest): PlacementExplanation {
		return explainPlacement({...this.#options, decider: this.#explainer}, request, performance.now());
	}

	/**
	 * Records a placement.
	 *
	 * @param terms - `remaining` is the time in milliseconds left of the request, `holdTime` the time in milliseconds until it is sent, `savedPrefill` the prefill time that a prefix held by the engine saves.
	 * @returns the key of the placement.
	 */
	recordPlacement(
		assignments: Placement['assignments'],
		{eventGapTarget, weight, remaining, holdTime = 0, leadingParts = [], savedPrefill = 0}: {
			eventGapTarget: number; weight: number; remaining: number; holdTime?: number; leadingParts?: PromptRequirements['leadingParts']; savedPrefill?: number;
		},
	): string {
		const now = performance.now();
		this.#sequence += 1;
		const placement: Placement = {
			key: `${this.#options.origin}/${this.#sequence}`, assignments, eventGapTarget, weight, startsAt: now + holdTime, expiresAt: now + remaining + expiryMargin,
		};
		const {loadTracker, rateLimits, subsetting, listener, engines} = this.#options;
		loadTracker.add(placement, now);
		this.#arrivals.record(placement.key, assignments.map(({engineId}) => engineId), now);
		const [primary] = assignments;
		this.#savedPrefill += savedPrefill;
		// Where engines share a prefill, none holds all of it.
		if (primary && assignments.length === 1) {
			this.#retainedPrefixes.add(placement.key, primary.engineId, leadingParts);
		}

		const record = primary && engines.get(primary.engineId);
		if (record && primary.prefillTime > 0 && (subsetting.ownDomain(record.service) ?? record.failureDomain) !== record.failureDomain) {
			this.#placementsOutsideDomain += 1;
		}

		for (const {engineId} of assignments) {
			rateLimits.recordRequest(engineId);
		}

		if (assignments.some(({prefillTime}) => prefillTime >= longPrefillThreshold)) {
			this.#longPrefills.add(placement.key);
		}

		// All users of an engine count what is sent to it while it states a limit.
		const isLimited = assignments.some(({engineId}) => rateLimits.isLimited(engineId));
		listener.placed(placement, isLimited ? subsetting.subscribers(assignments.map(({engineId}) => engineId)) : subsetting.subscribersOf(placement));
		return placement.key;
	}

	/** Whether an engine still accepts the request of a placement that this instance has recorded. */
	isAccepting(service: Service, engineId: string, placementKey: string): boolean {
		const now = performance.now();
		const {engines, pauses, eligibility} = this.#options;
		return engines.ready(service.name).some(({id}) => id === engineId) && pauses.timeLeft(engineId, now) === 0 && eligibility.confirmArrival(engineId, placementKey, now);
	}

	/** Time in milliseconds until an engine has prefilled what is placed there. */
	prefillBacklog(engineId: string): number {
		return this.#options.loadTracker.snapshot(engineId, performance.now()).prefillBacklog;
	}

	/** Records that the request of a placement was sent. */
	recordSent(key: string): void {
		this.#arrivals.recordSent(key, performance.now());
	}

	/** As `prefillBacklog`, without removing placements that have expired. */
	readPrefillBacklog(engineId: string): number {
		return this.#options.loadTracker.readOnly.snapshot(engineId, performance.now()).prefillBacklog;
	}

	/** Records a request's first event. It is reported to the other instances where the prefill was long enough to matter to them. */
	completePrefill(key: string): void {
		this.#options.loadTracker.completePrefill(key, performance.now());
		this.#retainedPrefixes.completePrefill(key);
		this.#arrivals.recordFirstEvent(key, performance.now());
		if (this.#longPrefills.delete(key)) {
			this.#options.listener.prefillCompleted(key);
		}
	}

	endPlacement(key: string): void {
		this.#longPrefills.delete(key);
		this.#retainedPrefixes.remove(key);
		this.#arrivals.end(key, performance.now());
		this.#options.loadTracker.remove(key, performance.now());
		this.#options.listener.ended(key);
	}

	/** Records that a request failed at an engine, which cools down for this instance. @returns the duration in milliseconds. */
	recordFailure(engineId: string): number {
		const now = performance.now();
		const {engineHealth, log} = this.#options;
		const wasCoolingDown = engineHealth.isCoolingDown(engineId, now);
		const duration = engineHealth.recordFailure(engineId, now);
		if (!wasCoolingDown) {
			logCooldown(log, {
				engineId, duration, origin: 'own', timeSinceAnswer: engineHealth.timeSinceAnswer(engineId, now),
			});
		}

		return duration;
	}

	/** Reports that an engine has failed by its own fault, so that it cools down for all instances. @param duration - In milliseconds. */
	reportFailure(engineId: string, duration: number): void {
		this.#options.listener.cooldownStarted(engineId, duration, this.#options.subsetting.subscribers([engineId]));
	}

	/** Records that a connection to an engine was refused or lost: it may have crashed and started again. */
	recordConnectionLoss(engineId: string): void {
		this.#statements.recordConnectionLoss(engineId);
	}

	/** Tells all instances of it, as the path to the engine is not at fault. */
	reportConnectionLoss(engineId: string): void {
		this.#statements.reportConnectionLoss(engineId);
	}

	/** Ends the cooldown after a failure that was not the engine's. */
	withdrawFailure(engineId: string): void {
		this.#options.engineHealth.endCooldown(engineId);
	}

	/** Records that an engine rejected a request; its queue is full for a moment, which is no failure. */
	recordRejection(engineId: string): void {
		this.#options.engineHealth.startCooldown(engineId, rejectionCooldown, performance.now());
		this.#options.listener.cooldownStarted(engineId, rejectionCooldown, this.#options.subsetting.subscribers([engineId]));
	}

	/** Records that the engine with an address or id failed a request for which another engine had asked it to prefill. */
	recordFailureAt(service: Service, address: string): void {
		const engine = this.#options.engines.ready(service.name).find(record => record.address === address || record.id === address);
		if (engine) {
			this.recordConnectionLoss(engine.id);
			this.reportFailure(engine.id, this.recordFailure(engine.id));
			this.reportConnectionLoss(engine.id);
		}
	}

	/** Records that an engine has sent a response or an event. */
	recordAnswer(engineId: string): void {
		this.#options.engineHealth.recordAnswer(engineId, performance.now());
	}

	/** Records what an engine states about itself in a response. @param relay - IP address of the instance that relayed it, to which the statement applies as well. */
	recordStatement(engineId: string, status: number, statement: EngineStatement, relay?: string): void {
		const {rateLimits, listener, subsetting} = this.#options;
		this.recordAnswer(engineId);
		this.#statements.recordOwn(engineId, status, statement);
		if (relay !== undefined && (statement.isLeaving || statement.retryAfter !== undefined)) {
			listener.availabilityRelayed(relay, {
				engineId, status, isLeaving: statement.isLeaving, retryAfter: statement.retryAfter,
			});
		}

		if (rateLimits.recordLimit(engineId, statement.requestLimit, performance.now())) {
			listener.limitStated(engineId, statement.requestLimit, subsetting.subscribers([engineId]));
		}
	}

	/** Records what an engine states about itself in its answer to a reservation. Limits concern requests; an answer without one lifts none. */
	recordReservationAnswer(engineId: string, status: number, statement: EngineStatement): void {
		if (statement.requestLimit === undefined) {
			this.#statements.recordOwn(engineId, status, statement);
		} else {
			this.recordStatement(engineId, status, statement);
		}
	}

	/** Records how long an engine states that it stays cold, in its answer to a health check. */
	recordColdTime(engineId: string, status: number, coldRemaining: number | undefined): void {
		this.#statements.recordOwn(engineId, status, {
			requestLimit: undefined, isLeaving: false, retryAfter: undefined, coldRemaining,
		});
	}

	/** What an engine may be doing now, as far as its placements are known. */
	activity(engineId: string): EngineActivity {
		return this.#options.loadTracker.activity(engineId, performance.now());
	}

	/** Records between which bounds the factor on an engine's published times is. @returns whether they told anything. */
	recordSpeed(engineId: string, bounds: FactorBounds): boolean {
		const now = performance.now();
		const {engineSpeed, log, listener, subsetting} = this.#options;
		const before = engineSpeed.factor(engineId, now);
		const isInformative = engineSpeed.record(engineId, bounds, now);
		logSpeed(log, {
			engineId, origin: 'own', before, factor: engineSpeed.factor(engineId, now),
		});
		const report = isInformative ? engineSpeed.takeReport(engineId, now) : undefined;
		if (report !== undefined) {
			listener.slowdownChanged(engineId, report, subsetting.subscribers([engineId]));
		}

		return isInformative;
	}

	/** Records what an engine has stated to a peer. */
	recordAvailability({engineId, status, ...statement}: RelayedStatement): void {
		this.#statements.record(engineId, status, statement);
	}
}
