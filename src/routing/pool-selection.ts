/**
 * Selects the pools and upstreams that a request may use, by class, model or service, and labels.
 *
 * @module
 */
import type {
	Configuration, Labels, Pool, RequestClass,
} from '../configuration/model.js';
import {formatRequirement, type Selector} from '../configuration/selector.js';
import type {UpstreamDescription} from './observation.js';

/** A pool with those of its upstreams that may receive new requests. */
export type PoolMembers = {pool: Pool; upstreams: readonly UpstreamDescription[]};

/** Pools of each class with their upstreams, computed once for a configuration and a list of upstreams. */
export class PoolSelection {
	readonly #membersByPool = new Map<string, PoolMembers>();
	readonly #poolsByClass = new Map<string, PoolMembers[]>();

	constructor(configuration: Configuration, upstreams: readonly UpstreamDescription[]) {
		for (const pool of configuration.pools.values()) {
			this.#membersByPool.set(pool.name, {pool, upstreams: upstreams.filter(upstream => belongsToPool(pool, upstream))});
		}

		for (const requestClass of configuration.classes.values()) {
			const pools = [...this.#membersByPool.values()].filter(({pool}) => requestClass.pools.matches(pool.labels));
			this.#poolsByClass.set(requestClass.name, pools);
		}
	}

	/** Pools that serve a model to a class, or, if no model is requested, the service pool of that name. */
	pools(requestClass: string, model: string | undefined, service: string | undefined): PoolMembers[] {
		if (model === undefined) {
			return (this.#poolsByClass.get(requestClass) ?? []).filter(({pool}) => pool.kind === 'service' && pool.name === service);
		}

		return (this.#poolsByClass.get(requestClass) ?? []).filter(({pool}) => pool.kind === 'engine' && pool.models.includes(model));
	}
}

/** Whether an upstream belongs to a pool, regardless of its state. */
export function belongsToPool(pool: Pool, upstream: UpstreamDescription): boolean {
	return pool.kind === upstream.kind && pool.upstreams.matches(upstream.labels);
}

/** The first requirement of a class that a pool's labels do not meet; undefined if the class may use the pool. */
export function unmetPoolRequirement(requestClass: RequestClass, pool: Pool): string | undefined {
	return unmetRequirement(requestClass.pools, pool.labels);
}

/** The first requirement that labels do not meet, in selector syntax; undefined if they meet all. */
export function unmetRequirement(selector: Selector, labels: Labels): string | undefined {
	const requirement = selector.firstUnmet(labels);
	return requirement && formatRequirement(requirement);
}
