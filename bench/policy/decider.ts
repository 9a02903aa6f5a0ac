/**
 * What the bench drives: the product's router, or a baseline in its place.
 *
 * @module
 */
import type {Configuration, Pool, RequestClass} from '../../src/configuration/model.js';
import {Selector} from '../../src/configuration/selector.js';
import type {Router} from '../../src/routing/router.js';
import type {Workload} from './workload.js';

/** The part of the router that the bench drives. */
export type Decider = Pick<Router, 'decide' | 'handleReservationOutcome' | 'drain' | 'nextDrainTime' | 'observe' | 'createPeerDigest' | 'toResync' | 'setUpstreams' | 'setInstances'>;

/** Name of the one pool of the bench. */
export const poolName = 'engines';

/** Name of the one model of the bench. */
export const modelName = 'model';

/** The configuration that a workload amounts to. */
export function workloadConfiguration(workload: Workload): Configuration {
	const pool: Pool = {
		name: poolName, kind: 'engine', labels: {}, upstreams: new Selector([]), models: [modelName],
	};
	const classes = Object.entries(workload.class).map(([name, parameters]): [string, RequestClass] => [name, {
		name,
		labels: {},
		pools: new Selector([]),
		priority: parameters.priority,
		deadline: parameters.deadline_s * 1000,
		nonIdempotent: false,
		deferred: false,
		divisible: parameters.divisible,
	}]);
	return {
		generation: 1,
		pools: new Map([[poolName, pool]]),
		customers: new Map(Object.entries(workload.customers).map(([name, {weight}]) => [name, {
			name,
			labels: {},
			keyHashes: [],
			weight,
			limits: {requestsPerSecond: undefined, promptTokensPerSecond: undefined, tokensInFlight: undefined},
			classes: [],
		}])),
		classes: new Map(classes),
	};
}
