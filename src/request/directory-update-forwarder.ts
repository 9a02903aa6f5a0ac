/**
 * Forwards updates of the upstream directory to the router, the dispatcher of waiting requests and the owner liveness check.
 *
 * @module
 */
import type {Observation, UpstreamDescription} from '../routing/observation.js';
import type {Router} from '../routing/router.js';
import type {InstanceSnapshot} from '../platform/instance-list.js';
import type {DirectoryListener} from '../upstream/directory.js';
import type {Dispatcher} from './dispatcher.js';
import type {OwnerLiveness} from './owner-liveness.js';

/** Receivers of the updates. */
export type DirectoryUpdateForwarderOptions = {
	router: Router;
	/** Called at each observation, because the dispatcher may be created after the forwarder. */
	dispatcher: () => Dispatcher;
	ownerLiveness: OwnerLiveness;
};

/** Directory listener that forwards each update to its receiver. */
export class DirectoryUpdateForwarder implements DirectoryListener {
	readonly #options: DirectoryUpdateForwarderOptions;

	constructor(options: DirectoryUpdateForwarderOptions) {
		this.#options = options;
	}

	get toResync(): readonly string[] {
		return this.#options.router.toResync;
	}

	upstreamsChanged(upstreams: readonly UpstreamDescription[], now: number): void {
		this.#options.router.setUpstreams(upstreams, now);
	}

	observe(observation: Observation): void {
		this.#options.dispatcher().observe(observation);
	}

	instanceListRead(snapshot: InstanceSnapshot, now: number): void {
		this.#options.ownerLiveness.applySnapshot(snapshot, now);
	}

	lastCacheSequence(upstream: string): number {
		return this.#options.router.lastCacheSequence(upstream);
	}
}
