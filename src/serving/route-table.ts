/**
 * The configuration in force, arranged for looking up the route and the customer of a request.
 *
 * @module
 */
import type {
	CustomerKeys, Route, Service, ServingConfiguration,
} from './model.js';

/** Steps into which the shares of a divided route are cut. */
const splitSteps = 10_000;

/** Routes and customers of one configuration. */
export class RouteTable {
	readonly configuration: ServingConfiguration;
	readonly #routes = new Map<string, Route[]>();
	readonly #customers = new Map<string, CustomerKeys>();

	constructor(configuration: ServingConfiguration) {
		this.configuration = configuration;
		for (const route of configuration.routes) {
			const routes = this.#routes.get(route.host) ?? [];
			routes.push(route);
			this.#routes.set(route.host, routes);
		}

		for (const routes of this.#routes.values()) {
			routes.sort((first, second) => second.prefix.length - first.prefix.length);
		}

		for (const customer of configuration.customers ?? []) {
			for (const key of customer.apiKeys) {
				this.#customers.set(key, customer);
			}
		}
	}

	get version(): number {
		return this.configuration.version;
	}

	/** Whether requests carry keys at all. */
	get requiresApiKeys(): boolean {
		return this.configuration.customers !== undefined;
	}

	/** The route with the longest prefix that begins the path; undefined where there is none. */
	findRoute(host: string, path: string): Route | undefined {
		const lower = host.toLowerCase();
		const routes = this.#routes.get(lower) ?? this.#routes.get(lower.replace(/:\d+$/v, ''));
		const [plainPath] = path.split('?');
		return routes?.find(route => plainPath!.startsWith(route.prefix));
	}

	findCustomer(key: string): CustomerKeys | undefined {
		return this.#customers.get(key);
	}

	/**
	 * The service that a request goes to; each request of a divided route has a fixed one.
	 *
	 * @param randomValue - Number of the request from 0 to 1, 1 excluded.
	 */
	selectService(route: Route, randomValue: number): Service | undefined {
		const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
		let rest = Math.floor(randomValue * splitSteps) / splitSteps * total;
		for (const target of route.targets) {
			rest -= target.weight;
			if (rest < 0) {
				return this.configuration.services.get(target.service);
			}
		}

		return this.configuration.services.get(route.targets.at(-1)?.service ?? '');
	}
}
