/**
 * Decides whether a prompt goes to an engine of another failure domain.
 *
 * Handles waves of demand that differ between domains, and the loss of engines in one of them: a prompt leaves its domain
 * only where that domain would make it late or refuse it and another one is expected to serve it clearly better. Its
 * prefill is split within one domain.
 *
 * @module
 */
import type {PromptDecision, PromptRequirements} from './prompt-placement.js';

/** Share of the latency target up to which a prompt stays in its domain without a look at the others. */
const sufficientShare = 0.5;

/** Cost of leaving the domain, relative to the prompt's being late: its bytes and events cross domains, and what is known of the load there is older. */
const otherDomainCost = 0.1;

/** Whether the decision of the own domain leaves so much to be wished that others are asked. */
export function mayOverflow(own: PromptDecision, {latencyTarget}: Pick<PromptRequirements, 'latencyTarget'>): boolean {
	return own.kind === 'refuse' || own.expectedLatency > sufficientShare * latencyTarget;
}

/** The best decision: that of the own domain, unless another domain's costs clearly less. */
export function chooseDomain<Decision extends PromptDecision>(own: Decision, others: readonly Decision[]): Decision {
	let best = own;
	let bestCost = own.kind === 'place' ? own.cost : Number.POSITIVE_INFINITY;
	for (const other of others) {
		// A prompt that is refused because of overload may wait for room, one that no engine accepts may not.
		if (best.kind === 'refuse' && other.kind === 'refuse' && best.overload === undefined && other.overload !== undefined) {
			best = other;
		}

		const cost = other.kind === 'place' ? other.cost + (other.weight * otherDomainCost) : Number.POSITIVE_INFINITY;
		if (cost < bestCost) {
			best = other;
			bestCost = cost;
		}
	}

	return best;
}
