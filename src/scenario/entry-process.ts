/**
 * An entry instance without its sockets, as one simulated process.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {ClaimedRequests} from '../claim/claimed-requests.js';
import {ClaimStore} from '../claim/claim-store.js';
import {KeptAnswers} from '../claim/kept-answers.js';
import type {Configuration} from '../configuration/model.js';
import {RequestGate} from '../entry/request-gate.js';
import {GroupCommit} from '../platform/group-commit.js';
import {SettledWriter} from '../platform/settled-write.js';
import {DirectoryUpdateForwarder} from '../request/directory-update-forwarder.js';
import {Dispatcher} from '../request/dispatcher.js';
import {OwnerLiveness} from '../request/owner-liveness.js';
import {OrphanedStreamReaper} from '../request/orphaned-stream-reaper.js';
import {PromptRunner} from '../request/prompt-runner.js';
import {RequestRunner} from '../request/request-runner.js';
import {RetryPolicy} from '../request/retry-policy.js';
import {ServiceRunner} from '../request/service-runner.js';
import {Router} from '../routing/router.js';
import type {EventLog} from '../telemetry/log.js';
import {UpstreamDirectory} from '../upstream/directory.js';
import {EngineReserver} from '../upstream/engine-reserver.js';
import {
	guardEngine, guardList, guardObjects, guardService, guardTable, type StoreListener,
} from './guarded-clients.js';
import type {OutsideSystems} from './outside-systems.js';
import {ProcessBoundary} from './process-boundary.js';

/** Time in milliseconds that an engine keeps a stream nobody reads. */
export const orphanLifetime = 5000;

/** Time in milliseconds between readings of the instance list and of load reports. */
const pollInterval = 1000;

export type EntryProcessOptions = {
	name: string;
	outside: OutsideSystems;
	configuration: Configuration;
	log: EventLog;
	onStoreCall: StoreListener;
};

/** A simulated entry instance. */
export class EntryProcess {
	readonly name: string;
	readonly boundary = new ProcessBoundary();
	readonly gate = new RequestGate();
	readonly requests: RequestRunner;
	readonly claims: ClaimStore;
	readonly #owners = new OwnerLiveness();
	readonly #reaper: OrphanedStreamReaper;
	readonly #router: Router;
	readonly #sentTo = new Map<string, string>();
	readonly #dispatcher: Dispatcher;
	readonly #directory: UpstreamDirectory;

	constructor({name, outside, configuration, log, onStoreCall}: EntryProcessOptions) {
		const owner = `${name}/1`;
		const guard = {boundary: this.boundary, listener: onStoreCall};
		const table = guardTable(outside.table, guard);
		this.name = name;
		this.#router = new Router({instance: name, failureDomain: 'tartu-a', seed: 1});
		this.#router.setConfiguration(configuration, performance.now());
		this.#directory = this.#createDirectory(outside, guardList(outside.instances, guard), log);
		this.#dispatcher = new Dispatcher({
			router: this.#router, onDecision: (facts, decision) => {
				if (decision.kind === 'send') {
					this.#sentTo.set(facts.requestId, decision.upstream);
				}
			}, reserver: new EngineReserver(upstream => this.#directory.engine(upstream), owner),
		});
		this.#reaper = new OrphanedStreamReaper({engines: () => this.#directory.engines, isOwnerDead: owner => this.#owners.isDead(owner, performance.now()), log});
		this.claims = new ClaimStore({table, committer: new GroupCommit(new SettledWriter(table)), log});
		const retries = new RetryPolicy();
		this.requests = new RequestRunner({
			promptRunner: new PromptRunner({
				dispatcher: this.#dispatcher, retryPolicy: retries, findEngine: upstream => this.#directory.engine(upstream), owner, orphanLifetime,
			}),
			serviceRunner: new ServiceRunner({dispatcher: this.#dispatcher, retryPolicy: retries, findService: upstream => this.#directory.service(upstream)}),
			claimedRequests: new ClaimedRequests({
				store: this.claims, answers: new KeptAnswers(guardObjects(outside.objects, guard), log), owner, log,
			}),
		});
	}

	/** Upstream that the request was last sent to. */
	upstreamOf(requestId: string): string | undefined {
		return this.#sentTo.get(requestId);
	}

	async start(): Promise<void> {
		await this.#directory.start();
		this.#reaper.start();
	}

	async stop(): Promise<void> {
		this.#reaper.stop();
		await this.#directory.stop();
	}

	#createDirectory(outside: OutsideSystems, instances: ReturnType<typeof guardList>, log: EventLog): UpstreamDirectory {
		return new UpstreamDirectory({
			instances,
			log,
			listInterval: pollInterval,
			loadInterval: pollInterval,
			connector: {
				createEngineClient: ({name}) => guardEngine(outside.engine(name), this.boundary),
				createServiceClient: ({name}) => guardService(outside.service(name), this.boundary),
			},
			listener: new DirectoryUpdateForwarder({router: this.#router, dispatcher: () => this.#dispatcher, ownerLiveness: this.#owners}),
		});
	}
}
