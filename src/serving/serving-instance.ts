/**
 * One instance on the platform: its listeners, its replicas of the store's tables and its exchange with the other instances.
 *
 * @module
 */
import type http from 'node:http';
import {performance} from 'node:perf_hooks';
import {errorMessage} from '../errors/errors.js';
import {createMemoryBudget} from '../memory/process-memory.js';
import type {MemoryBudget} from '../memory/memory-budget.js';
import {PeerMessenger} from '../peers/peer-messenger.js';
import {delayUntilInputIsHandled} from '../request/time-limit.js';
import {QuarantineGossip} from '../peers/quarantine-gossip.js';
import {fetchTableSnapshot, TableServer} from '../peers/table-transfer.js';
import {ColdChecks} from '../placement/cold-checks.js';
import {ColdEngines} from '../placement/cold-engines.js';
import {DomainLoads} from '../placement/domain-loads.js';
import {EngineEligibility} from '../placement/engine-eligibility.js';
import {EngineHealth} from '../placement/engine-health.js';
import {EnginePauses} from '../placement/engine-pauses.js';
import {EngineRateLimits} from '../placement/engine-rate-limits.js';
import {EngineSpeed} from '../placement/engine-speed.js';
import {EngineSubsetting} from '../placement/engine-subsetting.js';
import {LoadTracker} from '../placement/load-tracker.js';
import {PlacementCoordinator} from '../placement/placement-coordinator.js';
import {EngineAccess} from '../relay/engine-access.js';
import {RequestQuarantine} from '../quarantine/request-quarantine.js';
import {openPorts} from '../startup/ports.js';
import {eventLoop} from '../telemetry/event-loop-monitor.js';
import {CrashCheck} from '../upstream/crash-check.js';
import {ActiveConfiguration} from '../watch/active-configuration.js';
import {EngineCatalogue} from '../watch/engine-catalogue.js';
import {Evacuations} from '../watch/evacuations.js';
import {type ReplicatedTable, TableReplication} from '../watch/table-replication.js';
import {ListenerGroup} from '../watch/table-watch.js';
import {Admission} from './admission.js';
import {AnswerDurations} from './answer-durations.js';
import {CallerListener} from './caller-listener.js';
import type {ChoiceSources} from './choice-explanation.js';
import {maximumCallerConnections} from './connection-limit.js';
import {EngineChooser, type EngineChooserOptions} from './engine-chooser.js';
import {StreamNumbering} from './event-order.js';
import type {EngineRecord} from './model.js';
import {InstancePorts} from './instance-ports.js';
import {InstanceRegistration} from './instance-registration.js';
import {answerOperator} from './operator-requests.js';
import {PeerDiscovery} from './peer-discovery.js';
import {PrefillShares} from './prefill-shares.js';
import {PromptQueue} from './prompt-queue.js';
import {changeLimits, createReplicatedTable} from './replicated-tables.js';
import {RequestExplainer} from './request-explanation.js';
import {RetryBudget} from './retry-budget.js';
import type {ServingInstanceOptions} from './serving-instance-options.js';
import {ServingMetrics} from './serving-metrics.js';
import {Shutdown} from './shutdown.js';

/** Longest time in milliseconds between two checks whether all requests have ended. */
const drainCheckInterval = 50;

/** One running instance. */
export class ServingInstance {
	readonly #options: ServingInstanceOptions;
	readonly #metrics = new ServingMetrics();
	readonly #memory: MemoryBudget;
	readonly #loadTracker = new LoadTracker();
	readonly #domainLoads = new DomainLoads();
	readonly #engineHealth = new EngineHealth();
	readonly #engineSpeed = new EngineSpeed();
	readonly #rateLimits: EngineRateLimits;
	readonly #pauses = new EnginePauses();
	readonly #coldEngines: ColdEngines;
	readonly #quarantineGossip: QuarantineGossip;
	readonly #quarantine: RequestQuarantine;
	readonly #configuration: ActiveConfiguration;
	readonly #engines: EngineCatalogue;
	readonly #evacuations: Evacuations;
	readonly #tables: readonly [ReplicatedTable, ReplicatedTable];
	readonly #replication: TableReplication;
	readonly #tableServer: TableServer;
	readonly #peerMessenger: PeerMessenger;
	readonly #access: EngineAccess;
	readonly #registration: InstanceRegistration;
	readonly #promptQueue: PromptQueue;
	readonly #admission: Admission;
	readonly #listener: CallerListener;
	readonly #ports: InstancePorts;
	readonly #discovery = new PeerDiscovery();
	readonly #explainer: RequestExplainer;
	readonly #shutdown: Shutdown;
	readonly #closing = new AbortController();
	#isOpen = false;

