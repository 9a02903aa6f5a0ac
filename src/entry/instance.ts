/**
 * One entry instance: its parts, how they are joined, how it starts and how it stops.
 *
 * @module
 */
import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {collectDefaultMetrics, Registry} from 'prom-client';
import {ClaimedRequests} from '../claim/claimed-requests.js';
import {ClaimStore} from '../claim/claim-store.js';
import {ClaimSweeper} from '../claim/claim-sweeper.js';
import {KeptAnswers} from '../claim/kept-answers.js';
import {ConfigurationStore, type AcceptedConfiguration} from '../configuration/store.js';
import type {DeferredTask} from '../deferred/deferred-task.js';
import {CarobquayError} from '../errors/errors.js';
import {GroupCommit} from '../platform/group-commit.js';
import {LedgerTask} from '../ledger/ledger-task.js';
import type {Platform} from '../platform/platform.js';
import {SettledWriter} from '../platform/settled-write.js';
import {FleetPart} from '../fleet/fleet-part.js';
import {DirectoryUpdateForwarder} from '../request/directory-update-forwarder.js';
import {Dispatcher} from '../request/dispatcher.js';
import {OwnerLiveness} from '../request/owner-liveness.js';
import {OrphanedStreamReaper} from '../request/orphaned-stream-reaper.js';
import {PromptReader} from '../request/prompt-reader.js';
import {PromptRunner} from '../request/prompt-runner.js';
import {RequestRunner} from '../request/request-runner.js';
import {RetryPolicy} from '../request/retry-policy.js';
import {ServiceRunner} from '../request/service-runner.js';
import {delay} from '../request/time-limit.js';
import {Router} from '../routing/router.js';
import type {ResolvedSettings} from '../settings/schema.js';
import {DecisionLog} from '../telemetry/decision-log.js';
import type {EventLog} from '../telemetry/log.js';
import {RequestMetrics} from '../telemetry/request-metrics.js';
import {UpstreamDirectory, type UpstreamConnector} from '../upstream/directory.js';
import {EngineReserver} from '../upstream/engine-reserver.js';
import {version} from '../version.js';
import {KeyRing} from './authentication.js';
import {BodyMemory} from './body.js';
import {callersApplication, type InForce} from './callers.js';
import {DeferredCallers} from './deferred-callers.js';
import {openDeferred} from './deferred-instance.js';
import {DeferredPrompts} from './deferred-runner.js';
import {HttpListener} from './listener.js';
import {operatorsApplication, type InstanceStatus} from './operators.js';
import {RequestGate} from './request-gate.js';

/** What an instance is built from. */
export type EntryInstanceOptions = {
	settings: ResolvedSettings;
	platform: Platform;
	connector: UpstreamConnector;
	log: EventLog;
};

/** Addresses that an instance serves, as "IP:port". */
export type InstanceAddresses = {callers: string; operators: string};

/** Longest time in milliseconds that a graceful shutdown waits for the object store to take the rest of the ledger. */
const ledgerCloseLimit = 30_000;

/** Time in milliseconds in which the callers of requests that a shutdown gives up are told so. */
const errorAnswerTime = 1000;

/** An entry instance between callers and upstreams. It keeps nothing that must outlive it. */
export class EntryInstance {
	readonly #settings: ResolvedSettings;
	readonly #log: EventLog;
	readonly #incarnation = randomUUID();
	readonly #registry = new Registry();
	readonly #gate = new RequestGate();
	readonly #reader = new PromptReader();
	readonly #memory: BodyMemory;
	readonly #router: Router;
	readonly #dispatcher: Dispatcher;
	readonly #directory: UpstreamDirectory;
	readonly #store: ConfigurationStore;
	readonly #committer: GroupCommit;
	readonly #claims: ClaimStore;
	readonly #sweeper: ClaimSweeper;
	readonly #owners = new OwnerLiveness();
	readonly #reaper: OrphanedStreamReaper;
	readonly #ledger: LedgerTask;
	readonly #retries = new RetryPolicy();
	readonly #prompts: PromptRunner;
	readonly #deferred: DeferredTask;
	readonly #callers: HttpListener;
	readonly #operators: HttpListener;
	readonly #fleet: FleetPart | undefined;
	#inForce: InForce | undefined;

