/**
 * Checks a configuration against the upstreams before it is accepted.
 *
 * @module
 */
import type {Configuration, Customer, RequestClass} from '../configuration/model.js';
import type {UpstreamDescription} from './observation.js';
import {belongs} from './selection.js';

/** Something that would keep a part of the configuration from working. */
export type ConfigurationProblem = {
	kind: 'pool' | 'class' | 'customer';
	name: string;
	message: string;
};

/** Problems of a configuration; none where it can be accepted. */
export function checkConfiguration(configuration: Configuration, upstreams: readonly UpstreamDescription[]): ConfigurationProblem[] {
	const pools = [...configuration.pools.values()];
	return [
		...pools
			.filter(pool => !upstreams.some(upstream => belongs(pool, upstream)))
			.map(({name, upstreams: selector}): ConfigurationProblem => ({kind: 'pool', name, message: `selector "${selector.toString()}" matches no upstream`})),
		...pools
			.filter(({kind, models}) => kind === 'engine' && models.length === 0)
			.map(({name}): ConfigurationProblem => ({kind: 'pool', name, message: 'is of kind engine and serves no model'})),
		...[...configuration.classes.values()].flatMap(requestClass => checkClass(configuration, requestClass)),
		...[...configuration.customers.values()].flatMap(customer => checkCustomer(configuration, customer)),
	];
}

function checkClass({pools}: Configuration, {name, pools: selector, deadline}: RequestClass): ConfigurationProblem[] {
	const problems: ConfigurationProblem[] = [];
	if (![...pools.values()].some(pool => selector.matches(pool.labels))) {
		problems.push({kind: 'class', name, message: `selector "${selector.toString()}" matches no pool`});
	}

	if (deadline <= 0) {
		problems.push({kind: 'class', name, message: `deadline ${deadline} ms is not in the future`});
	}

	return problems;
}

function checkCustomer({classes}: Configuration, {name, weight, limits, classes: allowed}: Customer): ConfigurationProblem[] {
	const problems: ConfigurationProblem[] = [];
	const add = (message: string) => {
		problems.push({kind: 'customer', name, message});
	};

	for (const className of allowed) {
		if (!classes.has(className)) {
			add(`class "${className}" is not declared`);
		}
	}

	if (weight <= 0) {
		add(`weight ${weight} is not above 0`);
	}

	for (const [limit, value] of Object.entries(limits)) {
		if (value !== undefined && value <= 0) {
			add(`limit ${limit} of ${value} would refuse everything`);
		}
	}

	const {promptTokensPerSecond, requestsPerSecond} = limits;
	if (promptTokensPerSecond !== undefined && requestsPerSecond !== undefined && promptTokensPerSecond < requestsPerSecond) {
		add(`limits contradict: ${promptTokensPerSecond} prompt tokens a second never allow ${requestsPerSecond} requests a second`);
	}

	return problems;
}
