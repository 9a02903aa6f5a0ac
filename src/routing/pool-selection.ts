/**
 * Which upstreams a request may use, by class, pool, model and state.
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

/** Pools and upstreams of each class under one configuration and one list of upstreams. */
export class PoolSelection {
	readonly #membersByPool = new Map<string, PoolMembers>();
	readonly #poolsByClass = new Map<string, PoolMembers[]>();

	constructor(configuration: Configuration, upstreams: readonly UpstreamDescription[]) {
		for (const pool of configuration.pools.values()) {
			this.#membersByPool.set(pool.name, {pool, upstreams: upstreams.filter(upstream => belongsToPool(pool, upstream))});
		}

		for (const requestClass of configuration.classes.values()) {
			const members = [...this.#membersByPool.values()].filter(({pool}) => requestClass.pools.matches(pool.labels));
			this.#poolsByClass.set(requestClass.name, members);
		}
	}

	/** Pools that serve a class with a model, or the service pool of a name where no model is asked for. */
	pools(requestClass: string, model: string | undefined, service: string | undefined): PoolMembers[] {
		if (model === undefined) {
			return (this.#poolsByClass.get(requestClass) ?? []).filter(({pool}) => pool.kind === 'service' && pool.name === service);
		}

		return (this.#poolsByClass.get(requestClass) ?? []).filter(({pool}) => pool.kind === 'engine' && pool.models.includes(model));
	}
}

/** Whether an upstream is of a pool, whatever its state. */
export function belongsToPool(pool: Pool, upstream: UpstreamDescription): boolean {
	return pool.kind === upstream.kind && pool.upstreams.matches(upstream.labels);
}

/** Why a class does not use a pool; undefined where it does. */
export function unmetPoolRequirement(requestClass: RequestClass, pool: Pool): string | undefined {
	return unmetRequirement(requestClass.pools, pool.labels);
}

/** The first requirement that labels do not meet, as an operator writes it. */
export function unmetRequirement(selector: Selector, labels: Labels): string | undefined {
	const requirement = selector.firstUnmet(labels);
	return requirement && formatRequirement(requirement);
}