	constructor({settings, platform, connector, log}: EntryInstanceOptions) {
		this.#settings = settings;
		this.#log = log.with({instance: settings.instance.name});
		this.#memory = new BodyMemory(settings.limits.bodiesInMemory);
		this.#router = new Router({instance: settings.instance.name, failureDomain: settings.instance.failureDomain});
		const metrics = new RequestMetrics(this.#registry, () => this.#gate.inFlight);
		collectDefaultMetrics({register: this.#registry, prefix: 'carobquay_'});
		this.#fleet = this.#createFleet();
		this.#directory = this.#createDirectory(platform, connector);
		this.#dispatcher = this.#createDispatcher(metrics);
		this.#store = new ConfigurationStore({
			table: platform.table,
			log: this.#log,
			pollInterval: settings.configuration.pollInterval,
			onChange: accepted => {
				this.#enforce(accepted);
			},
		});
		this.#reaper = new OrphanedStreamReaper({
			engines: () => this.#directory.engines, isOwnerDead: owner => this.#owners.isDead(owner, performance.now()), log: this.#log,
		});
		this.#committer = new GroupCommit(new SettledWriter(platform.table));
		this.#claims = new ClaimStore({table: platform.table, committer: this.#committer, log: this.#log});
		this.#sweeper = new ClaimSweeper({
			table: platform.table, committer: this.#committer, answers: new KeptAnswers(platform.objects, this.#log), log: this.#log,
		});
		this.#ledger = new LedgerTask({
			instance: settings.instance.name, incarnation: this.#incarnation, objects: platform.objects, log: this.#log, ...settings.ledger,
		});
		this.#prompts = this.#createPrompts();
		this.#deferred = openDeferred({
			platform,
			settings: settings.deferred,
			runner: new DeferredPrompts({reader: this.#reader, prompts: this.#prompts, memory: this.#memory}),
			log: this.#log,
			owner: this.#incarnation,
			observer: this.#ledger,
			metrics,
		});
		this.#callers = new HttpListener(this.#createCallers(metrics, platform).fetch);
		this.#operators = new HttpListener(operatorsApplication({
			keyHash: settings.operators.keyHash,
			registry: this.#registry,
			store: this.#store,
			router: this.#router,
			status: () => this.status,
		}).fetch);
	}

	/** State of this instance. */
	get status(): InstanceStatus {
		const {name, failureDomain, region} = this.#settings.instance;
		return {
			name,
			failureDomain,
			region,
			version,
			incarnation: this.#incarnation,
			ready: this.#inForce !== undefined && !this.#gate.isClosed,
			generation: this.#inForce?.configuration.generation ?? 0,
			inFlight: this.#gate.inFlight,
			waiting: this.#dispatcher.waitingCount,
			bodyBytes: this.#memory.held,
			upstreams: this.#directory.upstreams,
			members: this.#fleet?.members ?? [],
		};
	}

	/** Where configurations are proposed and read. */
	get configurations(): ConfigurationStore {
		return this.#store;
	}

	/** Opens the ports and begins to serve. */
	async start(): Promise<InstanceAddresses> {
		const {callers, operators} = this.#settings;
		const operatorsAddress = await this.#operators.listen(operators.host, operators.port);
		await this.#fleet?.start();
		await Promise.all([this.#store.start(), this.#directory.start()]);
		this.#reaper.start();
		this.#ledger.start();
		this.#deferred.start();
		this.#sweeper.start();
		const callersAddress = await this.#callers.listen(callers.host, callers.port);
		this.#log.info('instance.started', {callers: callersAddress, operators: operatorsAddress, incarnation: this.#incarnation});
		return {callers: callersAddress, operators: operatorsAddress};
	}

	/**
	 * Stops without cutting a request: takes no new ones and waits for those in flight. Those that last beyond the shutdown limit
	 * are answered with an error.
	 *
	 * @returns whether all of them ended within the shutdown limit.
	 */
	async shutdown(): Promise<boolean> {
		this.#log.info('instance.stopping', {in_flight: this.#gate.inFlight});
		this.#fleet?.leave();
		let timer: NodeJS.Timeout | undefined;
		const timeUp = new Promise<boolean>(resolve => {
			timer = setTimeout(resolve, this.#settings.limits.shutdown, false);
		});
		const ended = await Promise.race([this.#endAll().then(() => true), timeUp]);
		clearTimeout(timer);
		if (!ended) {
			this.#gate.expire();
			await Promise.race([this.#gate.close(), delay(errorAnswerTime)]);
		}

		await this.stop();
		await this.#ledger.close(ledgerCloseLimit);
		this.#log.info('instance.stopped', {ended});
		return ended;
	}

	/** Stops at once, cutting what is in flight. */
	async stop(): Promise<void> {
		this.#reaper.stop();
		const fleetStopped = this.#fleet?.stop();
		this.#sweeper.stop();
		this.#store.stop();
		this.#ledger.stop();
		const closed = Promise.all([this.#callers.close(), this.#operators.close()]);
		this.#callers.destroy();
		this.#operators.destroy();
		await Promise.all([closed, fleetStopped, this.#directory.stop(), this.#reader.close(), this.#deferred.stop()]);
	}

	/** Resolves when no request is in flight and the table has the endings of all claims. */
	async #endAll(): Promise<void> {
		await Promise.all([this.#gate.close(), this.#deferred.drain()]);
		// A deferred request that was just being accepted has been taken on since.
		await this.#deferred.drain();
		await this.#claims.settled();
	}

	#enforce({configuration}: AcceptedConfiguration): void {
		this.#inForce = {configuration, keys: new KeyRing(configuration)};
		this.#router.setConfiguration(configuration, performance.now());
		this.#fleet?.generationInForce();
	}

	/** Links to the other instances, where the settings give keys for them. */
	#createFleet(): FleetPart | undefined {
		const {instance, peers, upstreams} = this.#settings;
		return peers.keys.length === 0
			? undefined
			: new FleetPart({
				...instance,
				...peers,
				...upstreams,
				log: this.#log,
				router: this.#router,
				store: () => this.#store,
				directory: () => this.#directory,
			});
	}

	#createDirectory(platform: Platform, connector: UpstreamConnector): UpstreamDirectory {
		return new UpstreamDirectory({
			instances: platform.instances,
			connector,
			log: this.#log,
			listInterval: this.#settings.upstreams.listInterval,
			loadInterval: this.#settings.upstreams.loadInterval,
			sharing: this.#fleet?.sharing,
			listener: new DirectoryUpdateForwarder({router: this.#router, dispatcher: () => this.#dispatcher, ownerLiveness: this.#owners}),
		});
	}

	#createDispatcher(metrics: RequestMetrics): Dispatcher {
		const decisions = new DecisionLog({
			log: this.#log, metrics, isLoggingEnabled: this.#settings.log.decisions, generation: () => this.#inForce?.configuration.generation ?? 0,
		});
		return new Dispatcher({
			router: this.#router,
			reserver: new EngineReserver(name => this.#directory.engine(name), this.#owner),
			onDecision(facts, decision, microseconds) {
				decisions.record(facts, decision, microseconds);
			},
		});
	}

	#createPrompts(): PromptRunner {
		return new PromptRunner({
			dispatcher: this.#dispatcher,
			retryPolicy: this.#retries,
			findEngine: name => this.#directory.engine(name),
			owner: this.#owner,
			orphanLifetime: this.#settings.upstreams.orphanLifetime,
		});
	}

	#createCallers(metrics: RequestMetrics, platform: Platform) {
		const {limits} = this.#settings;
		return callersApplication({
			inForce: () => {
				if (this.#inForce === undefined) {
					throw new CarobquayError('3005', {message: 'no configuration is in force yet'});
				}

				return this.#inForce;
			},
			reader: this.#reader,
			requests: this.#createRequests(platform),
			gate: this.#gate,
			limits: {size: limits.body, silence: limits.callerSilence, memory: this.#memory},
			log: this.#log,
			metrics,
			observer: this.#ledger,
			deferred: new DeferredCallers(this.#deferred),
		});
	}

	#createRequests(platform: Platform): RequestRunner {
		return new RequestRunner({
			promptRunner: this.#prompts,
			serviceRunner: new ServiceRunner({dispatcher: this.#dispatcher, retryPolicy: this.#retries, findService: name => this.#directory.service(name)}),
			claimedRequests: new ClaimedRequests({
				store: this.#claims, answers: new KeptAnswers(platform.objects, this.#log), owner: this.#owner, log: this.#log,
			}),
		});
	}

	/** Name and incarnation, by which engines know whose streams they hold. */
	get #owner(): string {
		return `${this.#settings.instance.name}/${this.#incarnation}`;
	}
}
