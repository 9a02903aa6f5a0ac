import test from 'ava';
import {CircuitBreaker, type CircuitState} from '../circuit-breaker.js';

type Step = {at: number; do: 'fail' | 'succeed' | 'inconclusive' | 'permitted' | 'rejected'};

const fiveFailures: Step[] = Array.from({length: 5}, () => ({at: 0, do: 'fail'}));

const cases: Array<{name: string; steps: Step[]; state: CircuitState}> = [
	{name: 'stays closed below the failure threshold', steps: [...fiveFailures.slice(1), {at: 0, do: 'permitted'}], state: 'closed'},
	{name: 'counts consecutive failures only', steps: [...fiveFailures.slice(1), {at: 0, do: 'succeed'}, ...fiveFailures.slice(1)], state: 'closed'},
	{name: 'opens at the failure threshold', steps: [...fiveFailures, {at: 999, do: 'rejected'}], state: 'open'},
	{name: 'permits one probe after the open duration', steps: [...fiveFailures, {at: 1000, do: 'permitted'}, {at: 1000, do: 'rejected'}], state: 'half-open'},
	{name: 'closes after a successful probe', steps: [...fiveFailures, {at: 1000, do: 'permitted'}, {at: 1100, do: 'succeed'}, {at: 1100, do: 'permitted'}], state: 'closed'},
	{name: 'opens for longer after a failed probe', steps: [...fiveFailures, {at: 1000, do: 'permitted'}, {at: 1000, do: 'fail'}, {at: 2999, do: 'rejected'}], state: 'open'},
	{name: 'permits another probe after an inconclusive one', steps: [...fiveFailures, {at: 1000, do: 'permitted'}, {at: 1100, do: 'inconclusive'}, {at: 1100, do: 'permitted'}], state: 'half-open'},
	{name: 'permits another probe after the probe timeout', steps: [...fiveFailures, {at: 1000, do: 'permitted'}, {at: 30_999, do: 'rejected'}, {at: 31_000, do: 'permitted'}], state: 'half-open'},
];

/** Performs a step and returns what happened; a request for permission may turn out either way. */
function perform(circuitBreaker: CircuitBreaker, {at, do: action}: Step): Step['do'] {
	switch (action) {
		case 'fail': {
			circuitBreaker.recordFailure(at);
			return action;
		}

		case 'succeed': {
			circuitBreaker.recordSuccess();
			return action;
		}

		case 'inconclusive': {
			circuitBreaker.recordInconclusive(at);
			return action;
		}

		case 'permitted':
		case 'rejected': {
			return circuitBreaker.tryAcquirePermission(at) ? 'permitted' : 'rejected';
		}
	}
}

for (const {name, steps, state} of cases) {
	test(`circuit breaker ${name}`, t => {
		const circuitBreaker = new CircuitBreaker(() => 0);

		t.deepEqual(steps.map(step => perform(circuitBreaker, step)), steps.map(({do: action}) => action));
		t.is(circuitBreaker.state, state);
	});
}