	constructor(options: ServingInstanceOptions) {
		this.#options = options;
		this.#memory = createMemoryBudget(options.memoryLimit);
		const {log, tables, store, protocol, bounds, ip, failureDomain, regions} = options;
		this.#shutdown = new Shutdown(bounds.gracePeriod, eventLoop);
		const origin = `${options.instance}~${Date.now().toString(36)}`;
		this.#configuration = new ActiveConfiguration({
			log, key: tables.configuration.key, decode: tables.configuration.decode,
			onChange: routes => {
				this.#listener.applyLimits(routes.configuration.limits);
			},
		});
		const coldLimits = {excess: bounds.coldExcess ?? 1, slack: bounds.coldSlack ?? 0};
		this.#coldEngines = new ColdEngines({
			ownIp: ip, log, limits: coldLimits, startedAt: performance.now(),
			tableConfirmedAt: () => this.#engines.isInGracePeriod ? Number.NEGATIVE_INFINITY : this.#replication.enginesConfirmedAt,
			coldStart: service => this.#configuration.routes?.configuration.services.get(service)?.coldStart,
			fleet: () => ({...this.#peerMessenger.fleet, largestSize: Math.max(this.#peerMessenger.fleet.largestSize, this.#registration.listedCount, options.seeds.length)}),
		});
		this.#engines = new EngineCatalogue({
			log, decode: tables.engines.decode, drainLimit: bounds.drainLimit, timeSinceStoreAway: () => this.#tables[1].watch.timeSinceStoreAway,
			onRow: (record, context) => {
				this.#coldEngines.recordRow(record, context, performance.now());
			},
			onChange: (id, record, hasRestarted) => {
				this.#handleEngineChange(id, record, hasRestarted);
			},
		});
		this.#evacuations = new Evacuations({
			log, decode: tables.configuration.decodeEvacuation, engineCount: domain => this.#engines.countIn(domain),
			onChange: domains => {
				this.#engines.evacuate(domains);
			},
		});
		const replicationStatus = () => this.#replication.status;
		const subsetting = new EngineSubsetting({
			ownIp: ip, instances: () => this.#peerMessenger.ring, engines: this.#engines,
			failureDomainOf: peer => peer === ip ? failureDomain : this.#peerMessenger.failureDomainOf(peer),
		});
		this.#rateLimits = new EngineRateLimits({
			ownIp: ip, users: engineId => subsetting.users(engineId), log,
			reachableShare: () => this.#peerMessenger.ring.length / (this.#peerMessenger.peerCount + 1),
		});
		this.#access = new EngineAccess({
			ownIp: ip, failureDomain, regions, relayPort: options.relayPort, log, memory: this.#memory, connectDirectly: options.connectDirectly,
			engine: id => this.#engines.get(id), readyEngines: () => this.#engines.allReady,
			isAccepting: record => this.#engines.mayReceive(record) && this.#pauses.timeLeft(record.id, performance.now()) === 0,
			peers: () => this.#peerMessenger.alivePeers,
			isServing: () => this.#shutdown.state === 'serving',
			onOfferChange: () => {
				this.#peerMessenger.announce();
			},
		});
		this.#quarantineGossip = new QuarantineGossip(parts => {
			this.#peerMessenger.broadcastQuarantine(parts);
		});
		this.#quarantine = new RequestQuarantine({
			ownIp: ip, instances: () => this.#peerMessenger.ring, crashCheck: new CrashCheck({
				connectDirectly: (engine, timeout) => this.#access.connectDirectly(engine, timeout), hasLostPath: async engine => this.#access.links.hasLostPath(engine),
			}), log, listener: this.#quarantineGossip,
			isLeaving: id => this.#engines.get(id)?.state !== 'ready',
		});
		this.#peerMessenger = new PeerMessenger({
			ip, port: options.peerPort, origin, log, replicationStatus, loadTracker: this.#loadTracker, engineHealth: this.#engineHealth, engineSpeed: this.#engineSpeed, rateLimits: this.#rateLimits,
			domainLoads: this.#domainLoads, reportDomainLoads: () => placementCoordinator.reportDomainLoads(this.#engines.services),
			quarantine: this.#quarantine, quarantineGossip: this.#quarantineGossip,
			subscribersOf: placement => subsetting.subscribersOf(placement),
			relayOffer: () => this.#access.offer,
			recordAvailability(statement) {
				placementCoordinator.recordAvailability(statement);
			},
			onReplicationStatus: (peer, status) => {
				this.#replication.receive(peer, status);
			},
		});
		const limits = changeLimits(bounds, store.responseTimeout);
		const tableOptions = {
			store, log, ip, limits, messenger: this.#peerMessenger, replication: () => this.#replication,
		};
		this.#tables = [
			createReplicatedTable(0, {...tables.configuration, listener: new ListenerGroup([this.#evacuations, this.#configuration])}, tableOptions),
			createReplicatedTable(1, {
				...tables.engines, listener: this.#engines, statedTime: (id, value) => this.#coldEngines.hasColdLimit(id) ? tables.engines.statedTime(id, value) : 0,
			}, tableOptions),
		];
		this.#replication = new TableReplication({
			tables: this.#tables, ip, log, peers: () => this.#peerMessenger.alivePeers,
			fetchSnapshot: async (peer, table) => fetchTableSnapshot(peer, options.peerPort, table, this.#memory),
			onPeerOutage: () => {
				this.#engines.onPeerOutage();
			},
			isRecoveringFromOutage: () => this.#engines.isRecoveringFromOutage,
			...limits,
			onStoreReached: () => {
				this.#peerMessenger.announce();
			},
			onEra: era => {
				this.#registration.recordEra(era);
			},
		});
		this.#registration = new InstanceRegistration({
			store, table: tables.instances, instance: options.instance, ip, log,
			messenger: this.#peerMessenger, isServing: () => this.#shutdown.state === 'serving',
		});
		this.#tableServer = new TableServer(table => ({digest: this.#tables[table].replica.digest, rows: this.#tables[table].replica.rows}), this.#memory);
		const placementCoordinator = new PlacementCoordinator({
			engines: this.#engines, subsetting, loadTracker: this.#loadTracker, domainLoads: this.#domainLoads, engineHealth: this.#engineHealth, engineSpeed: this.#engineSpeed,
			rateLimits: this.#rateLimits, pauses: this.#pauses,
			eligibility: new EngineEligibility({
				rateLimits: this.#rateLimits, pauses: this.#pauses, coldEngines: this.#coldEngines, regions, mayReceive: record => this.#engines.mayReceive(record),
				onWarmArrival(id) {
					coldChecks?.checkBesideRequest(id);
				},
			}),
			log, listener: this.#peerMessenger, failureDomain, origin,
			hasPeers: () => this.#peerMessenger.peerCount > 0,
			onLeaving: id => {
				this.#engines.recordLeaving(id);
			},
		});
		const coldChecks = options.healthCheckClient && new ColdChecks({
			client: options.healthCheckClient, links: this.#access.links, log, limits: coldLimits,
			engine: id => this.#engines.get(id), service: name => this.#configuration.routes?.configuration.services.get(name),
			tableAge: () => this.#replication.engineTableAge,
			onAnswer(id, status, {coldRemaining}) {
				placementCoordinator.recordColdTime(id, status, coldRemaining);
			},
		});
		this.#promptQueue = new PromptQueue({memoryLimit: options.memoryLimit, onWaited: this.#metrics.recordWait.bind(this.#metrics)});
		const answerDurations = new AnswerDurations();
		const sources: ChoiceSources & Pick<EngineChooserOptions, 'placementCoordinator' | 'links'> = {
			placementCoordinator, answerDurations, links: this.#access.links, promptQueue: this.#promptQueue, prefillShares: new PrefillShares(),
			ranks: service => this.#configuration.routes?.ranks.get(service),
		};
		const admissionState = {
			routes: () => this.#configuration.routes, state: () => this.#shutdown.state, timeUntilAbandoned: () => this.#shutdown.timeLeft,
		};
		this.#explainer = new RequestExplainer({...sources, ...admissionState});
		const chooser = new EngineChooser({
			log, peersKnown: this.#discovery.peersKnown,
			...sources, reservations: {
				client: options.reservationClient, log, memoryReleaseTimeout: bounds.memoryReleaseTimeout, maximumReservationLifetime: bounds.maximumReservationLifetime,
			},
			onMisdirected: id => {
				this.#engines.remove(id, 'another engine answered at its address');
			},
		});
		this.#admission = new Admission({
			...admissionState, protocol, chooser, answerDurations, numbering: new StreamNumbering(), quarantine: this.#quarantine, memory: this.#memory, metrics: this.#metrics, log,
			retryBudget: new RetryBudget({
				ratio: bounds.retryRatio, window: bounds.retryWindow, allowance: bounds.retryAllowance, fleet: () => this.#peerMessenger.fleet,
			}),
		});
		this.#listener = new CallerListener((request, response, hasMemory) => {
			eventLoop.recordTurn();
			void this.#admission.handle(request, response, hasMemory);
		}, this.#memory, maximumCallerConnections({socketLimit: options.socketLimit, memoryLimit: options.memoryLimit}));
		this.#ports = new InstancePorts({
			...options, isReady: () => this.isReady, tableServer: this.#tableServer, relay: this.#access, peerMessenger: this.#peerMessenger, callerListener: this.#listener,
			answerOperator: (request, response) => {
				void this.#answerOperator(request, response);
			},
		});
		this.#registerGauges(placementCoordinator);
	}

	/** Memory that this instance keeps for others. */
	get memory(): MemoryBudget {
		return this.#memory;
	}

	/** Whether this instance accepts new connections. */
	get isReady(): boolean {
		return this.#isOpen && this.#shutdown.state === 'serving' && this.#configuration.routes !== undefined && this.#engines.size > 0;
	}

	/** Opens all ports, and waits for those that are taken. @throws {CarobquayError} 7004 if one cannot be opened; the others are closed then. */
	async start(): Promise<void> {
		const {log, callers, instance, ip, startLimit} = this.#options;
		try {
			await openPorts(this.#ports.inOrder, {log, timeLimit: startLimit, signal: this.#closing.signal});
		} catch (error) {
			this.close();
			throw error;
		}

		this.#isOpen = true;
		// Outgoing connections come after the ports, as the kernel may give them any port that is free.
		this.#replication.start();

		this.#peerMessenger.contact(this.#options.seeds);
		void this.#discovery.join(this.#peerMessenger, this.#registration);
		log.info('instance.started', {
			ip, instance, callers: callers.port, startup_ms: Math.round(performance.now()), version: this.#configuration.version, engines: this.#engines.size,
		});
	}

	/** Reports that it is not ready, waits for the requests in flight and resolves when the process may exit: at once if it has not started. */
	async stop(): Promise<void> {
		const {log} = this.#options;
		if (!this.#isOpen) {
			this.close();
			return;
		}

		this.#shutdown.begin();
		this.#promptQueue.stop();
		this.#peerMessenger.announce();
		log.info('instance.leaving', {late_ms: Math.round(this.#shutdown.signalLateness), active: this.#admission.activeRequestCount});
		while (!this.#shutdown.isOverdue && !(this.#shutdown.canEnd && this.#admission.activeRequestCount + this.#listener.lingeringCount + this.#access.relayCount === 0)) {
			await delayUntilInputIsHandled(Math.min(drainCheckInterval, this.#shutdown.timeLeft)); // eslint-disable-line no-await-in-loop
		}

		const active = this.#admission.activeRequestCount;
		const {abandoned, acceptedInStop} = await this.#admission.abandonRequests();
		log.info('instance.stopped', {
			active, abandoned, accepted_in_stop: acceptedInStop, duration: Math.round(this.#shutdown.elapsed), standstill_ms: Math.round(eventLoop.recentLateness),
		});
		this.close();
	}

	/** Closes all listeners and connections at once; does nothing if they are closed. */
	close(): void {
		if (this.#closing.signal.aborted) {
			return;
		}

		this.#closing.abort();
		this.#shutdown.close();
		this.#listener.close();
		this.#replication.close();
		this.#tableServer.close();
		this.#access.close();
		this.#engines.close();
		this.#quarantine.close();
		this.#quarantineGossip.close();
		this.#peerMessenger.close();
		this.#options.store.close();
		this.#ports.close();
	}

	async #answerOperator(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		try {
			await answerOperator({metrics: this.#metrics.registry, quarantine: this.#quarantine, explainer: this.#explainer}, request, response);
		} catch (error) {
			this.#options.log.error('operator.unanswered', {path: request.url, reason: errorMessage(error)});
			response.destroy();
		}
	}

	#handleEngineChange(id: string, record: EngineRecord | undefined, hasRestarted: boolean): void {
		if (record === undefined) {
			this.#coldEngines.recordRemoval(id);
		}

		if (record === undefined || record.state === 'ready') {
			this.#loadTracker.removeEngine(id);
			this.#engineHealth.reset(id);
			this.#engineSpeed.reset(id);
			this.#access.forget(id);
		}

		// What an engine has asked for holds beyond a removal of its entry, which may only have expired.
		if (hasRestarted) {
			this.#rateLimits.reset(id);
			this.#pauses.reset(id);
		}
	}

	#registerGauges(placementCoordinator: PlacementCoordinator): void {
		this.#metrics.registerMemory(this.#memory);
		this.#metrics.registerGauges({
			configurationVersion: () => this.#configuration.version,
			engines: () => this.#engines.size,
			evacuatedDomains: () => this.#evacuations.size,
			peers: () => this.#peerMessenger.peerCount,
			placements: () => this.#loadTracker.size,
			placementsOutsideDomain: () => placementCoordinator.placementsOutsideDomain,
			slowEngines: () => this.#engineSpeed.slowCount(performance.now()),
			retainedPrefixes: () => placementCoordinator.prefixReuse.retained,
			savedPrefill: () => placementCoordinator.prefixReuse.savedPrefill / 1000,
			promptsWaiting: () => this.#promptQueue.waiting.count,
			promptBytesWaiting: () => this.#promptQueue.waiting.bytes,
			limitedEngines: () => this.#rateLimits.size,
			relayedConnections: () => this.#access.relayCount,
			brokenPaths: () => this.#access.brokenPathCount,
			pausedEngines: () => this.#pauses.count(performance.now()),
			coldEngines: () => this.#coldEngines.count(performance.now()),
			coldWithheld: () => this.#coldEngines.withheld,
			quarantinedFingerprints: () => this.#quarantine.size,
			storeEra: () => this.#tables[0].replica.digest.era,
			storeConfirmationAge: () => this.#replication.timeSinceConfirmation / 1000,
			storeAge: () => Math.max(...this.#tables.map(({watch}) => watch.timeSinceLastAnswer)) / 1000,
			connectionsClosed: () => this.#listener.closedCount,
			droppedLineCount: this.#options.droppedLineCount,
		});
	}
}
