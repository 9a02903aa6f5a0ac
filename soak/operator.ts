/**
 * The operator, who writes configurations to the store.
 *
 * @module
 */
import {
	configurationDocument, type ConfigurationDetails, defaultDetails, evacuationRow, storeLocations,
} from '../platform/stand-in/deployment.js';
import type {StandInStore} from '../platform/stand-in/store.js';
import type {Evacuation} from './domain-checks.js';
import type {ConfigurationChange} from './planned-work.js';

/** Step from one version to the next; versions increase unevenly. */
const versionStep = 3;

/** Timeout in milliseconds of all routes, and the monotonic time from which it is written. */
export type RouteTimeout = {from: number; timeout: number};

/** Operator of one run. */
export class Operator {
	/** Timeouts of routes in all versions so far, in their order. */
	readonly routeTimeouts: RouteTimeout[];
	/** Evacuations so far; one that the store has lost ends then and begins again with its new row. */
	readonly evacuations: Evacuation[] = [];
	readonly #evacuated = new Map<string, Evacuation>();
	readonly #store: StandInStore;
	#version = 1;
	#hasAddedRoute = false;
	#details: ConfigurationDetails;
	/** When the store acknowledged the configuration that adds a route. */
	#routeAddedAt = Number.POSITIVE_INFINITY;

	/** @param requestTimeout - Timeout of all routes in the first version. @param details - What the versions have beside it. */
	constructor(store: StandInStore, requestTimeout: number, details: Partial<ConfigurationDetails> = {}) {
		this.#store = store;
		this.#details = {...defaultDetails, ...details, requestTimeout};
		this.routeTimeouts = [{from: Number.NEGATIVE_INFINITY, timeout: requestTimeout}];
	}

	get routeAddedAt(): number {
		return this.#routeAddedAt;
	}

	addRoute(): void {
		this.#version += versionStep;
		this.#hasAddedRoute = true;
		this.write();
		this.#routeAddedAt = Math.min(this.#routeAddedAt, performance.now());
	}

	change(change: ConfigurationChange): void {
		this.#version += versionStep;
		if ('hasExtraRoute' in change) {
			this.#hasAddedRoute = change.hasExtraRoute;
		} else {
			this.#details = {...this.#details, ...change};
			this.routeTimeouts.push({from: performance.now(), timeout: this.#details.requestTimeout});
		}

		this.write();
	}

	/** Evacuates a domain. Writing the row of one that is evacuated again changes nothing. */
	evacuate(domain: string): void {
		const {table, key} = evacuationRow(domain);
		this.#store.put(table, key, {});
		if (this.#evacuated.get(domain)?.endedAt === Number.POSITIVE_INFINITY) {
			return;
		}

		const evacuation = {domain, acknowledgedAt: performance.now(), endedAt: Number.POSITIVE_INFINITY};
		this.evacuations.push(evacuation);
		this.#evacuated.set(domain, evacuation);
	}

	takeBack(domain: string): void {
		this.#endEvacuation(domain);
		this.#evacuated.delete(domain);
		const {table, key} = evacuationRow(domain);
		this.#store.remove(table, key);
	}

	/** Records that the store has come back from a copy, which may lack rows of evacuations or have removed ones. */
	recordRestore(): void {
		for (const domain of this.#evacuated.keys()) {
			this.#endEvacuation(domain);
		}
	}

	/** Writes again what a store that has come back from a copy may have lost, and removes what the copy may have brought back. */
	rewrite(): void {
		for (const domain of new Set(this.evacuations.map(evacuation => evacuation.domain))) {
			if (this.#evacuated.has(domain)) {
				this.evacuate(domain);
			} else {
				const {table, key} = evacuationRow(domain);
				this.#store.remove(table, key);
			}
		}

		this.write();
	}

	/** Writes the newest version. */
	write(): void {
		this.#store.put(storeLocations.configuration.table, storeLocations.configuration.key, configurationDocument(this.#version, this.#hasAddedRoute, this.#details));
	}

	#endEvacuation(domain: string): void {
		const evacuation = this.#evacuated.get(domain);
		if (evacuation) {
			evacuation.endedAt = Math.min(evacuation.endedAt, performance.now());
		}
	}
}
