/**
 * Lookup of the route, the service and the customer of a request in one configuration.
 *
 * @module
 */
import {ranksByService, type ServiceRanks} from '../placement/request-rank.js';
import type {
	CustomerKeys, Route, Service, ServingConfiguration,
} from './model.js';

/** Number of equal steps to which the random value of a weighted choice is rounded down. */
const splitSteps = 10_000;

/** Routes and customers of one configuration. */
export class RouteTable {
	readonly configuration: ServingConfiguration;
	/** Ranks that compete for the engines of each service. */
	readonly ranks: ReadonlyMap<string, ServiceRanks>;
	readonly #routesByHost = new Map<string, Route[]>();
	readonly #customersByKey = new Map<string, CustomerKeys>();

	constructor(configuration: ServingConfiguration) {
		this.configuration = configuration;
		this.ranks = ranksByService(configuration);
		for (const route of configuration.routes) {
			const routes = this.#routesByHost.get(route.host) ?? [];
			routes.push(route);
			this.#routesByHost.set(route.host, routes);
		}

		for (const routes of this.#routesByHost.values()) {
			routes.sort((first, second) => second.prefix.length - first.prefix.length);
		}

		for (const customer of configuration.customers ?? []) {
			for (const key of customer.apiKeys) {
				this.#customersByKey.set(key, customer);
			}
		}
	}

	get version(): number {
		return this.configuration.version;
	}

	/** Whether requests need an API key, except on routes that allow anonymous ones. */
	get requiresApiKeys(): boolean {
		return this.configuration.customers !== undefined;
	}

	/** The host's route with the longest prefix of the path; undefined if no route matches. */
	findRoute(host: string, path: string): Route | undefined {
		const lowerCaseHost = host.toLowerCase();
		const routes = this.#routesByHost.get(lowerCaseHost) ?? this.#routesByHost.get(lowerCaseHost.replace(/:\d+$/v, ''));
		const [pathWithoutQuery] = path.split('?');
		return routes?.find(route => pathWithoutQuery!.startsWith(route.prefix));
	}

	findCustomer(apiKey: string): CustomerKeys | undefined {
		return this.#customersByKey.get(apiKey);
	}

	/**
	 * Selects one of a route's services by their weights.
	 *
	 * @param randomValue - Number from 0 to 1, 1 excluded; equal values select the same service.
	 */
	selectService(route: Route, randomValue: number): Service | undefined {
		const totalWeight = route.targets.reduce((sum, target) => sum + target.weight, 0);
		let remainingWeight = Math.floor(randomValue * splitSteps) / splitSteps * totalWeight;
		for (const target of route.targets) {
			remainingWeight -= target.weight;
			if (remainingWeight < 0) {
				return this.configuration.services.get(target.service);
			}
		}

		return this.configuration.services.get(route.targets.at(-1)?.service ?? '');
	}
}
