/**
 * The policies of the bench by name.
 *
 * @module
 */
import {Router} from '../../src/routing/router.js';
import {
	BaselineDecider, type Choice, LeastInFlightChoice, LengthBlindCostChoice, PowerOfTwoChoice, PrefixAffinityChoice, RandomChoice, RoundRobinChoice,
} from './baselines.js';
import {ClairvoyantChoice} from './clairvoyant.js';
import {workloadConfiguration} from './decider.js';
import type {DeciderFactory} from './simulation.js';
import type {Workload} from './workload.js';

const baselines: Readonly<Record<string, () => Choice>> = {
	random: () => new RandomChoice(),
	'round-robin': () => new RoundRobinChoice(),
	'least-in-flight': () => new LeastInFlightChoice(),
	'power-of-two': () => new PowerOfTwoChoice(),
	'prefix-affinity': () => new PrefixAffinityChoice(),
	'length-blind-cost': () => new LengthBlindCostChoice(),
};

/** Names of the baselines that do not look at lengths. */
export const baselineNames: readonly string[] = Object.keys(baselines);

/** Names of all policies, the product's first. */
export const policyNames: readonly string[] = ['carobquay', ...baselineNames, 'clairvoyant'];

/** Makes the deciders of a policy. */
export function deciderFactory(policy: string, workload: Workload, seed: number): DeciderFactory {
	const configuration = workloadConfiguration(workload);
	if (policy === 'carobquay') {
		return instance => {
			const {domains} = workload.instances;
			const router = new Router({instance: `entry-${instance}`, failureDomain: domains[instance % domains.length]!, seed});
			router.setConfiguration(configuration, 0);
			return router;
		};
	}

	if (policy === 'clairvoyant') {
		const priorityOf = (requestClass: string) => configuration.classes.get(requestClass)!.priority;
		return (instance, engines) => (
			new BaselineDecider(configuration, new ClairvoyantChoice(engines, workload.workload.bytes_per_token, priorityOf), seed + instance));
	}

	const makeChoice = baselines[policy];
	if (!makeChoice) {
		throw new Error(`policy "${policy}" does not exist; there are ${policyNames.join(', ')}`);
	}

	return instance => new BaselineDecider(configuration, makeChoice(), seed + instance);
}
