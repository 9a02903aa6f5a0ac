/**
 * Passes what the directory of upstreams learns on to routing, waiting requests and the list of owners.
 *
 * @module
 */
import type {Observation, UpstreamDescription} from '../routing/observation.js';
import type {Router} from '../routing/router.js';
import type {InstanceSnapshot} from '../platform/instance-list.js';
import type {DirectoryListener} from '../upstream/directory.js';
import type {Dispatcher} from './dispatcher.js';
import type {OwnerLiveness} from './owner-liveness.js';

/** Those who are told. */
export type DirectoryUpdateForwarderOptions = {
	router: Router;
	/** Asked at each observation, as it may begin to exist later. */
	dispatcher: () => Dispatcher;
	ownerLiveness: OwnerLiveness;
};

/** Listener of a directory. */
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
